package store

import (
	"sync/atomic"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// PlaceHost is a place on this store: the state machine, and while this store
// owns it, the runs under way.
//
// Invariants: all but ready, open and isTimeUnknown is touched by the host's goroutine alone; inHand
// has a run only after its adapter said so in this ownership.
type PlaceHost struct {
	environment     Environment
	number          int64
	host            *timedGroup
	machine         *place.Machine
	clock           groupclock.Clock
	timeCommittedAt time.Duration // when the place's time was last proposed by itself
	time            timeReplication
	isTimeUnknown   atomic.Bool // nobody knew the place's time as this ownership began
	proposedLevel   int64       // the feature level that this owner has proposed
	levelProposedAt time.Duration
	confirmed       map[string]runConfirmation
	nextQueryAt     map[string]time.Duration
	lostSince       map[string]time.Duration
	notifier        notifier
	missingSince    map[string]time.Duration // since when nobody has told of an open run
	absentSince     map[string]time.Duration // since when adapters of open runs have been no members
	sendingChildren map[string]bool
	trimmedAt       time.Duration
	pending         pendingRequests
	// Those who wait for a message's end, by its id, and how many: at most maxWaiters.
	waiters     map[string][]waiter
	waiterCount int
	quota       *quotaBatcher
	ready       atomic.Pointer[map[string]int]
	open        atomic.Int64 // runs that are under way, by what is applied here, as of the last tick
}

type runConfirmation struct {
	attempt int64
	until   time.Duration
}

// Limits of one place.
const (
	maxMessages         = 20000
	maxBytes            = 64 << 20
	maxPendingProposals = 2000
	maxExtraTombstones  = 2000 // settled messages that a full place takes besides
	trimBatchLimit      = 200

	maxUnsyncedBytes = 16 << 20 // bytes of all groups that may wait for the store's disk
)

func NewPlaceHost(environment Environment, number int64) *PlaceHost {
	p := &PlaceHost{environment: environment, number: number, machine: place.New(), clock: groupclock.New(environment.Now()), waiters: map[string][]waiter{}, pending: pendingRequests{},
		quota: &quotaBatcher{}}
	p.ready.Store(&map[string]int{})
	return p
}

// Apply takes one committed command in.
func (p *PlaceHost) Apply(data []byte, isOwn bool) any {
	c, err := place.Decode(data)
	if err != nil {
		p.environment.Fail(err) // a replica that cannot follow must stop, not guess
		return nil
	}
	v := p.machine.Apply(c)
	heldAt := p.environment.Now()
	if p.host != nil { // else the replica is only beginning
		heldAt = p.host.LoggedAt()
	}
	p.clock.Apply(p.machine.Clock(), isOwn, heldAt)
	if len(p.waiters[c.Id]) > 0 && v.State.IsOver() {
		p.answerWaiters(func(id string, _ waiter) bool { return id == c.Id })
	}
	return v
}

// Image gives the state for a slot.
func (p *PlaceHost) Snapshot() []byte { return p.machine.Snapshot() }

// Restore replaces the state.
func (p *PlaceHost) Restore(image []byte) error {
	m, err := place.Restore(image)
	if err == nil {
		p.machine = m
		p.clock.Reset(m.Clock(), p.environment.Now())
	}
	return err
}

// now is the place time, as package groupclock has it.
func (p *PlaceHost) now() int64 { return p.clock.At(p.environment.Now()) }

// commitTime commits the place time where messages are under way and no command has
// told it for a while: an owner that has only its log would begin there again.
func (p *PlaceHost) commitTime(now time.Duration) {
	span := p.environment.Bounds().Of(timing.TimeCommitInterval)
	if p.machine.IsIdle() || p.clock.Lag(p.machine.Clock(), now) < span || now-p.timeCommittedAt < span {
		return
	}
	p.timeCommittedAt = now
	p.propose(place.TimeMark(), nil)
}

func (p *PlaceHost) propose(c place.Command, tell func(place.Result, error)) {
	c.At = p.now()
	p.host.Propose(c.Encode(), func(verdict any, err error) {
		v, _ := verdict.(place.Result)
		if tell != nil {
			tell(v, err)
		}
		if err == nil {
			p.publishReady()
		}
	})
}

// Take holds a message, or says definitely that it does not.
func (p *PlaceHost) Take(t *wire.Take, answer func(any)) {
	reject := func(kind errs.Kind, text string, retry time.Duration) {
		answer(&wire.Taken{Id: t.Id, Kind: string(kind), Text: text, Owner: p.ownerName(), Retry: int64(retry / time.Millisecond)})
	}
	count, bytes := p.machine.Count()
	switch {
	case !p.host.IsOwner():
		reject(errs.NotOwner, "", 0)
		return
	case p.isDuplicate(t): // sent again: what is committed stays, full or not
		answer(&wire.Taken{Id: t.Id, State: string(p.machine.Find(t.Id).State), IsRepeat: true})
		return
	case p.pending.join(takeKey(t), markRepeat(answer)): // sent again: it may be held yet
		return
	case !p.environment.IsFresh(): // the lane may be another by now
		reject(errs.NotOwner, "", 0) // no more definite than that: an older adapter would believe it
		return
	case p.environment.IsMemoryLow():
		reject(errs.Full, "the store's memory is nearly used up", 2*time.Second)
		return
	case p.environment.IsDiskFull():
		reject(errs.DiskFull, "the store's disk is nearly full", 30*time.Second)
		return
	case p.environment.IsDiskBusy() || p.host.OldestProposalAge() > p.environment.Bounds().Of(timing.StallTimeout):
		reject(errs.Full, "the place's disks cannot keep up", p.environment.Bounds().Of(timing.StallTimeout))
		return
	case count >= maxMessages || bytes >= maxBytes || p.host.PendingProposals() >= maxPendingProposals:
		reject(errs.Full, "the place holds as much as it may", 2*time.Second)
		return
	}
	lane, isKnown := p.environment.Compiled().Rules.Lanes[t.Lane]
	if !isKnown {
		reject(errs.Unknown, "no such lane", 0)
		return
	}
	answer = p.pending.begin(takeKey(t), answer)
	p.propose(place.Command{Kind: place.CmdTake, Id: t.Id, Lane: t.Lane, Key: t.Key, IdempotencyKey: t.IdempotencyKey, ContentType: t.ContentType,
		Body: t.Body, Checksum: t.Checksum, Deadline: t.Deadline, Parent: t.Parent, Ordered: lane.IsOrdered,
		Head: t.RequestHead, Delay: t.Delay, Notify: t.NotifyUrl, StartWithin: lane.StartWithin.Milliseconds()}, func(v place.Result, err error) {
		if err != nil {
			reject(errs.KindOf(err), "", 0)
			return
		}
		answer(&wire.Taken{Id: v.Id, State: string(v.State), Kind: string(v.Kind), Text: v.Text, IsRepeat: v.IsRepeat})
	})
}

// isDuplicate reports whether a message is held here already, or has been.
func (p *PlaceHost) isDuplicate(t *wire.Take) bool {
	e := p.machine.Find(t.Id)
	return e != nil && e.State != place.Tombstone && e.Checksum == t.Checksum
}

// Settle makes an undecided message's fate definite: held, or never.
func (p *PlaceHost) Settle(t *wire.Settle, answer func(any)) {
	if count, _ := p.machine.Count(); p.machine.Find(t.Id) == nil && count >= maxMessages+maxExtraTombstones {
		answer(&wire.Taken{Id: t.Id, Kind: string(errs.Full), Text: "the place holds as much as it may"})
		return
	}
	p.propose(place.Command{Kind: place.CmdTombstone, Id: t.Id, Lane: t.Lane, Retain: int64(10 * time.Minute / time.Millisecond)},
		func(v place.Result, err error) {
			out := &wire.Taken{Id: t.Id, State: string(v.State), Kind: string(v.Kind)}
			if err != nil {
				out.Kind, out.Owner = string(errs.KindOf(err)), p.ownerName()
			} else if v.State == place.Tombstone {
				out.Kind = string(errs.Rejected)
			}
			answer(out)
		})
}

func (p *PlaceHost) ownerName() string { return ownerOf(p.host) }

// lane returns a lane's rules, or false when they are not known now: a store
// that has just started must wait for its view rather than take every lane for
// one that was removed.
func (p *PlaceHost) lane(name string) (config.Lane, bool) {
	isFresh := p.environment.IsFresh() // before the configuration: what is fresh now is in it
	return laneOf(p.environment.Compiled().Rules, name, isFresh)
}

func laneOf(rules *config.Rules, name string, isFresh bool) (config.Lane, bool) {
	if l, isKnown := rules.Lanes[name]; isKnown {
		return l, true
	}
	if !isFresh {
		return config.Lane{}, false
	}
	return config.Lane{Name: name, MaxAttempts: 1, CountsEveryRun: true, Retention: 10 * time.Minute, Backoff: time.Second, MaxBackoff: time.Second}, true
}
