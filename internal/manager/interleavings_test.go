package manager

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/linearize"
	"caperwheel/internal/wire"
)

// key identifies the state.
func (p *simulation) key() string {
	out := string(p.part.Snapshot()) + fmt.Sprint(p.faults, p.delayedEdits)
	for _, s := range p.operators {
		out += "#" + s.transcript
	}
	for _, o := range p.history { // the order of answers relative to calls is part of the state
		out += fmt.Sprint("@", o.CalledAt, o.ReturnedAt)
	}
	return out
}

// interleavings explores all runs, and returns the number of states, the number of final states whose
// history was checked, and why the first history that is not linearizable is not.
func interleavings(mutateEdit func(e *wire.Edit)) (states, ends int, broken string) {
	seen := map[string]bool{}
	var walk func(path []choice)
	walk = func(path []choice) {
		p := newSimulation(mutateEdit)
		defer p.end()
		for _, c := range path {
			p.take(c)
		}
		key := p.key()
		if seen[key] || broken != "" {
			return
		}
		seen[key] = true
		next := p.choices()
		if len(next) == 0 {
			ends++
			if isOk, text := linearize.Check(p.history); !isOk {
				broken = fmt.Sprint(path, ": ", strings.TrimSpace(text))
			}
		}
		for _, c := range next {
			walk(append(path[:len(path):len(path)], c))
		}
	}
	walk(nil)
	return len(seen), ends, broken
}

// TestEveryInterleavingOfTwoOrders checks that two proposals on one version are linearizable, each of
// them retried at another manager while its outcome is unclear, with one call that is lost, delayed or
// whose answer is lost.
func TestEveryInterleavingOfTwoOrders(t *testing.T) {
	Convey("Two proposals on one version are always linearizable", t, func() {
		states, ends, broken := interleavings(func(*wire.Edit) {})
		So(broken, ShouldBeEmpty)
		So(states, ShouldBeGreaterThan, 1000)
		So(ends, ShouldBeGreaterThan, 100)
		Printf("%d states, %d ends ", states, ends)
	})
	Convey("A history that is not linearizable is found without", t, func() {
		Convey("deduplication", func() {
			_, _, broken := interleavings(func(e *wire.Edit) { e.OperationId = "" })
			So(broken, ShouldNotBeEmpty)
		})
		Convey("compare and set", func() {
			_, _, broken := interleavings(func(e *wire.Edit) { e.IfRevision = -1 })
			So(broken, ShouldNotBeEmpty)
		})
	})
}
