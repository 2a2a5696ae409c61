package explore

import (
	"fmt"
	"slices"
	"time"
)

// Result is the result of a search or a random walk.
type Result struct {
	States       int     // distinct states visited
	Events       int     // events tried
	Depth        int     // number of events up to which all reachable states were visited
	IsExhaustive bool    // all reachable states were visited
	Breach       string  // empty if none was found
	Trace        []Event // events from the first state to the breach
	Elapsed      time.Duration
}

// String describes the result, with the trace of a breach.
func (r Result) String() string {
	text := fmt.Sprintf("%d states, %d events tried, depth %d, %v", r.States, r.Events, r.Depth, r.Elapsed.Round(time.Millisecond))
	if r.IsExhaustive {
		text += ", exhaustive"
	}
	if r.Breach == "" {
		return text + ", no breach"
	}
	for _, e := range r.Trace {
		text += "\n  " + e.String()
	}
	return text + "\nBROKEN " + r.Breach
}

// node is a visited state whose successors are still to be visited.
type node struct {
	world *World
	step  int // index of the path step that led to it
}

// pathStep is the event by which a state was first reached, and the path step of the state before (-1: the first
// state).
type pathStep struct {
	parent int
	event  Event
}

// First returns the state that a search starts from. The events of its setup do not count towards the limits.
func (o *Options) First() *World {
	w := NewWorld(o)
	if o.Setup != nil {
		w = o.Setup(w)
		w.eventCounts = [kindCount]int{}
	}
	return w
}

// Search visits all reachable states in breadth-first order, up to a depth and a number of states. It stops at the
// first breach, which therefore has a shortest possible trace.
func Search(o *Options, depth, states int) Result {
	began, result := time.Now(), Result{States: 1}
	first := o.First()
	seen := map[Digest]bool{first.Digest(): true}
	steps := []pathStep{{parent: -1}}
	layer := []node{{first, 0}}
	for ; result.Depth < depth && len(layer) > 0; result.Depth++ {
		next := []node{}
		for _, n := range layer {
			for _, e := range n.world.Enabled() {
				result.Events++
				w := n.world.Next(e)
				if w.firstBreach != "" {
					result.Breach, result.Trace = w.firstBreach, append(traceOf(steps, n.step), e)
					result.Elapsed = time.Since(began)
					return result
				}
				digest := w.Digest()
				if seen[digest] {
					continue
				}
				seen[digest] = true
				result.States++
				steps = append(steps, pathStep{n.step, e})
				next = append(next, node{w, len(steps) - 1})
			}
			if result.States >= states {
				result.Elapsed = time.Since(began)
				return result
			}
		}
		layer = next
	}
	result.IsExhaustive, result.Elapsed = len(layer) == 0, time.Since(began)
	return result
}

// traceOf returns the events from the first state to the state of a path step.
func traceOf(steps []pathStep, at int) []Event {
	out := []Event{}
	for ; steps[at].parent >= 0; at = steps[at].parent {
		out = append(out, steps[at].event)
	}
	slices.Reverse(out)
	return out
}
