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

// harness is the environment and the group of a place, controlled by a test: proposals wait until the test decides
// them.
type harness struct {
	rules        *config.Rules
	members      map[string]wire.Who
	isDiskFull   bool
	isDiskBusy   bool
	oldest       time.Duration
	proposed     []func(commits bool)
	posted       []any
	answers      []func(any, error)
	place        *PlaceHost
	now          time.Duration
	isMemoryLow  bool
	freshAnswers []bool // results of IsFresh, one for each call; true after that
	// For how long no majority has confirmed the ownership.
	unconfirmed         time.Duration
	deferred            []func() // work that was scheduled by After
	released            int      // number of slots given back
	submitted           []string // ids of the call-backs that were submitted to other places
	submitReplies       []func(isTaken bool)
	adapters            []wire.Who
	dataTerm            int64
	appendedAgo         time.Duration // how long ago the log received the command that is applied
	term                int64
	isFollower          bool
	hasOlderAdapters    bool
	commonLevel         int64 // that the replicas report
	rejectsTimeMessages bool  // adapters are of an older build without the messages for a group's time
}

func newHarness() *harness {
	b := &harness{members: map[string]wire.Who{}, now: time.Minute, rules: &config.Rules{Pools: map[string]config.Pool{"p": {RunTimeout: time.Second}},
		Lanes: map[string]config.Lane{"l": {Name: "l", MaxAttempts: 2, AllowsRerun: true, Pools: []string{"p"}, Backoff: time.Second, MaxBackoff: time.Second},
			"kept": {Name: "kept", MaxAttempts: 2, AllowsRerun: true, UsesWitness: true, Pools: []string{"p"}, Backoff: time.Second, MaxBackoff: time.Second},
			"once": {Name: "once", MaxAttempts: 2, Pools: []string{"p"}}}}}
	b.place = NewPlaceHost(b, 0)
	b.place.Attach(b)
	takeOwnership(b.place)
	return b
}

func (b *harness) Now() time.Duration                 { return b.now }
func (b *harness) After(_ time.Duration, work func()) { b.deferred = append(b.deferred, work) }
func (b *harness) Bounds() timing.Bounds              { return timing.Default }
func (b *harness) IsFresh() bool {
	if len(b.freshAnswers) == 0 {
		return true
	}
	is := b.freshAnswers[0]
	b.freshAnswers = b.freshAnswers[1:]
	return is
}
func (b *harness) IsDiskFull() bool                  { return b.isDiskFull }
func (b *harness) IsDiskBusy() bool                  { return b.isDiskBusy }
func (b *harness) OldestProposalAge() time.Duration  { return b.oldest }
func (b *harness) Compiled() *config.Compiled        { return &config.Compiled{Rules: b.rules} }
func (b *harness) Find(name string) (wire.Who, bool) { w, isHere := b.members[name]; return w, isHere }
func (b *harness) Adapters() []wire.Who              { return b.adapters }
func (b *harness) HasOlderAdapters() bool            { return b.hasOlderAdapters }
func (b *harness) DataTerm() int64                   { return b.dataTerm }
func (b *harness) LoggedAt() time.Duration           { return b.now - b.appendedAgo }
func (b *harness) SubmitToPlace(t *wire.Take, report func(bool)) {
	b.submitted, b.submitReplies = append(b.submitted, t.Id), append(b.submitReplies, report)
}
func (b *harness) Notifier(string) (wire.Who, bool) { w, isHere := b.members["t"]; return w, isHere }
func (b *harness) Release(SlotGrant)                { b.released++ }
func (b *harness) Wake()                            {}
func (b *harness) PlaceOf(string) int64             { return 0 }
func (b *harness) ChildId(parent string) string     { return parent }
func (b *harness) Fail(err error)                   { panic(err) }
func (b *harness) IsMemoryLow() bool                { return b.isMemoryLow }
func (b *harness) IsOwner() bool                    { return !b.isFollower }
func (b *harness) Term() int64                      { return max(1, b.term) }
func (b *harness) PendingProposals() int            { return 0 }
func (b *harness) View() group.View {
	return group.View{ConfirmedAt: b.now - b.unconfirmed, IsConfirmed: true, CommonLevel: b.commonLevel}
}
func (b *harness) Do(work func()) error { work(); return nil }
func (b *harness) Post(_ wire.Who, request any, answer func(any, error)) error {
	if b.rejectsTimeMessages {
		return errs.New(errs.Rejected, "the link has no %T", request)
	}
	b.posted, b.answers = append(b.posted, request), append(b.answers, answer)
	return nil
}
func (b *harness) Propose(data []byte, done func(any, error)) {
	b.proposed = append(b.proposed, func(commits bool) {
		if commits {
			done(b.place.Apply(data, true), nil)
		} else {
			done(nil, errs.New(errs.Undecided, "the owner has been replaced"))
		}
	})
}

// commit decides all pending proposals.
func (b *harness) commit(commits bool) {
	for len(b.proposed) > 0 {
		next := b.proposed[0]
		b.proposed = b.proposed[1:]
		next(commits)
	}
}

// startedHarness returns a harness with one message whose first run is open.
func startedHarness(lane string) (*harness, *place.Message) {
	b := newHarness()
	b.place.Take(&wire.Take{Id: "0-x", Lane: lane, Deadline: 600_000}, func(any) {})
	b.commit(true)
	b.place.Start(lane, SlotGrant{Pool: "p", Worker: "w", Holder: wire.Who{Name: "a", Boot: "1"}, Until: 2 * time.Minute})
	b.commit(true)
	b.answers[0](&wire.RunAck{}, nil)
	return b, b.place.machine.Find("0-x")
}
