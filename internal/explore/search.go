package explore

import (
	"fmt"
	"slices"
	"time"
)

// Result of a search.
type Result struct {
	States       int  // that differ
	Events       int  // tried
	Depth        int  // steps from the first state up to which all states were looked at
	IsExhaustive bool // no state was left at the end
	Breach       string
	Trace        []Event // from the first state to the broken one
	Elapsed      time.Duration
}

// String tells a result, and the way to what is broken.
func (r Result) String() string {
	text := fmt.Sprintf("%d states, %d events tried, depth %d, %v", r.States, r.Events, r.Depth, r.Elapsed.Round(time.Millisecond))
	if r.IsExhaustive {
		text += ", all there are"
	}
	if r.Breach == "" {
		return text + ", sound"
	}
	for _, e := range r.Trace {
		text += "\n  " + e.String()
	}
	return text + "\nBROKEN " + r.Breach
}

// node is a state that is still to be gone on from, and how it was reached.
type node struct {
	world *World
	step  int // its place in the trails
}

// trail keeps how a state was reached.
type pathStep struct {
	parent int
	event  Event
}

// First gives the state that a search starts from.
func (o *Options) First() *World {
	w := NewWorld(o)
	if o.Setup != nil {
		w = o.Setup(w)
		w.eventCounts = [kindCount]int{}
	}
	return w
}

// Search looks at every state that can be reached, breadth first, up to a depth
// and a number of states, and ends at the first that is broken: no shorter way
// leads to one.
func Search(o *Options, depth, states int) Result {
	began, out := time.Now(), Result{States: 1}
	first := o.First()
	seen := map[Digest]bool{first.Digest(): true}
	steps := []pathStep{{parent: -1}}
	layer := []node{{first, 0}}
	for ; out.Depth < depth && len(layer) > 0; out.Depth++ {
		next := []node{}
		for _, n := range layer {
			for _, e := range n.world.Enabled() {
				out.Events++
				w := n.world.Next(e)
				if w.firstBreach != "" {
					out.Breach, out.Trace = w.firstBreach, append(traceOf(steps, n.step), e)
					out.Elapsed = time.Since(began)
					return out
				}
				digest := w.Digest()
				if seen[digest] {
					continue
				}
				seen[digest] = true
				out.States++
				steps = append(steps, pathStep{n.step, e})
				next = append(next, node{w, len(steps) - 1})
			}
			if out.States >= states {
				out.Elapsed = time.Since(began)
				return out
			}
		}
		layer = next
	}
	out.IsExhaustive, out.Elapsed = len(layer) == 0, time.Since(began)
	return out
}

// traceOf follows the trails back to the first state.
func traceOf(steps []pathStep, at int) []Event {
	out := []Event{}
	for ; steps[at].parent >= 0; at = steps[at].parent {
		out = append(out, steps[at].event)
	}
	slices.Reverse(out)
	return out
}
