package store

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// PlaceHost is a place on this store: the state machine, and while this store
// owns it, the runs under way.
//
// Invariants: all but ready is touched by the host's goroutine alone; inHand
// has a run only after its adapter said so in this ownership.
type PlaceHost struct {
	around  Around
	number  int64
	host    Hosting
	machine *place.Machine
	clockAt time.Duration // when the machine's clock last moved, by our own
	inHand  map[string]inHand
	asking  map[string]time.Duration
	lostAt  map[string]time.Duration
	sending map[string]bool
	trimmed time.Duration
	ready   atomic.Pointer[map[string]int]
}

type inHand struct {
	attempt int64
	until   time.Duration
}

// Limits of one place.
const (
	mostErrands = 20000
	mostBytes   = 64 << 20
	mostWaiting = 2000
	trimBatch   = 200
)

func NewPlaceHost(around Around, number int64) *PlaceHost {
	p := &PlaceHost{around: around, number: number, machine: place.New()}
	p.ready.Store(&map[string]int{})
	return p
}

// Apply takes one committed command in.
func (p *PlaceHost) Apply(data []byte) any {
	c, err := place.Decode(data)
	if err != nil {
		p.around.Fail(err) // a replica that cannot follow must stop, not guess
		return nil
	}
	was := p.machine.Clock()
	v := p.machine.Apply(c)
	if p.machine.Clock() != was {
		p.clockAt = p.around.Now()
	}
	return v
}

// Image gives the state for a slot.
func (p *PlaceHost) Image() []byte { return p.machine.Image() }

// Restore replaces the state.
func (p *PlaceHost) Restore(image []byte) error {
	m, err := place.Restore(image)
	if err == nil {
		p.machine, p.clockAt = m, p.around.Now()
	}
	return err
}

// now is the place time: the newest command's, and what has passed since by
// our own clock. No two clocks are ever compared.
func (p *PlaceHost) now() int64 {
	return p.machine.Clock() + int64((p.around.Now()-p.clockAt)/time.Millisecond)
}

// Owned starts or ends an ownership. Runs that an earlier owner began are not
// in hand: their adapters are asked before anything is run again.
func (p *PlaceHost) Owned(isOwner bool) {
	p.inHand, p.asking = map[string]inHand{}, map[string]time.Duration{}
	p.lostAt, p.sending = map[string]time.Duration{}, map[string]bool{}
	if isOwner {
		p.machine.Requeue()
		klog.V(1).Infof("place: Place %d is ours, term %d.", p.number, p.host.Term())
	}
	p.publish()
}

// Ready tells what may run now, by lane.
func (p *PlaceHost) Ready() map[string]int { return *p.ready.Load() }

// publish tells the dispatcher what may run.
func (p *PlaceHost) publish() {
	counts := map[string]int{}
	if p.host != nil && p.host.IsOwner() {
		counts = p.machine.Ready(p.now())
	}
	old := *p.ready.Load()
	isSame := len(old) == len(counts)
	for lane, n := range counts {
		isSame = isSame && old[lane] == n
	}
	if !isSame {
		p.ready.Store(&counts)
		p.around.Nudge()
	}
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
	reject := func(kind mishap.Kind, text string, retry time.Duration) {
		answer(&wire.Taken{Id: t.Id, Kind: string(kind), Text: text, Owner: p.ownerName(), Retry: int64(retry / time.Millisecond)})
	}
	count, bytes := p.machine.Count()
	switch {
	case !p.host.IsOwner():
		reject(mishap.NotOwner, "", 0)
		return
	case p.around.IsFull():
		reject(mishap.DiskFull, "the store's disk is nearly full", 30*time.Second)
		return
	case count >= mostErrands || bytes >= mostBytes || p.host.Waiting() >= mostWaiting:
		reject(mishap.Full, "the place holds as much as it may", 2*time.Second)
		return
	}
	lane, isKnown := p.around.Scene().Rules.Lanes[t.Lane]
	if !isKnown {
		reject(mishap.Unknown, "no such lane", 0)
		return
	}
	p.propose(place.Command{Kind: place.CmdTake, Id: t.Id, Lane: t.Lane, Key: t.Key, Idem: t.Idem, Ctype: t.Ctype,
		Body: t.Body, Sum: t.Sum, Cutoff: t.Cutoff, Parent: t.Parent, Ordered: lane.IsOrdered}, func(v place.Verdict, err error) {
		if err != nil {
			reject(mishap.KindOf(err), "", 0)
			return
		}
		answer(&wire.Taken{Id: v.Id, State: string(v.State), Kind: string(v.Kind), Text: v.Text})
	})
}

// Settle makes an undecided message's fate definite: held, or never.
func (p *PlaceHost) Settle(t *wire.Settle, answer func(any)) {
	p.propose(place.Command{Kind: place.CmdTomb, Id: t.Id, Lane: t.Lane, Retain: int64(10 * time.Minute / time.Millisecond)},
		func(v place.Verdict, err error) {
			out := &wire.Taken{Id: t.Id, State: string(v.State), Kind: string(v.Kind)}
			if err != nil {
				out.Kind, out.Owner = string(mishap.KindOf(err)), p.ownerName()
			} else if v.State == place.Tomb {
				out.Kind = string(mishap.Rejected)
			}
			answer(out)
		})
}

// Look answers from the owner's state. The owner must have been confirmed so
// lately that nobody else can have become owner since.
func (p *PlaceHost) Look(l *wire.Look, answer func(any)) {
	if v := p.host.View(); !p.host.IsOwner() || p.around.Now()-v.Confirmed > p.around.Bounds().Of(beat.Term) {
		answer(p.sight(nil, mishap.NotOwner))
		return
	}
	e := p.machine.Find(l.Id)
	if e == nil {
		answer(p.sight(nil, mishap.Unknown))
		return
	}
	out := p.sight(e, "")
	if !l.Body {
		out.Body = []byte{}
	}
	answer(out)
}

func (p *PlaceHost) sight(e *place.Errand, kind mishap.Kind) *wire.Sight {
	if e == nil {
		return &wire.Sight{Kind: string(kind), Owner: p.ownerName(), Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}}
	}
	out := &wire.Sight{Id: e.Id, Lane: e.Lane, Key: e.Key, State: string(e.State), Attempts: e.Attempt, Cause: e.Cause,
		Ctype: e.Ctype, Body: e.Body, Sum: e.Sum, Parent: e.Parent, Child: e.Child, Proof: e.Proof}
	if out.Body == nil {
		out.Body = []byte{}
	}
	if out.Proof.Answer == nil {
		out.Proof.Answer = []byte{}
	}
	return out
}

func (p *PlaceHost) ownerName() string { return ownerOf(p.host) }

// lane gives a lane's rules, or false when they are not known now: a store
// that has just started must wait for its view rather than take every lane for
// one that was removed.
func (p *PlaceHost) lane(name string) (charter.Lane, bool) {
	isFresh := p.around.IsFresh() // before the scene: what is fresh now is in it
	return laneOf(p.around.Scene().Rules, name, isFresh)
}

func laneOf(rules *charter.Rules, name string, isFresh bool) (charter.Lane, bool) {
	if l, isKnown := rules.Lanes[name]; isKnown {
		return l, true
	}
	if !isFresh {
		return charter.Lane{}, false
	}
	return charter.Lane{Name: name, Attempts: 1, Retention: 10 * time.Minute, Backoff: time.Second, BackoffMost: time.Second}, true
}

// SumOf is the checksum of bytes as callers and workers see it.
func SumOf(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}
