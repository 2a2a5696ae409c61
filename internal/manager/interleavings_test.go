package manager

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/linearize"
	"caperwheel/internal/wire"
)

// key tells states apart.
func (p *simulation) key() string {
	out := string(p.part.Snapshot()) + fmt.Sprint(p.faults, p.delayedEdits)
	for _, s := range p.operators {
		out += "#" + s.transcript
	}
	for _, o := range p.history { // what was told before what was asked counts too
		out += fmt.Sprint("@", o.Call, o.Return)
	}
	return out
}

// interleavings walks through all runs, and returns how many states there are, how many
// ends were judged, and why the first history that no order of the calls explains has none.
func interleavings(hurt func(e *wire.Edit)) (states, ends int, broken string) {
	seen := map[string]bool{}
	var walk func(path []choice)
	walk = func(path []choice) {
		p := newSimulation(hurt)
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

// TestEveryInterleavingOfTwoOrders: two orders on one version, each sent again at another
// manager while it is unclear, with a call that is lost, late or unheard.
func TestEveryInterleavingOfTwoOrders(t *testing.T) {
	Convey("Two orders on one version are always explained by one order of the calls", t, func() {
		states, ends, broken := interleavings(func(*wire.Edit) {})
		So(broken, ShouldBeEmpty)
		So(states, ShouldBeGreaterThan, 1000)
		So(ends, ShouldBeGreaterThan, 100)
		Printf("%d states, %d ends ", states, ends)
	})
	Convey("It is found that they are not without", t, func() {
		Convey("the memory of orders", func() {
			_, _, broken := interleavings(func(e *wire.Edit) { e.OperationId = "" })
			So(broken, ShouldNotBeEmpty)
		})
		Convey("compare and set", func() {
			_, _, broken := interleavings(func(e *wire.Edit) { e.IfRevision = -1 })
			So(broken, ShouldNotBeEmpty)
		})
	})
}
