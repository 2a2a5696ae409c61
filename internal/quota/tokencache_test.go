package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// TestWallet checks which tokens a token cache keeps and gives up.
func TestWallet(t *testing.T) {
	Convey("Given a token cache with tokens of a tenant with many messages", t, func() {
		now := time.Second
		w := NewTokenCache(testTimes)
		So(w.Take(now, "t").Waiting, ShouldEqual, 1)
		for range 100 {
			w.Take(now, "t")
		}
		count, isDue := w.DueRequest(now, "t")
		So(isDue, ShouldBeTrue)
		So(count.Need, ShouldEqual, 101)
		w.Answer(now, now, wire.QuotaGrant{Tenant: "t", Epoch: count.Epoch, Granted: 141, Share: 40})
		So(w.Held(), ShouldEqual, 40)
		later := now + testTimes.Pause
		Convey("it returns the tokens beyond a lowered share, once", func() {
			w.Answer(later, later, wire.QuotaGrant{Tenant: "t", Epoch: count.Epoch, Granted: 141, Share: 4})
			So(w.Held(), ShouldBeLessThan, 10)
			held := w.Held()
			w.Answer(later, later, wire.QuotaGrant{Tenant: "t", Epoch: count.Epoch, Granted: 141, Share: 4})
			So(w.Held(), ShouldEqual, held)
			request, _ := w.DueRequest(later+testTimes.Lease*4/5, "t")
			So(request.Returned, ShouldEqual, 40-held)
		})
		Convey("it spends them within its lease, and none after", func() {
			So(w.Take(now+testTimes.Lease-1, "t").Epoch, ShouldEqual, count.Epoch)
			So(w.Take(now+testTimes.Lease, "t").Waiting, ShouldNotEqual, 0)
			So(w.Held(), ShouldEqual, 0)
			again, _ := w.DueRequest(now+testTimes.Lease, "t")
			So(again.Epoch, ShouldBeGreaterThan, count.Epoch)
		})
		Convey("a repeated earlier answer grants nothing more", func() {
			w.Answer(later, now, wire.QuotaGrant{Tenant: "t", Epoch: count.Epoch, Granted: 120, Share: 40})
			So(w.Held(), ShouldEqual, 40)
		})
		Convey("a failed request refuses the waiting messages, and further ones for a while", func() {
			for range 41 {
				w.Take(later, "t")
			}
			w.DueRequest(later, "t")
			settled := w.Fail(later, later, "t")
			So(len(settled), ShouldEqual, 1)
			So(settled[0].Refusal, ShouldEqual, errs.Lost)
			So(w.Take(later, "t").Refusal, ShouldEqual, errs.Lost)
			So(w.Take(later+testTimes.Pause, "t").Waiting, ShouldNotEqual, 0)
		})
	})
	Convey("Shares are equal if there are not enough tokens", t, func() {
		for _, c := range []struct {
			available int64
			wants     []int64
			level     int64
		}{{10, []int64{3, 9, 9}, 3}, {12, []int64{1, 9, 9}, 5}, {2, []int64{5, 5, 5}, 0}, {10, []int64{10}, 10}} {
			So(maxMinFairShare(c.available, c.wants), ShouldEqual, c.level)
		}
		So(maxMinFairShare(100, []int64{3, 9}), ShouldBeGreaterThan, 9)
	})
}
