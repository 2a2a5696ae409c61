package manager

import (
	"context"
	"fmt"
	"iter"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/linearize"
	"caperwheel/internal/reach"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Every way in which two operators' orders on one version can go is walked through: the
// managers' own code runs as it is, and at each of its calls to the part all that may
// become of the call is tried, in every order with the other operator's calls. States in
// which the part and all that was told are the same count once.

// fate is what becomes of a call.
type fate int

const (
	answered  fate = iota // it is carried out and answered
	unheard               // it is carried out, and the answer is lost
	lost                  // it never comes
	late                  // it is carried out at some later time, and never answered
	ownerLost             // it is carried out by an owner that is replaced over it
	fates
)

// faultsMost is how many calls of a run may meet anything but an answer.
const faultsMost = 1

// choice is one step of a run: an operator's next call and its fate, or, with an operator
// of -1, an edit that is under way comes late.
type choice struct {
	operator int
	fate     fate
}

// script is one operator: it sends its order until it is told what became of it, at one
// manager after another, and then reads.
type script struct {
	next func() (any, bool) // the call that it waits with
	stop func()
	ask  any
	isOn bool   // it waits for the fate of ask
	told string // all answers that it has had, for the state's key
	back func() (any, error)
	over bool // the manager's patience with this order
}

// play is one run.
type play struct {
	part    *feed.Part
	scripts []*script
	waiting []wire.Edit // that come late
	faults  int
	moment  time.Duration
	history []linearize.Operation
	hurt    func(e *wire.Edit)
}

// patient is a clock by which no time passes, and a context that ends when a call was
// lost: the manager has given up.
type patient struct {
	context.Context
	of *script
}

func (c *patient) Err() error {
	if c.of.over {
		return context.DeadlineExceeded
	}
	return nil
}

func (c *patient) Within(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

func (c *patient) Wait(context.Context, time.Duration) {}

func newPlay(hurt func(e *wire.Edit)) *play {
	p := &play{part: feed.NewPart(), hurt: hurt}
	for i := range 2 {
		s := &script{}
		s.next, s.stop = iter.Pull(func(yield func(any) bool) {
			call := func(_ context.Context, _ string, ask any) (any, error) {
				if !yield(ask) {
					panic(s)
				}
				return s.back()
			}
			defer func() {
				if r := recover(); r != nil && r != any(s) {
					panic(r)
				}
			}()
			p.operate(i, s, call)
		})
		p.scripts = append(p.scripts, s)
		s.goOn()
	}
	return p
}

// goOn has an operator go on to its next call.
func (s *script) goOn() { s.ask, s.isOn = s.next() }

func (p *play) now() time.Duration { p.moment++; return p.moment }

// operate sends one order, again while it is unclear, and reads the configuration.
func (p *play) operate(client int, s *script, call func(context.Context, string, any) (any, error)) {
	digest := "order " + strconv.Itoa(client)
	for try := range 2 {
		m := managerOf(fmt.Sprint(client, try), call)
		s.over = false
		clock := &patient{context.Background(), s}
		ctx := timing.WithClock(clock, clock)
		o := linearize.Operation{Client: client, Kind: linearize.Replace, Version: 1, Digest: digest, Outcome: linearize.Unclear, Call: p.now()}
		_, err := m.operators.Propose(ctx, Proposal{By: "x", Digest: digest, IsOnVersion: true, Make: versioned(1, digest)})
		switch {
		case err == nil:
			o.Outcome = linearize.Confirmed
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
			o.Outcome = linearize.Refused
		}
		o.Return = p.now()
		p.history = append(p.history, o)
		s.told += fmt.Sprint("|", o.Outcome)
		if o.Outcome != linearize.Unclear {
			break
		}
	}
	s.over = false
	clock := &patient{context.Background(), s}
	read := linearize.Operation{Client: client, Kind: linearize.Read, Call: p.now(), Outcome: linearize.Confirmed}
	doc, _, err := managerOf(fmt.Sprint(client, "r"), call).operators.Config(timing.WithClock(clock, clock))
	if read.Return = p.now(); err == nil {
		read.ReadVersion, read.ReadDigest = config.VersionOf(doc), gjson.GetBytes(doc, "note").Str
		p.history = append(p.history, read)
		s.told += "|read " + read.ReadDigest
	}
}

// managerOf returns a manager whose only store is the play's part.
func managerOf(boot string, call func(context.Context, string, any) (any, error)) *Manager {
	m, _ := newFake()
	m.d.Who.Boot = boot
	m.reach = &reach.Reach{Membership: m.d.Membership, Bounds: m.d.Bounds, Call: call}
	return m
}

// choices lists what may come next.
func (p *play) choices() (out []choice) {
	if len(p.waiting) > 0 {
		out = append(out, choice{operator: -1})
	}
	for i, s := range p.scripts {
		if !s.isOn {
			continue
		}
		_, isEdit := s.ask.(*wire.Edit)
		for f := range fates {
			isFault := f != answered
			if isFault && p.faults >= faultsMost || !isEdit && isFault && f != lost {
				continue
			}
			out = append(out, choice{i, f})
		}
	}
	return out
}

// take makes one step.
func (p *play) take(c choice) {
	if c.operator < 0 {
		p.part.Apply(p.waiting[0])
		p.waiting = p.waiting[1:]
		return
	}
	s := p.scripts[c.operator]
	reply := p.carryOut(s.ask, c.fate)
	if c.fate != answered {
		p.faults++
		s.over = true
	}
	s.told += fmt.Sprintf("|%d %+v", c.fate, reply)
	s.back = func() (any, error) {
		if reply == nil {
			return nil, errs.New(errs.Lost, "session")
		}
		return reply, nil
	}
	s.goOn()
}

// carryOut does what a call asks for, and returns the answer; nil for none.
func (p *play) carryOut(ask any, f fate) any {
	switch a := ask.(type) {
	case *wire.Pull:
		if f == lost {
			return nil
		}
		got := p.part.Read(a.Key, 0)
		return &got
	case *wire.Edit:
		e := *a
		p.hurt(&e)
		if f == late {
			p.waiting = append(p.waiting, e)
		}
		if f == lost || f == late {
			return nil
		}
		got := p.part.Apply(e)
		switch f {
		case unheard:
			return nil
		case ownerLost:
			return &wire.Edited{Kind: string(errs.Undecided)}
		}
		return &got
	}
	return nil
}

func (p *play) end() {
	for _, s := range p.scripts {
		s.stop()
	}
}
