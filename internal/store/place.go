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

// PlaceHost is the replica of a place (a partition of the message queue) on this store: the state machine, and, while
// this store owns the place, its open runs, waiters and notifications.
//
// Invariants: all fields but ready, open and isTimeUnknown are used by the host's goroutine alone; a run is in
// confirmed only after its adapter has confirmed it in this ownership.
type PlaceHost struct {
	environment     Environment
	number          int64
	host            *timedGroup
	machine         *place.Machine // the replicated state
	clock           groupclock.Clock
	timeCommittedAt time.Duration // when the owner last proposed the place's time by itself
	time            timeReplication
	isTimeUnknown   atomic.Bool // no adapter knew the place's time when this ownership began
	proposedLevel   int64       // the feature level that this owner has proposed
	levelProposedAt time.Duration
	olderAdaptersAt time.Duration              // when this ownership began, or an adapter of an older build was last seen in it
	confirmed       map[string]runConfirmation // by message id
	nextQueryAt     map[string]time.Duration   // when a run's adapter may be asked again, by message id
	lostSince       map[string]time.Duration   // since when a run is lost with its adapter, by message id
	notifier        notifier
	missingSince    map[string]time.Duration // since when no adapter has reported an open run
	absentSince     map[string]time.Duration // since when adapters of open runs have had no session
	sendingChildren map[string]bool          // call-backs being submitted, by id
	trimmedAt       time.Duration            // when forgettable messages were last removed
	pending         pendingRequests          // requests whose proposals are not decided
	// Callers that wait for a message's end, by its id, and their number, at most maxWaiters.
	waiters     map[string][]waiter
	waiterCount int
	quota       *quotaBatcher
	ready       atomic.Pointer[map[string]int] // ready messages by lane
	open        atomic.Int64                   // open runs in the applied state, as of the last tick
}

// runConfirmation is an adapter's confirmation that it has a run.
type runConfirmation struct {
	attempt int64
	until   time.Duration
}

// Limits of one place, and of the store's disk.
const (
	maxMessages         = 20000
	maxBytes            = 64 << 20 // of the messages
	maxPendingProposals = 2000
	maxExtraTombstones  = 2000 // settled messages that a full place accepts beyond maxMessages
	trimBatchLimit      = 200  // messages removed by one command

	maxUnsyncedBytes = 16 << 20 // bytes of all groups that may be queued for the store's disk
)

// NewPlaceHost returns an empty place.
func NewPlaceHost(environment Environment, number int64) *PlaceHost {
	p := &PlaceHost{environment: environment, number: number, machine: place.New(), clock: groupclock.New(environment.Now()), waiters: map[string][]waiter{}, pending: pendingRequests{},
		quota: &quotaBatcher{}}
	p.ready.Store(&map[string]int{})
	return p
}

// Apply applies a committed command.
func (p *PlaceHost) Apply(data []byte, isOwn bool) any {
	c, err := place.Decode(data)
	if err != nil {
		// A replica that cannot apply a command must stop, because its state would differ from the others'.
		p.environment.Fail(err)
		return nil
	}
	v := p.machine.Apply(c)
	loggedAt := p.environment.Now()
	if p.host != nil { // nil while the replica is being opened
		loggedAt = p.host.LoggedAt()
	}
	p.clock.Apply(p.machine.Clock(), isOwn, loggedAt)
	if len(p.waiters[c.Id]) > 0 && v.State.IsOver() {
		p.answerWaiters(func(id string, _ waiter) bool { return id == c.Id })
	}
	return v
}

// Snapshot returns the state as a snapshot.
func (p *PlaceHost) Snapshot() []byte { return p.machine.Snapshot() }

// Restore replaces the state by a snapshot.
func (p *PlaceHost) Restore(snapshot []byte) error {
	m, err := place.Restore(snapshot)
	if err == nil {
		p.machine = m
		p.clock.Reset(m.Clock(), p.environment.Now())
	}
	return err
}

// now returns the place's time; see package groupclock.
func (p *PlaceHost) now() int64 { return p.clock.At(p.environment.Now()) }

// commitTime commits the place's time if the place holds messages and no command has committed it for a while. Without
// that, a new owner would go on from the old time in its log.
func (p *PlaceHost) commitTime(now time.Duration) {
	span := p.environment.Bounds().Of(timing.TimeCommitInterval)
	if p.machine.IsIdle() || p.clock.Lag(p.machine.Clock(), now) < span || now-p.timeCommittedAt < span {
		return
	}
	p.timeCommittedAt = now
	p.propose(place.TimeMark(), nil)
}

// propose proposes a command with the place's time, and publishes the ready messages once it is committed.
func (p *PlaceHost) propose(c place.Command, done func(place.Result, error)) {
	c.At = p.now()
	p.host.Propose(c.Encode(), func(verdict any, err error) {
		v, _ := verdict.(place.Result)
		if done != nil {
			done(v, err)
		}
		if err == nil {
			p.publishReady()
		}
	})
}

// Take accepts a message, or answers definitely that it is not accepted.
func (p *PlaceHost) Take(t *wire.Take, answer func(any)) {
	reject := func(kind errs.Kind, text string, retry time.Duration) {
		answer(&wire.Taken{Id: t.Id, Kind: string(kind), Text: text, Owner: p.ownerName(), Retry: int64(retry / time.Millisecond)})
	}
	count, bytes := p.machine.Count()
	switch {
	case !p.host.IsOwner():
		reject(errs.NotOwner, "", 0)
		return
	case p.isDuplicate(t): // a repeat: a committed message stays accepted even if the place is full
		answer(&wire.Taken{Id: t.Id, State: string(p.machine.Find(t.Id).State), IsRepeat: true})
		return
	case p.pending.join(takeKey(t), markRepeat(answer)): // a repeat: the first request may still be accepted
		return
	case !p.environment.IsFresh(): // the lane may have changed meanwhile
		reject(errs.NotOwner, "", 0) // not a definite refusal, which an older adapter would pass on
		return
	case p.isUnclaimed(t):
		reject(errs.Stale, "the adapter did not ask the home of the operation key", time.Second)
		return
	case t.Claim.Operation != "" && p.machine.Level() < place.LevelHomes:
		reject(errs.Unsupported, "the place does not hold messages with operation keys yet", 0)
		return
	case count >= maxMessages || bytes >= maxBytes:
		reject(errs.Full, "the place holds as much as it may", fullRetry)
		return
	}
	if busy := p.overload(); busy != nil {
		reject(busy.kind, busy.text, busy.retry)
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
		Head: t.RequestHead, Delay: t.Delay, Notify: t.NotifyUrl, StartWithin: lane.StartWithin.Milliseconds(),
		Operation: t.Claim.Operation, Tenant: t.Claim.Tenant, Sender: t.Claim.Sender, Retain: claimRetention(t.Claim, lane)}, func(v place.Result, err error) {
		if err != nil {
			reject(errs.KindOf(err), "", 0)
			return
		}
		answer(&wire.Taken{Id: v.Id, State: string(v.State), Kind: string(v.Kind), Text: v.Text, IsRepeat: v.IsRepeat, IsRebindable: v.IsRebindable})
	})
}

// isDuplicate reports whether the place holds the message, or has held it.
func (p *PlaceHost) isDuplicate(t *wire.Take) bool {
	e := p.machine.Find(t.Id)
	return e != nil && e.State != place.Tombstone && e.Checksum == t.Checksum
}

// Settle decides the fate of a message whose acceptance is undecided: accepted, or never accepted.
func (p *PlaceHost) Settle(t *wire.Settle, answer func(any)) {
	if count, _ := p.machine.Count(); p.machine.Find(t.Id) == nil && count >= maxMessages+maxExtraTombstones {
		answer(&wire.Taken{Id: t.Id, Kind: string(errs.Full), Text: "the place holds as much as it may"})
		return
	}
	cause := ""
	if t.IsForOperation {
		cause = place.CauseOperation
		if p.machine.Level() < place.LevelClaims { // a tombstone could not say for whom it was made
			answer(p.settledBelowClaims(t))
			return
		}
	}
	p.propose(place.Command{Kind: place.CmdTombstone, Id: t.Id, Lane: t.Lane, Cause: cause, Retain: int64(10 * time.Minute / time.Millisecond)},
		func(v place.Result, err error) {
			out := &wire.Taken{Id: t.Id, State: string(v.State), Kind: string(v.Kind), IsRebindable: v.IsRebindable}
			if err != nil {
				out.Kind, out.Owner = string(errs.KindOf(err)), p.ownerName()
			} else if v.State == place.Tombstone {
				out.Kind = string(errs.Rejected)
			}
			answer(out)
		})
}

// ownerName returns the name of the store that owns the place, empty if it is not known.
func (p *PlaceHost) ownerName() string { return ownerOf(p.host) }

// lane returns a lane's configuration, or false if it is not known now: a store that has just started must wait for
// its view instead of treating every lane as removed.
func (p *PlaceHost) lane(name string) (config.Lane, bool) {
	isFresh := p.environment.IsFresh() // read before the configuration, so that the configuration is at least as new
	return laneOf(p.environment.Compiled().Rules, name, isFresh)
}

// laneOf returns a lane's configuration. A lane that is missing from a fresh view was removed; its messages get a
// default without reruns.
func laneOf(rules *config.Rules, name string, isFresh bool) (config.Lane, bool) {
	if l, isKnown := rules.Lanes[name]; isKnown {
		return l, true
	}
	if !isFresh {
		return config.Lane{}, false
	}
	return config.Lane{Name: name, MaxAttempts: 1, CountsEveryRun: true, Retention: 10 * time.Minute, Backoff: time.Second, MaxBackoff: time.Second}, true
}
