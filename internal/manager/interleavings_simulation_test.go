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
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Every way in which two operators' orders on one version can go is walked through: the
// managers' own code runs as it is, and at each of its calls to the part all that may
// become of the call is tried, in every order with the other operator's calls. States in
// which the part and all that was told are the same count once.

// outcome is what becomes of a call.
type outcome int

const (
	replied       outcome = iota // it is carried out and answered
	replyLost                    // it is carried out, and the answer is lost
	requestLost                  // it never comes
	delayed                      // it is carried out at some later time, and never answered
	ownerReplaced                // it is carried out by an owner that is replaced over it
	outcomeCount
)

// maxFaults is how many calls of a run may meet anything but an answer.
const maxFaults = 1

// choice is one step of a run: an operator's next call and its fate, or, with an operator
// of -1, an edit that is under way comes late.
type choice struct {
	operator int
	outcome  outcome
}

// operatorRun is one operator: it sends its order until it is told what became of it, at one
// manager after another, and then reads.
type operatorRun struct {
	next       func() (any, bool) // the call that it waits with
	stop       func()
	ask        any
	isWaiting  bool   // it waits for the fate of ask
	transcript string // all answers that it has had, for the state's key
	reply      func() (any, error)
	isTimedOut bool // the manager's patience with this order
}

// simulation is one run.
type simulation struct {
	part         *feed.Part
	operators    []*operatorRun
	delayedEdits []wire.Edit // that come late
	faults       int
	moment       time.Duration
	history      []linearize.Operation
	mutateEdit   func(e *wire.Edit)
}

// fakeClock is a clock by which no time passes, and a context that ends when a call was
// lost: the manager has given up.
type fakeClock struct {
	context.Context
	of *operatorRun
}

func (c *fakeClock) Err() error {
	if c.of.isTimedOut {
		return context.DeadlineExceeded
	}
	return nil
}

func (c *fakeClock) Within(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

func (c *fakeClock) Wait(context.Context, time.Duration) {}

func newSimulation(hurt func(e *wire.Edit)) *simulation {
	p := &simulation{part: feed.NewPart(), mutateEdit: hurt}
	for i := range 2 {
		s := &operatorRun{}
		s.next, s.stop = iter.Pull(func(yield func(any) bool) {
			call := func(_ context.Context, _ string, ask any) (any, error) {
				if !yield(ask) {
					panic(s)
				}
				return s.reply()
			}
			defer func() {
				if r := recover(); r != nil && r != any(s) {
					panic(r)
				}
			}()
			p.operate(i, s, call)
		})
		p.operators = append(p.operators, s)
		s.advance()
	}
	return p
}

// advance has an operator go on to its next call.
func (s *operatorRun) advance() { s.ask, s.isWaiting = s.next() }

func (p *simulation) now() time.Duration { p.moment++; return p.moment }

// runOperator sends one order, again while it is unclear, and reads the configuration.
func (p *simulation) operate(client int, s *operatorRun, call func(context.Context, string, any) (any, error)) {
	digest := "order " + strconv.Itoa(client)
	for try := range 2 {
		m := managerOf(fmt.Sprint(client, try), call)
		s.isTimedOut = false
		clock := &fakeClock{context.Background(), s}
		ctx := timing.WithClock(clock, clock)
		o := linearize.Operation{Client: client, Kind: linearize.Replace, Version: 1, Digest: digest, Outcome: linearize.Unclear, Call: p.now()}
		_, err := m.operators.Propose(ctx, Proposal{By: "x", Digest: digest, IsVersionBased: true, Build: versioned(1, digest)})
		switch {
		case err == nil:
			o.Outcome = linearize.Confirmed
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
			o.Outcome = linearize.Refused
		}
		o.Return = p.now()
		p.history = append(p.history, o)
		s.transcript += fmt.Sprint("|", o.Outcome)
		if o.Outcome != linearize.Unclear {
			break
		}
	}
	s.isTimedOut = false
	clock := &fakeClock{context.Background(), s}
	read := linearize.Operation{Client: client, Kind: linearize.Read, Call: p.now(), Outcome: linearize.Confirmed}
	doc, _, err := managerOf(fmt.Sprint(client, "r"), call).operators.Config(timing.WithClock(clock, clock))
	if read.Return = p.now(); err == nil {
		read.ReadVersion, read.ReadDigest = config.VersionOf(doc), gjson.GetBytes(doc, "note").Str
		p.history = append(p.history, read)
		s.transcript += "|read " + read.ReadDigest
	}
}

// managerOf returns a manager whose only store is the play's part.
func managerOf(boot string, call func(context.Context, string, any) (any, error)) *Manager {
	m, _ := newFakeManager()
	m.d.Who.Boot = boot
	m.reach = &ownerclient.Client{Membership: m.d.Membership, Bounds: m.d.Bounds, SendFunc: call}
	return m
}

// choices lists what may come next.
func (p *simulation) choices() (out []choice) {
	if len(p.delayedEdits) > 0 {
		out = append(out, choice{operator: -1})
	}
	for i, s := range p.operators {
		if !s.isWaiting {
			continue
		}
		_, isEdit := s.ask.(*wire.Edit)
		for f := range outcomeCount {
			isFault := f != replied
			if isFault && p.faults >= maxFaults || !isEdit && isFault && f != requestLost {
				continue
			}
			out = append(out, choice{i, f})
		}
	}
	return out
}

// add makes one step.
func (p *simulation) take(c choice) {
	if c.operator < 0 {
		p.part.Apply(p.delayedEdits[0])
		p.delayedEdits = p.delayedEdits[1:]
		return
	}
	s := p.operators[c.operator]
	reply := p.carryOut(s.ask, c.outcome)
	if c.outcome != replied {
		p.faults++
		s.isTimedOut = true
	}
	s.transcript += fmt.Sprintf("|%d %+v", c.outcome, reply)
	s.reply = func() (any, error) {
		if reply == nil {
			return nil, errs.New(errs.Lost, "session")
		}
		return reply, nil
	}
	s.advance()
}

// carryOut does what a call asks for, and returns the answer; nil for none.
func (p *simulation) carryOut(ask any, f outcome) any {
	switch a := ask.(type) {
	case *wire.Pull:
		if f == requestLost {
			return nil
		}
		got := p.part.Read(a.Key, 0)
		return &got
	case *wire.Edit:
		e := *a
		p.mutateEdit(&e)
		if f == delayed {
			p.delayedEdits = append(p.delayedEdits, e)
		}
		if f == requestLost || f == delayed {
			return nil
		}
		got := p.part.Apply(e)
		switch f {
		case replyLost:
			return nil
		case ownerReplaced:
			return &wire.Edited{Kind: string(errs.Undecided)}
		}
		return &got
	}
	return nil
}

func (p *simulation) end() {
	for _, s := range p.operators {
		s.stop()
	}
}
