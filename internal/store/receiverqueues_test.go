package store

import (
	"fmt"
	"net/url"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// addOwed adds ended messages whose notifications are owed to an address.
func (b *harness) addOwed(address string, first, count int) {
	for i := range count {
		id := fmt.Sprintf("0-%05d", first+i)
		b.place.Apply(place.Command{Kind: place.CmdTake, Id: id, Lane: "l", Deadline: 600_000, Head: []byte("POST /a\nx\n"), Notify: "http://" + address + "/done"}.Encode(), true)
		b.place.Apply(place.Command{Kind: place.CmdClose, Id: id, State: "failed", Retain: 600_000}.Encode(), true)
	}
}

// timedOutAnswer is an answer that arrives after the notification timed out.
type timedOutAnswer struct {
	at    time.Duration
	reply func(any, error)
}

// notifyFor has an owner send notifications for a span. The receivers in silent do not answer, and all others accept
// at once. It returns the accepted notifications and the most that were in flight, by address.
func (b *harness) notifyFor(span time.Duration, silent map[string]bool) (accepted, maxInFlight map[string]int) {
	accepted, maxInFlight = map[string]int{}, map[string]int{}
	late, underWay := []timedOutAnswer{}, map[string]int{}
	for until := b.now + span; b.now < until; {
		b.now += timing.Default.Of(timing.SlotRequestHold)
		for len(late) > 0 && late[0].at <= b.now {
			late[0].reply(&wire.Told{Kind: string(errs.DeadlineExceeded)}, nil)
			late = late[1:]
		}
		b.posted, b.answers = nil, nil
		b.place.notify(b.now)
		asks, answers := b.posted, b.answers
		for i, ask := range asks {
			u, err := url.Parse(ask.(*wire.Tell).Url)
			So(err, ShouldBeNil)
			if !silent[u.Host] {
				accepted[u.Host]++
				answers[i](&wire.Told{}, nil)
				continue
			}
			underWay[u.Host]++
			maxInFlight[u.Host] = max(maxInFlight[u.Host], underWay[u.Host])
			late = append(late, timedOutAnswer{b.now + timing.Default.Of(timing.CallbackTimeout), func(reply any, err error) {
				underWay[u.Host]--
				answers[i](reply, err)
			}})
		}
		for len(b.proposed) > 0 {
			b.commit(true)
		}
	}
	return accepted, maxInFlight
}

// TestSilentReceivers guards against notifications that wait behind those to a receiver which does not answer: when
// each pass began with the smallest id, that receiver's notifications took up the whole limit on those in flight.
func TestSilentReceivers(t *testing.T) {
	const notifications = 20
	Convey("Beside a silent receiver with 1,000 earlier notifications, ten others get all of theirs in time", t, func() {
		b := owingHarness(0)
		b.addOwed("10.0.0.1:9", 0, 1000)
		for i := range 10 {
			b.addOwed(fmt.Sprintf("10.0.1.%d:9", i), 1000+notifications*i, notifications)
		}
		accepted, most := b.notifyFor(timing.Default.ConfigApply, map[string]bool{"10.0.0.1:9": true})
		for i := range 10 {
			So(accepted[fmt.Sprintf("10.0.1.%d:9", i)], ShouldEqual, notifications)
		}
		So(most["10.0.0.1:9"], ShouldBeBetweenOrEqual, 1, maxReceiverNotifications)
		Convey("and it gets its own once it answers", func() {
			accepted, _ = b.notifyFor(time.Minute, nil)
			So(accepted["10.0.0.1:9"], ShouldEqual, 1000)
			So(b.place.machine.CountPendingNotifications(), ShouldEqual, 0)
			b.notifyFor(time.Second, nil)
			So(b.place.notifier.receivers, ShouldBeEmpty)
		})
	})
	Convey("Beside two hundred silent receivers, a responsive one gets its notifications within two bounds", t, func() {
		b, silent := owingHarness(0), map[string]bool{}
		for i := range 200 {
			address := fmt.Sprintf("10.0.0.%d:9", i)
			silent[address] = true
			b.addOwed(address, 10*i, 10)
		}
		b.addOwed("10.0.1.1:9", 9000, notifications)
		accepted, most := b.notifyFor(2*timing.Default.ConfigApply, silent)
		So(accepted["10.0.1.1:9"], ShouldEqual, notifications)
		for _, count := range most {
			So(count, ShouldEqual, 1)
		}
	})
}
