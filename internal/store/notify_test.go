package store

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// owingHarness returns a harness with ended messages whose notifications are owed.
func owingHarness(count int) *harness {
	b := newHarness()
	b.members["t"] = wire.Who{Name: "t", Boot: "1"}
	for i := range count {
		id := fmt.Sprintf("0-%03d", i)
		b.place.Apply(place.Command{Kind: place.CmdTake, Id: id, Lane: "l", Deadline: 600_000, Head: []byte("POST /a\nx\n"), Notify: "http://10.0.0.9:1/x"}.Encode(), true)
		b.place.Apply(place.Command{Kind: place.CmdClose, Id: id, State: "failed", Retain: 600_000}.Encode(), true)
	}
	return b
}

// notifyOnce has the owner do one notification pass, after a while, and answers its notifications.
func (b *harness) notifyOnce(after time.Duration, reply any, err error) (asked int) {
	b.now += after
	b.place.notify(b.now)
	answers := b.answers
	b.answers = nil
	for _, answer := range answers {
		answer(reply, err)
	}
	return len(answers)
}

// TestTelling checks what an owner does about owed notifications.
func TestTelling(t *testing.T) {
	scanInterval, redial := timing.Default.Of(timing.SlotRequestHold), timing.Default.Of(timing.RedialDelay)
	refusals := []struct {
		name  string
		reply any
		err   error
	}{
		{"a receiver that refuses", &wire.Told{Kind: string(errs.Rejected)}, nil},
		{"an adapter with too many in flight", &wire.Told{Kind: string(errs.Full)}, nil},
		{"an adapter that is lost", nil, errs.New(errs.Lost, "no answer")},
		{"an answer of another kind", &wire.RunAck{}, nil},
	}
	Convey("An owner that owes a notification and meets", t, func() {
		for _, c := range refusals {
			Convey(c.name+" notifies again, after pauses that grow up to a limit", func() {
				b, pauses, last := owingHarness(1), []time.Duration{}, time.Duration(0)
				for range 4000 {
					if b.notifyOnce(scanInterval, c.reply, c.err) > 0 {
						if last > 0 {
							pauses = append(pauses, b.now-last)
						}
						last = b.now
					}
				}
				So(len(pauses), ShouldBeGreaterThan, 5)
				for i, pause := range pauses {
					want := min(redial<<min(i, 10), 8*redial)
					So(pause, ShouldBeBetweenOrEqual, want, want+2*scanInterval)
				}
				So(b.proposed, ShouldBeEmpty)
				So(b.place.machine.CountPendingNotifications(), ShouldEqual, 1)
			})
		}
		Convey("a receiver that accepts commits the acceptance once, and notifies no more", func() {
			b := owingHarness(1)
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldEqual, 1)
			So(b.notifyOnce(timing.Default.Of(timing.AnswerTimeout)+scanInterval, nil, nil), ShouldEqual, 0)
			So(len(b.proposed), ShouldEqual, 1)
			b.commit(true)
			So(b.place.machine.CountPendingNotifications(), ShouldEqual, 0)
			So(b.notifyOnce(time.Minute, nil, nil), ShouldEqual, 0)
			So(len(b.proposed), ShouldEqual, 0)
		})
		Convey("a receiver that accepts, but cannot commit it, notifies again: delivery is at least once", func() {
			b := owingHarness(1)
			b.notifyOnce(scanInterval, &wire.Told{}, nil)
			b.notifyOnce(timing.Default.Of(timing.AnswerTimeout)+scanInterval, nil, nil)
			b.commit(false)
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldEqual, 1)
		})
		Convey("no adapter that could notify waits for one", func() {
			b := owingHarness(1)
			delete(b.members, "t")
			So(b.notifyOnce(scanInterval, nil, nil), ShouldEqual, 0)
			b.members["t"] = wire.Who{Name: "t", Boot: "2"}
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldEqual, 1)
		})
		Convey("an adapter that never answers notifies again after two bounds", func() {
			b := owingHarness(1)
			b.now += scanInterval
			b.place.notify(b.now)
			b.answers = nil
			So(b.notifyOnce(timing.Default.ConfigApply, nil, nil), ShouldEqual, 0)
			So(b.notifyOnce(timing.Default.ConfigApply, &wire.Told{}, nil), ShouldEqual, 1)
		})
		Convey("many ended messages notifies a bounded number at a time, and commits them together", func() {
			b := owingHarness(150)
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldEqual, maxReceiverNotifications)
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldBeLessThanOrEqualTo, maxReceiverNotifications)
			for range 20 {
				b.notifyOnce(timing.Default.Of(timing.AnswerTimeout), &wire.Told{}, nil)
				b.commit(true)
			}
			So(b.place.machine.CountPendingNotifications(), ShouldEqual, 0)
		})
		Convey("messages that are forgotten before their notification keeps no state of them", func() {
			b := owingHarness(9)
			So(b.notifyOnce(scanInterval, &wire.Told{Kind: string(errs.Rejected)}, nil), ShouldEqual, 9)
			for i := range 8 {
				b.place.Apply(place.Command{Kind: place.CmdTrim, Ids: []string{fmt.Sprintf("0-%03d", i)}}.Encode(), true)
			}
			b.notifyOnce(time.Minute, &wire.Told{Kind: string(errs.Rejected)}, nil)
			So(len(b.place.notifier.backoffs), ShouldEqual, 1)
			So(b.place.notifier.inFlight, ShouldBeEmpty)
		})
		Convey("a new ownership starts again and ignores answers to the one before", func() {
			b := owingHarness(1)
			b.now += scanInterval
			b.place.notify(b.now)
			late := b.answers[0]
			takeOwnership(b.place)
			late(&wire.Told{}, nil)
			So(b.place.notifier.accepted, ShouldBeEmpty)
			b.answers = nil
			So(b.notifyOnce(scanInterval, &wire.Told{}, nil), ShouldEqual, 1)
		})
	})
}
