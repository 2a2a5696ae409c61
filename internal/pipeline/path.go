// Package pipeline interprets the steps that a message passes in an adapter: at intake and at delivery. Programs are
// compiled from a lane's rules, once for each configuration. Packages intake and deliver provide the actions.
package pipeline

import (
	"sync"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// Op is the kind of a step.
type Op string

// The steps of intake, in the order in which they are compiled.
const (
	RequireFreshView Op = "fresh"   // the view must be fresh
	LimitBodySize    Op = "size"    // the body must not exceed the lane's size limit
	RequireKey       Op = "keyed"   // the message must have an ordering key
	ForbidKey        Op = "keyless" // the message must not have an ordering key
	Place            Op = "place"   // the place is derived from lane and key, or chosen at random
	SubmitToOwner    Op = "hold"    // the place's owner must accept the message
)

// The steps of delivery.
const (
	RequireAllowedPool Op = "allowed" // the lane must be allowed to use the pool
	RequireLiveWorker  Op = "live"    // the worker must be live and its zone not emptied
	RequireHolder      Op = "holder"  // this daemon must hold the worker's duty
	VerifyBody         Op = "whole"   // the body must match its checksum
	SendToWorker       Op = "send"    // send the run to the worker
)

// Step is one instruction of a program.
type Step struct {
	Op     Op
	Number int64
	Names  []string
}

// Program is a list of steps, compiled from the rules of a lane.
type Program []Step

// Intake compiles the steps by which messages of a lane are accepted.
func Intake(l config.Lane) Program {
	out := Program{{Op: RequireFreshView}, {Op: LimitBodySize, Number: l.MaxBodyBytes}}
	if l.IsOrdered {
		return append(out, Step{Op: RequireKey}, Step{Op: Place}, Step{Op: SubmitToOwner})
	}
	return append(out, Step{Op: ForbidKey}, Step{Op: Place}, Step{Op: SubmitToOwner})
}

// Delivery compiles the steps by which messages of a lane are delivered.
func Delivery(l config.Lane) Program {
	return Program{{Op: RequireFreshView}, {Op: RequireAllowedPool, Names: l.Pools}, {Op: RequireLiveWorker}, {Op: RequireHolder}, {Op: VerifyBody}, {Op: SendToWorker}}
}

// Programs caches the compiled programs of one configuration's lanes. A call with the rules of another configuration
// clears it. It is safe for use by several goroutines.
type Programs struct {
	mu       sync.Mutex
	rules    *config.Rules
	compiled map[string]Program
}

// Intake returns the program that accepts messages of a lane.
func (p *Programs) Intake(rules *config.Rules, lane string) Program {
	return p.get(rules, "in "+lane, func() Program { return Intake(rules.Lanes[lane]) })
}

// Delivery returns the program that delivers messages of a lane.
func (p *Programs) Delivery(rules *config.Rules, lane string) Program {
	return p.get(rules, "out "+lane, func() Program { return Delivery(rules.Lanes[lane]) })
}

// get returns the program of a key, and compiles it if it is not cached.
func (p *Programs) get(rules *config.Rules, key string, compile func() Program) Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules != rules {
		p.rules, p.compiled = rules, map[string]Program{}
	}
	out, isKnown := p.compiled[key]
	if !isKnown {
		out = compile()
		p.compiled[key] = out
	}
	return out
}

// Actions map each step's kind to the function that carries it out on a message of some type.
type Actions[E any] map[Op]func(step Step, message E) error

// Run executes a program on a message. The first error ends it.
func Run[E any](program Program, actions Actions[E], message E) error {
	for _, step := range program {
		do, isKnown := actions[step.Op]
		if !isKnown {
			return errs.New(errs.Internal, "run a program: no action for step %s", step.Op)
		}
		if err := do(step, message); err != nil {
			return err
		}
	}
	return nil
}
