// Package path runs a message's way through a process: a small interpreter over
// rules that are compiled from the configuration, once for each configuration.
package path

import (
	"sync"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// Op is the kind of a step.
type Op string

// The steps of intake, in the order in which they are compiled.
const (
	Fresh   Op = "fresh"   // the view must be fresh
	Size    Op = "size"    // the body must fit
	Keyed   Op = "keyed"   // an ordering key must be given
	Keyless Op = "keyless" // none may be given
	Place   Op = "place"   // the place follows from lane and key, else from chance
	Hold    Op = "hold"    // the place's owner holds it
)

// The steps of delivery.
const (
	Allowed Op = "allowed" // the lane may use the pool
	Live    Op = "live"    // the worker is live and its zone not emptied
	Holder  Op = "holder"  // this daemon holds the worker's duty
	Whole   Op = "whole"   // the bytes are those that were taken
	Send    Op = "send"    // run it
)

// Step is one instruction of a program.
type Step struct {
	Op     Op
	Number int64
	Names  []string
}

// Program is a list of steps, compiled from the rules of a lane.
type Program []Step

// Intake compiles the steps by which messages of a lane are taken in.
func Intake(l config.Lane) Program {
	out := Program{{Op: Fresh}, {Op: Size, Number: l.Size}}
	if l.IsOrdered {
		return append(out, Step{Op: Keyed}, Step{Op: Place}, Step{Op: Hold})
	}
	return append(out, Step{Op: Keyless}, Step{Op: Place}, Step{Op: Hold})
}

// Delivery compiles the steps by which messages of a lane are delivered.
func Delivery(l config.Lane) Program {
	return Program{{Op: Fresh}, {Op: Allowed, Names: l.Pools}, {Op: Live}, {Op: Holder}, {Op: Whole}, {Op: Send}}
}

// Programs caches the compiled programs of one configuration's lanes, until another
// configuration's rules are asked for.
type Programs struct {
	mu    sync.Mutex
	rules *config.Rules
	known map[string]Program
}

// Intake returns the program that takes messages of a lane in.
func (p *Programs) Intake(rules *config.Rules, lane string) Program {
	return p.get(rules, "in "+lane, func() Program { return Intake(rules.Lanes[lane]) })
}

// Delivery returns the program that delivers messages of a lane.
func (p *Programs) Delivery(rules *config.Rules, lane string) Program {
	return p.get(rules, "out "+lane, func() Program { return Delivery(rules.Lanes[lane]) })
}

func (p *Programs) get(rules *config.Rules, key string, compile func() Program) Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules != rules {
		p.rules, p.known = rules, map[string]Program{}
	}
	out, isKnown := p.known[key]
	if !isKnown {
		out = compile()
		p.known[key] = out
	}
	return out
}

// Actions carry out steps on a message of some type.
type Actions[E any] map[Op]func(step Step, message E) error

// Run interprets a program. The first error ends it.
func Run[E any](program Program, actions Actions[E], message E) error {
	for _, step := range program {
		do, isKnown := actions[step.Op]
		if !isKnown {
			return errs.New(errs.Internal, "no doer for step %s", step.Op)
		}
		if err := do(step, message); err != nil {
			return err
		}
	}
	return nil
}
