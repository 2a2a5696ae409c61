package groupclock

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTimeAcrossOwners explores the clocks of three replicas: whoever owns the group,
// whatever is behind or restarted, group time is never ahead of real time. The rule
// before, by which a replica kept its own count where that was ahead, is found.
func TestTimeAcrossOwners(t *testing.T) {
	Convey("Between any two commands group time advances by no more than real time", t, func() {
		states, broken := explore(noMutant, modelSize{replicas: 3, restarts: true, depth: 8})
		So(broken, ShouldBeEmpty)
		So(states, ShouldBeGreaterThan, 50_000)
	})
	Convey("With the old rule it advances by more", t, func() {
		_, broken := explore(keepsOwnCount, modelSize{replicas: 3, restarts: true, depth: 9})
		So(broken, ShouldNotBeEmpty)
	})
	Convey("Where a replica counts every command from its process's beginning, it advances by more", t, func() {
		_, broken := explore(countsAllAsLogged, modelSize{replicas: 2, restarts: true, depth: 8})
		So(broken, ShouldNotBeEmpty)
	})
}

// TestKeptTimeAcrossOwners explores the same with a keeper: however late its words are, whoever asks for
// them and whatever is restarted, group time is never ahead of real time. Each guard taken out is found.
func TestKeptTimeAcrossOwners(t *testing.T) {
	Convey("Between any two commands group time advances by no more than real time", t, func() {
		for _, size := range []modelSize{{replicas: 3, restarts: true, hasCache: true, depth: 6}, {replicas: 2, hasCache: true, depth: 9}} {
			states, broken := explore(noMutant, size)
			So(broken, ShouldBeEmpty)
			So(states, ShouldBeGreaterThan, 4_000)
		}
	})
	for name, mutant := range map[string]modelMutant{"words of any term": acceptsAnyTerm, "words that come after the first command": acceptsLateReading} {
		Convey("With "+name+" it advances by more", t, func() {
			_, broken := explore(mutant, modelSize{replicas: 2, hasCache: true, depth: 10})
			So(broken, ShouldNotBeEmpty)
		})
	}
}
