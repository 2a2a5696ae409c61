package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// bench is a place's surroundings and group in a test's hands: proposals wait
// until the test decides them.
type bench struct {
	rules    *config.Rules
	members  map[string]wire.Who
	isFull   bool
	isBusy   bool
	oldest   time.Duration
	proposed []func(commits bool)
	posted   []any
	answers  []func(any, error)
	place    *PlaceHost
	now      time.Duration
	isTight  bool
	fresh    []bool // what it says of its view, one ask after the other; then that it is fresh
	// For how long nobody has confirmed the ownership.
	unconfirmed time.Duration
	later       []func() // work for later
	released    int      // slots given back
	offered     []string // call-backs, by their ids, and how each offer is answered
	tells       []func(isTaken bool)
	adapters    []wire.Who
	dataTerm    int64
	term        int64
	isFollower  bool
	isRefusing  bool // adapters are of a build that knows no group time
}

func newBench() *bench {
	b := &bench{members: map[string]wire.Who{}, now: time.Minute, rules: &config.Rules{Pools: map[string]config.Pool{"p": {Bound: time.Second}},
		Lanes: map[string]config.Lane{"l": {Name: "l", Attempts: 2, Rerun: true, Pools: []string{"p"}, Backoff: time.Second, BackoffMost: time.Second},
			"kept": {Name: "kept", Attempts: 2, Rerun: true, Witness: true, Pools: []string{"p"}, Backoff: time.Second, BackoffMost: time.Second},
			"once": {Name: "once", Attempts: 2, Pools: []string{"p"}}}}}
	b.place = NewPlaceHost(b, 0)
	b.place.Use(b)
	owned(b.place)
	return b
}

func (b *bench) Now() time.Duration                 { return b.now }
func (b *bench) After(_ time.Duration, work func()) { b.later = append(b.later, work) }
func (b *bench) Bounds() timing.Bounds              { return timing.Default }
func (b *bench) IsFresh() bool {
	if len(b.fresh) == 0 {
		return true
	}
	is := b.fresh[0]
	b.fresh = b.fresh[1:]
	return is
}
func (b *bench) IsFull() bool                      { return b.isFull }
func (b *bench) IsBusy() bool                      { return b.isBusy }
func (b *bench) Oldest() time.Duration             { return b.oldest }
func (b *bench) Compiled() *config.Compiled        { return &config.Compiled{Rules: b.rules} }
func (b *bench) Find(name string) (wire.Who, bool) { w, isHere := b.members[name]; return w, isHere }
func (b *bench) Adapters() []wire.Who              { return b.adapters }
func (b *bench) DataTerm() int64                   { return b.dataTerm }
func (b *bench) TakeElsewhere(t *wire.Take, tell func(bool)) {
	b.offered, b.tells = append(b.offered, t.Id), append(b.tells, tell)
}
func (b *bench) Teller(string) (wire.Who, bool) { w, isHere := b.members["t"]; return w, isHere }
func (b *bench) Release(SlotGrant)              { b.released++ }
func (b *bench) Nudge()                         {}
func (b *bench) PlaceOf(string) int64           { return 0 }
func (b *bench) ChildOf(parent string) string   { return parent }
func (b *bench) Fail(err error)                 { panic(err) }
func (b *bench) IsTight() bool                  { return b.isTight }
func (b *bench) IsOwner() bool                  { return !b.isFollower }
func (b *bench) Term() int64                    { return max(1, b.term) }
func (b *bench) Waiting() int                   { return 0 }
func (b *bench) View() group.View               { return group.View{Confirmed: b.now - b.unconfirmed, IsSure: true} }
func (b *bench) Do(work func()) error           { work(); return nil }
func (b *bench) Post(_ wire.Who, ask any, answer func(any, error)) error {
	if b.isRefusing {
		return errs.New(errs.Rejected, "the link has no %T", ask)
	}
	b.posted, b.answers = append(b.posted, ask), append(b.answers, answer)
	return nil
}
func (b *bench) Propose(data []byte, tell func(any, error)) {
	b.proposed = append(b.proposed, func(commits bool) {
		if commits {
			tell(b.place.Apply(data, true), nil)
		} else {
			tell(nil, errs.New(errs.Undecided, "the owner has been replaced"))
		}
	})
}

// commit decides all proposals that wait.
func (b *bench) commit(commits bool) {
	for len(b.proposed) > 0 {
		next := b.proposed[0]
		b.proposed = b.proposed[1:]
		next(commits)
	}
}

// started returns a bench with one message whose first run is open.
func started(lane string) (*bench, *place.Message) {
	b := newBench()
	b.place.Take(&wire.Take{Id: "0-x", Lane: lane, Deadline: 600_000}, func(any) {})
	b.commit(true)
	b.place.Start(lane, SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: 2 * time.Minute})
	b.commit(true)
	b.answers[0](&wire.RunAck{}, nil)
	return b, b.place.machine.Find("0-x")
}

// TestReplacedOwner: an owner that had been replaced without knowing once
// acknowledged results of messages that it had never heard of.
func TestReplacedOwner(t *testing.T) {
	cases := []struct {
		name string
		ask  func(p *PlaceHost, answer func(any))
	}{
		{"a message", func(p *PlaceHost, answer func(any)) { p.Take(&wire.Take{Id: "0-n", Lane: "l"}, answer) }},
		{"a settlement", func(p *PlaceHost, answer func(any)) { p.Settle(&wire.Settle{Id: "0-n"}, answer) }},
		{"a result of a message it knows", func(p *PlaceHost, answer func(any)) {
			p.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, answer)
		}},
		{"a result of a message it never heard of", func(p *PlaceHost, answer func(any)) {
			p.Outcome(&wire.Outcome{Id: "0-stranger", Proof: wire.Proof{Attempt: 1}}, answer)
		}},
	}
	Convey("An owner that cannot commit acknowledges no", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, _ := started("l")
				answers := []any{}
				c.ask(b.place, func(reply any) { answers = append(answers, reply) })
				So(answers, ShouldBeEmpty)
				b.commit(false)
				So(len(answers), ShouldEqual, 1)
				switch m := answers[0].(type) {
				case *wire.Taken:
					So(m.Kind, ShouldEqual, "undecided")
				case *wire.OutcomeAck:
					So(m.Kind, ShouldEqual, "undecided")
				}
			})
		}
	})
}

// TestOpenRuns is the table of what an owner does about a run that it does not
// know to be in hand.
func TestOpenRuns(t *testing.T) {
	cases := []struct {
		name   string
		lane   string
		boot   string // of the adapter that is a member; empty for none
		state  string // its answer
		wait   time.Duration
		isAsk  bool
		state2 place.State
	}{
		{"an adapter that is away is waited for where others keep results", "kept", "", "", 9 * time.Minute, false, place.Started},
		{"… there, too, until the message's patience is over", "kept", "", "", time.Hour, false, place.Expired},
		{"an adapter that is away is waited for a little", "l", "", "", 2900 * time.Millisecond, false, place.Started},
		{"… and its run is then held again", "l", "", "", 3 * time.Second, false, place.Held},
		{"… or waited for, if its lane does not allow a rerun", "once", "", "", 9 * time.Minute, false, place.Started},
		{"… until the message's patience is over", "once", "", "", time.Hour, false, place.Expired},
		{"a run still open is waited for", "l", "1", "open", time.Hour, true, place.Started},
		{"a run that never began is held again", "l", "1", "never", 0, true, place.Held},
		{"a run kept beside the next life is waited for", "l", "2", "open", time.Hour, true, place.Started},
		{"a run that is gone is waited for a little", "l", "2", "gone", time.Second, true, place.Started},
		{"… and is then held again", "l", "2", "gone", 5 * time.Second, true, place.Held},
		{"… or has failed, if its lane does not allow a rerun", "once", "2", "gone", 5 * time.Second, true, place.Failed},
	}
	Convey("Given a started message and a new owner,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := started(c.lane)
				owned(b.place) // nothing is in hand any more
				b.posted, b.answers = nil, nil
				if c.boot != "" {
					b.members["a"] = wire.Who{Name: "a", Boot: c.boot}
				}
				for _, at := range []time.Duration{0, c.wait} {
					b.now = time.Minute + at
					b.place.askOpen(b.now)
					for _, answer := range b.answers {
						answer(&wire.OpenAck{State: c.state}, nil)
					}
					b.answers = nil
					b.commit(true)
				}
				So(len(b.posted) > 0, ShouldEqual, c.isAsk)
				So(e.State, ShouldEqual, c.state2)
			})
		}
	})
}

// TestJudge is the table of what a result means.
func TestJudge(t *testing.T) {
	cases := []struct {
		name    string
		outcome wire.Outcome
		spent   int64
		state   place.State
	}{
		{"a success ends it", wire.Outcome{}, 0, place.Ended},
		{"a mishap with attempts left holds it again", wire.Outcome{Kind: "unsound", Begun: true}, 0, place.Held},
		{"the last attempt's mishap fails it", wire.Outcome{Kind: "unsound", Begun: true}, 1, place.Failed},
		{"a run that never reached the worker costs nothing", wire.Outcome{Kind: "lost"}, 1, place.Held},
		{"an answer that blames the message fails it at once", wire.Outcome{Kind: "rejected", Begun: true, Final: true}, 0, place.Failed},
	}
	Convey("Given a started message,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b, e := started("l")
				e.Spent = c.spent
				c.outcome.Id, c.outcome.Proof.Attempt = "0-x", 1
				b.place.Outcome(&c.outcome, func(any) {})
				b.commit(true)
				So(e.State, ShouldEqual, c.state)
			})
		}
	})
}

func TestFullDiskRejectsIntakeOnly(t *testing.T) {
	Convey("Given a disk that is nearly full", t, func() {
		b, e := started("l")
		b.isFull = true
		Convey("nothing more is taken, and what is held comes to its end", func() {
			answers := []*wire.Taken{}
			b.place.Take(&wire.Take{Id: "0-y", Lane: "l"}, func(reply any) { answers = append(answers, reply.(*wire.Taken)) })
			So(answers[0].Kind, ShouldEqual, "disk_full")
			So(answers[0].Retry, ShouldBeGreaterThan, 0)
			b.place.Outcome(&wire.Outcome{Id: "0-x", Proof: wire.Proof{Attempt: 1}}, func(any) {})
			b.commit(true)
			So(e.State, ShouldEqual, place.Ended)
		})
	})
}
