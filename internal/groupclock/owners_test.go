package groupclock

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestTimeAcrossOwners explores the clocks of three replicas: whichever owns the group, and whichever are behind or
// restarted, group time never advances faster than real time. The search finds the fault of the earlier rule, by
// which a replica kept its own count if that was ahead.
func TestTimeAcrossOwners(t *testing.T) {
	Convey("Between any two commands group time advances by no more than real time", t, func() {
		states, violation := explore(noMutant, modelSize{replicas: 3, restarts: true, depth: 8})
		So(violation, ShouldBeEmpty)
		So(states, ShouldBeGreaterThan, 50_000)
	})
	Convey("With the earlier rule it advances by more", t, func() {
		_, violation := explore(keepsOwnCount, modelSize{replicas: 3, restarts: true, depth: 9})
		So(violation, ShouldNotBeEmpty)
	})
	Convey("If a replica counts every command from the start of its process, it advances by more", t, func() {
		_, violation := explore(countsAllAsLogged, modelSize{replicas: 2, restarts: true, depth: 8})
		So(violation, ShouldNotBeEmpty)
	})
}

// TestKeptTimeAcrossOwners explores the same with a cache: however late readings arrive, whichever replica uses them
// and whatever is restarted, group time never advances faster than real time. The search finds a fault without each
// guard.
func TestKeptTimeAcrossOwners(t *testing.T) {
	Convey("Between any two commands group time advances by no more than real time", t, func() {
		for _, size := range []modelSize{{replicas: 3, restarts: true, hasCache: true, depth: 6}, {replicas: 2, hasCache: true, depth: 9}} {
			states, violation := explore(noMutant, size)
			So(violation, ShouldBeEmpty)
			So(states, ShouldBeGreaterThan, 4_000)
		}
	})
	for name, mutant := range map[string]modelMutant{"readings of any term": acceptsAnyTerm, "readings that are used after the first command": acceptsLateReading} {
		Convey("With "+name+" it advances by more", t, func() {
			_, violation := explore(mutant, modelSize{replicas: 2, hasCache: true, depth: 10})
			So(violation, ShouldNotBeEmpty)
		})
	}
}
