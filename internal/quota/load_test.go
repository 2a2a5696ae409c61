package quota

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

// TestWhatAFleetAsks checks the load of quota requests: 83 tenants, three of them large, send 1,400 messages a second
// through about four adapters each, under limits of 1.6 times their rate with one second's burst.
func TestWhatAFleetAsks(t *testing.T) {
	Convey("Over a minute without faults", t, func() {
		const span = 60
		asks, batches, messages, refused, waited := 0, 0, 0, 0, 0
		for i := range 83 {
			usual := 1400 * 0.55 / 80
			if i < 3 {
				usual = 1400 * 0.15
			}
			w := newSimulation(conditions{limit: LimitOf("t", 1.6*usual, 1.6*usual), rates: slices.Repeat([]float64{usual / 4}, 4),
				length: span * time.Second}, uint64(i))
			w.run()
			asks, batches, messages, refused, waited = asks+w.asks, batches+w.batches, messages+w.messages, refused+w.refused, waited+w.waited
			So(maxExcess(w.admissions, w.limit), ShouldBeLessThan, 1e-6)
		}
		t.Logf("a second: %d messages, %d requests, %d batches; refused %.2f %%, waited %.2f %%", messages/span, asks/span, batches/span,
			100*float64(refused)/float64(messages), 100*float64(waited)/float64(messages))
		So(asks/span, ShouldBeLessThan, 1000)
		So(float64(refused), ShouldBeLessThan, 0.01*float64(messages))
		So(float64(waited), ShouldBeLessThan, 0.05*float64(messages))
	})
	Convey("A request, its answer and its entry in a place's log are short", t, func() {
		count := wire.QuotaCount{Tenant: "tenant-12-8f21c0de", Epoch: 300, Spent: 40_000, Need: 40_010, Target: 6}
		asks, replies := wire.PlaceLink.Codecs(wire.Version)
		size := func(codec *wire.Codec, body any) int {
			w := codec.NewWriter(64)
			So(codec.Append(w, wire.Item{CorrelationId: 70_000, Body: body}), ShouldBeNil)
			return len(w.Buffer())
		}
		ask := size(asks, &wire.QuotaAsk{Place: 40, Holder: "0123456789abcdef", Lease: 1500, Counts: []wire.QuotaCount{count}})
		reply := size(replies, &wire.QuotaGrants{Grants: []wire.QuotaGrant{{Tenant: count.Tenant, Epoch: 300, Granted: 40_016, Share: 6}}})
		entry := len(Batch{Limits: []Limit{LimitOf(count.Tenant, 15, 15)}, Asks: []Ask{{Holder: "0123456789abcdef", Lease: 1500, Count: count}}}.Encode())
		t.Logf("request %d bytes, answer %d, batch of one request %d", ask, reply, entry)
		So(ask+reply, ShouldBeLessThan, 150)
		So(entry, ShouldBeLessThan, 120)
	})
}
