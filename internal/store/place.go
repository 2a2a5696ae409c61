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
// Invariants: all but ready, open and isUntimed is touched by the host's goroutine alone; inHand
// has a run only after its adapter said so in this ownership.
type PlaceHost struct {
	environment Environment
	number      int64
	host        *timedGroup
	machine     *place.Machine
	clock       groupclock.Clock
	markedAt    time.Duration // when the place's time was last proposed by itself
	time        timekeeping
	isUntimed   atomic.Bool // nobody knew the place's time as this ownership began
	raising     int64       // the feature level that this owner has proposed
	raisedAt    time.Duration
	inHand      map[string]inHand
	asking      map[string]time.Duration
	lostAt      map[string]time.Duration
	telling     telling
	missed      map[string]time.Duration // since when nobody has told of an open run
	away        map[string]time.Duration // since when adapters of open runs have been no members
	sending     map[string]bool
	trimmed     time.Duration
	underWay    underWay
	// Those who wait for a message's end, by its id, and how many: at most mostOnlookers.
	onlookers map[string][]onlooker
	waiting   int
	counting  *counting
	ready     atomic.Pointer[map[string]int]
	open      atomic.Int64 // runs that are under way, by what is applied here, as of the last tick
}

type inHand struct {
	attempt int64
	until   time.Duration
}

// Limits of one place.
const (
	mostMessages = 20000
	mostBytes    = 64 << 20
	mostWaiting  = 2000
	mostTombs    = 2000 // settled messages that a full place takes besides
	trimBatch    = 200

	mostUnsynced = 16 << 20 // bytes of all groups that may wait for the store's disk
)

func NewPlaceHost(environment Environment, number int64) *PlaceHost {
	p := &PlaceHost{environment: environment, number: number, machine: place.New(), clock: groupclock.New(environment.Now()), onlookers: map[string][]onlooker{}, underWay: underWay{},
		counting: &counting{}}
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
		heldAt = p.host.HeldAt()
	}
	p.clock.Apply(p.machine.Clock(), isOwn, heldAt)
	if len(p.onlookers[c.Id]) > 0 && v.State.IsOver() {
		p.tellOnlookers(func(id string, _ onlooker) bool { return id == c.Id })
	}
	return v
}

// Image gives the state for a slot.
func (p *PlaceHost) Image() []byte { return p.machine.Image() }

// Restore replaces the state.
func (p *PlaceHost) Restore(image []byte) error {
	m, err := place.Restore(image)
	if err == nil {
		p.machine = m
		p.clock.Follow(m.Clock(), p.environment.Now())
	}
	return err
}

// now is the place time, as package groupclock has it.
func (p *PlaceHost) now() int64 { return p.clock.At(p.environment.Now()) }

// markTime commits the place time where messages are under way and no command has
// told it for a while: an owner that has only its log would begin there again.
func (p *PlaceHost) markTime(now time.Duration) {
	span := p.environment.Bounds().Of(timing.TimeMark)
	if p.machine.IsIdle() || p.clock.Lag(p.machine.Clock(), now) < span || now-p.markedAt < span {
		return
	}
	p.markedAt = now
	p.propose(place.TimeMark(), nil)
}

func (p *PlaceHost) propose(c place.Command, tell func(place.Verdict, error)) {
	c.At = p.now()
	p.host.Propose(c.Encode(), func(verdict any, err error) {
		v, _ := verdict.(place.Verdict)
		if tell != nil {
			tell(v, err)
		}
		if err == nil {
			p.publish()
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
	case p.isSame(t): // sent again: what is committed stays, full or not
		answer(&wire.Taken{Id: t.Id, State: string(p.machine.Find(t.Id).State), IsRepeat: true})
		return
	case p.underWay.join(takeKey(t), asRepeat(answer)): // sent again: it may be held yet
		return
	case !p.environment.IsFresh(): // the lane may be another by now
		reject(errs.NotOwner, "", 0) // no more definite than that: an older adapter would believe it
		return
	case p.environment.IsTight():
		reject(errs.Full, "the store's memory is nearly used up", 2*time.Second)
		return
	case p.environment.IsFull():
		reject(errs.DiskFull, "the store's disk is nearly full", 30*time.Second)
		return
	case p.environment.IsBusy() || p.host.Oldest() > p.environment.Bounds().Of(timing.Stall):
		reject(errs.Full, "the place's disks cannot keep up", p.environment.Bounds().Of(timing.Stall))
		return
	case count >= mostMessages || bytes >= mostBytes || p.host.Waiting() >= mostWaiting:
		reject(errs.Full, "the place holds as much as it may", 2*time.Second)
		return
	}
	lane, isKnown := p.environment.Compiled().Rules.Lanes[t.Lane]
	if !isKnown {
		reject(errs.Unknown, "no such lane", 0)
		return
	}
	answer = p.underWay.begin(takeKey(t), answer)
	p.propose(place.Command{Kind: place.CmdTake, Id: t.Id, Lane: t.Lane, Key: t.Key, Idem: t.Idem, Ctype: t.Ctype,
		Body: t.Body, Sum: t.Sum, Deadline: t.Deadline, Parent: t.Parent, Ordered: lane.IsOrdered,
		Head: t.Head, Delay: t.Delay, Notify: t.Notify, Prompt: lane.Prompt.Milliseconds()}, func(v place.Verdict, err error) {
		if err != nil {
			reject(errs.KindOf(err), "", 0)
			return
		}
		answer(&wire.Taken{Id: v.Id, State: string(v.State), Kind: string(v.Kind), Text: v.Text, IsRepeat: v.IsRepeat})
	})
}

// isSame reports whether a message is held here already, or has been.
func (p *PlaceHost) isSame(t *wire.Take) bool {
	e := p.machine.Find(t.Id)
	return e != nil && e.State != place.Tomb && e.Sum == t.Sum
}

// Settle makes an undecided message's fate definite: held, or never.
func (p *PlaceHost) Settle(t *wire.Settle, answer func(any)) {
	if count, _ := p.machine.Count(); p.machine.Find(t.Id) == nil && count >= mostMessages+mostTombs {
		answer(&wire.Taken{Id: t.Id, Kind: string(errs.Full), Text: "the place holds as much as it may"})
		return
	}
	p.propose(place.Command{Kind: place.CmdTomb, Id: t.Id, Lane: t.Lane, Retain: int64(10 * time.Minute / time.Millisecond)},
		func(v place.Verdict, err error) {
			out := &wire.Taken{Id: t.Id, State: string(v.State), Kind: string(v.Kind)}
			if err != nil {
				out.Kind, out.Owner = string(errs.KindOf(err)), p.ownerName()
			} else if v.State == place.Tomb {
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
	return config.Lane{Name: name, Attempts: 1, SpendsAll: true, Retention: 10 * time.Minute, Backoff: time.Second, BackoffMost: time.Second}, true
}
