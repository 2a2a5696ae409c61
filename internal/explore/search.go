package explore

import (
	"fmt"
	"slices"
	"time"
)

// Result of a search.
type Result struct {
	States  int  // that differ
	Events  int  // tried
	Depth   int  // steps from the first state up to which all states were looked at
	IsWhole bool // no state was left at the end
	Broken  string
	Trace   []Event // from the first state to the broken one
	Took    time.Duration
}

// String tells a result, and the way to what is broken.
func (r Result) String() string {
	text := fmt.Sprintf("%d states, %d events tried, depth %d, %v", r.States, r.Events, r.Depth, r.Took.Round(time.Millisecond))
	if r.IsWhole {
		text += ", all there are"
	}
	if r.Broken == "" {
		return text + ", sound"
	}
	for _, e := range r.Trace {
		text += "\n  " + e.String()
	}
	return text + "\nBROKEN " + r.Broken
}

// node is a state that is still to be gone on from, and how it was reached.
type node struct {
	world *World
	trail int // its place in the trails
}

// trail keeps how a state was reached.
type trail struct {
	before int
	event  Event
}

// First gives the state that a search starts from.
func (o *Options) First() *World {
	w := NewWorld(o)
	if o.Set != nil {
		w = o.Set(w)
		w.spent = [kinds]int{}
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
	trails := []trail{{before: -1}}
	layer := []node{{first, 0}}
	for ; out.Depth < depth && len(layer) > 0; out.Depth++ {
		next := []node{}
		for _, n := range layer {
			for _, e := range n.world.Enabled() {
				out.Events++
				w := n.world.Next(e)
				if w.broken != "" {
					out.Broken, out.Trace = w.broken, append(traceOf(trails, n.trail), e)
					out.Took = time.Since(began)
					return out
				}
				digest := w.Digest()
				if seen[digest] {
					continue
				}
				seen[digest] = true
				out.States++
				trails = append(trails, trail{n.trail, e})
				next = append(next, node{w, len(trails) - 1})
			}
			if out.States >= states {
				out.Took = time.Since(began)
				return out
			}
		}
		layer = next
	}
	out.IsWhole, out.Took = len(layer) == 0, time.Since(began)
	return out
}

// traceOf follows the trails back to the first state.
func traceOf(trails []trail, at int) []Event {
	out := []Event{}
	for ; trails[at].before >= 0; at = trails[at].before {
		out = append(out, trails[at].event)
	}
	slices.Reverse(out)
	return out
}
