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

// The simulation explores every interleaving of two operators' proposals on one version. The managers'
// code runs unchanged; at each of its calls to the part every outcome of the call is tried, in every
// order relative to the other operator's calls. States with the same part and the same transcripts
// count once.

// outcome is what happens to a call.
type outcome int

const (
	replied       outcome = iota // it is executed and answered
	replyLost                    // it is executed, and the answer is lost
	requestLost                  // it never arrives
	delayed                      // it is executed at some later time, and never answered
	ownerReplaced                // it is executed by an owner that is replaced before it answers
	outcomeCount
)

// maxFaults bounds the calls of a run that have another outcome than an answer.
const maxFaults = 1

// choice is one step of a run: the outcome of an operator's pending call or, with operator -1, the
// arrival of a delayed edit.
type choice struct {
	operator int
	outcome  outcome
}

// operatorRun is one operator: it sends its proposal to one manager after another until the outcome is
// clear, and then reads the configuration.
type operatorRun struct {
	next       func() (any, bool) // returns the operator's next call
	stop       func()
	ask        any
	isWaiting  bool   // it waits for the outcome of ask
	transcript string // all answers so far, for the state's key
	reply      func() (any, error)
	isTimedOut bool // the manager has given up on this proposal
}

// simulation is one run.
type simulation struct {
	part         *feed.Part
	operators    []*operatorRun
	delayedEdits []wire.Edit // edits that arrive later
	faults       int
	clock        time.Duration
	history      []linearize.Operation
	mutateEdit   func(e *wire.Edit)
}

// fakeClock is a clock on which no time passes, and a context that has expired once a call had a fault:
// the manager gives up.
type fakeClock struct {
	context.Context
	operator *operatorRun
}

func (c *fakeClock) Err() error {
	if c.operator.isTimedOut {
		return context.DeadlineExceeded
	}
	return nil
}

func (c *fakeClock) Within(ctx context.Context, _ time.Duration) (context.Context, context.CancelFunc) {
	return ctx, func() {}
}

func (c *fakeClock) Wait(context.Context, time.Duration) {}

// newSimulation starts two operators, each up to its first call. mutateEdit changes each edit before it
// arrives.
func newSimulation(mutateEdit func(e *wire.Edit)) *simulation {
	p := &simulation{part: feed.NewPart(), mutateEdit: mutateEdit}
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

// advance runs an operator up to its next call.
func (s *operatorRun) advance() { s.ask, s.isWaiting = s.next() }

// now returns the next time of a logical clock.
func (p *simulation) now() time.Duration { p.clock++; return p.clock }

// operate sends one proposal, retries it while its outcome is unclear, and reads the configuration.
func (p *simulation) operate(client int, s *operatorRun, call func(context.Context, string, any) (any, error)) {
	digest := "order " + strconv.Itoa(client)
	for try := range 2 {
		m := managerOf(fmt.Sprint(client, try), call)
		s.isTimedOut = false
		clock := &fakeClock{context.Background(), s}
		ctx := timing.WithClock(clock, clock)
		o := linearize.Operation{Client: client, Kind: linearize.Replace, Version: 1, Digest: digest, Outcome: linearize.Indeterminate, CalledAt: p.now()}
		_, err := m.operators.Propose(ctx, Proposal{By: "x", Digest: digest, IsVersionBased: true, Build: versioned(1, digest)})
		switch {
		case err == nil:
			o.Outcome = linearize.Confirmed
		case errs.Is(err, errs.Conflict), errs.Is(err, errs.Invalid):
			o.Outcome = linearize.Refused
		}
		o.ReturnedAt = p.now()
		p.history = append(p.history, o)
		s.transcript += fmt.Sprint("|", o.Outcome)
		if o.Outcome != linearize.Indeterminate {
			break
		}
	}
	s.isTimedOut = false
	clock := &fakeClock{context.Background(), s}
	read := linearize.Operation{Client: client, Kind: linearize.Read, CalledAt: p.now(), Outcome: linearize.Confirmed}
	doc, _, err := managerOf(fmt.Sprint(client, "r"), call).operators.Config(timing.WithClock(clock, clock))
	if read.ReturnedAt = p.now(); err == nil {
		read.ReadVersion, read.ReadDigest = config.VersionOf(doc), gjson.GetBytes(doc, "note").Str
		p.history = append(p.history, read)
		s.transcript += "|read " + read.ReadDigest
	}
}

// managerOf returns a manager whose only store is the simulation's part.
func managerOf(boot string, call func(context.Context, string, any) (any, error)) *Manager {
	m, _ := newFakeManager()
	m.d.Who.Boot = boot
	m.ownerClient = &ownerclient.Client{Membership: m.d.Membership, Bounds: m.d.Bounds, SendFunc: call}
	return m
}

// choices returns the possible next steps.
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

// take performs one step.
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

// carryOut executes a call according to its outcome and returns the answer; nil for none.
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

// end stops the operators.
func (p *simulation) end() {
	for _, s := range p.operators {
		s.stop()
	}
}
