package store

import (
	"time"

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
	heldFor     time.Duration // for how long the log has had the command that is applied
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
func (b *bench) HeldAt() time.Duration             { return b.now - b.heldFor }
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
