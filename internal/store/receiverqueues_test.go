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

// addOwed has messages that are over, and of whose ends an address is to be told.
func (b *harness) addOwed(address string, first, count int) {
	for i := range count {
		id := fmt.Sprintf("0-%05d", first+i)
		b.place.Apply(place.Command{Kind: place.CmdTake, Id: id, Lane: "l", Deadline: 600_000, Head: []byte("POST /a\nx\n"), Notify: "http://" + address + "/done"}.Encode(), true)
		b.place.Apply(place.Command{Kind: place.CmdClose, Id: id, State: "failed", Retain: 600_000}.Encode(), true)
	}
}

// timedOutAnswer is one that comes once its receiver was given up.
type timedOutAnswer struct {
	at    time.Duration
	reply func(any, error)
}

// notifyFor lets an owner tell for a span, while the receivers in silent say nothing and all others accept at once. It counts
// the words that each address was told, and the most that were under way to it.
func (b *harness) notifyFor(span time.Duration, silent map[string]bool) (told, most map[string]int) {
	told, most = map[string]int{}, map[string]int{}
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
				told[u.Host]++
				answers[i](&wire.Told{}, nil)
				continue
			}
			underWay[u.Host]++
			most[u.Host] = max(most[u.Host], underWay[u.Host])
			late = append(late, timedOutAnswer{b.now + timing.Default.Of(timing.CallbackTimeout), func(reply any, err error) {
				underWay[u.Host]--
				answers[i](reply, err)
			}})
		}
		for len(b.proposed) > 0 {
			b.commit(true)
		}
	}
	return told, most
}

// TestSilentReceivers guards against words that wait behind those of a receiver that is silent: each pass began with the
// least id, and the words of one silent receiver took up all that may be under way.
func TestSilentReceivers(t *testing.T) {
	const words = 20
	Convey("Beside a silent receiver of 1,000 words that came first, ten others are told all of theirs in time", t, func() {
		b := owingHarness(0)
		b.addOwed("10.0.0.1:9", 0, 1000)
		for i := range 10 {
			b.addOwed(fmt.Sprintf("10.0.1.%d:9", i), 1000+words*i, words)
		}
		told, most := b.notifyFor(timing.Default.ConfigApply, map[string]bool{"10.0.0.1:9": true})
		for i := range 10 {
			So(told[fmt.Sprintf("10.0.1.%d:9", i)], ShouldEqual, words)
		}
		So(most["10.0.0.1:9"], ShouldBeBetweenOrEqual, 1, maxReceiverNotifications)
		Convey("and it is told of its own once it hears", func() {
			told, _ = b.notifyFor(time.Minute, nil)
			So(told["10.0.0.1:9"], ShouldEqual, 1000)
			So(b.place.machine.CountPendingNotifications(), ShouldEqual, 0)
			b.notifyFor(time.Second, nil)
			So(b.place.notifier.receivers, ShouldBeEmpty)
		})
	})
	Convey("Beside two hundred silent receivers, a sound one is told within two bounds", t, func() {
		b, silent := owingHarness(0), map[string]bool{}
		for i := range 200 {
			address := fmt.Sprintf("10.0.0.%d:9", i)
			silent[address] = true
			b.addOwed(address, 10*i, 10)
		}
		b.addOwed("10.0.1.1:9", 9000, words)
		told, most := b.notifyFor(2*timing.Default.ConfigApply, silent)
		So(told["10.0.1.1:9"], ShouldEqual, words)
		for _, count := range most {
			So(count, ShouldEqual, 1)
		}
	})
}
