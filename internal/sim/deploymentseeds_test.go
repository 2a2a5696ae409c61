package sim

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeploymentReplacesInTime: while one store retires, another is replaced by a
// machine that comes 0.3 s later, and the group changes its owner meanwhile. The new
// owner once counted the silence of the lost store from when it became the owner, and
// looked again only after a quarter of the bound.
func TestDeploymentReplacesInTime(t *testing.T) {
	Convey("A replaced store's seats are filled before the next loss", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 560})
		So(d.Breaches(), ShouldBeEmpty)
	})
}

// TestDeploymentWaitsForNewcomers: all managers began 12 s ago; one store has been
// away since before, and one started 0.7 s ago. A manager knew of neither and
// rejected a retirement for want of stores.
func TestDeploymentWaitsForNewcomers(t *testing.T) {
	Convey("A proper retirement is not rejected by managers that have begun lately", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 435})
		So(d.Breaches(), ShouldBeEmpty)
	})
}

// TestDeploymentEvacuations: managers that thaw or come back carried out orders about a
// zone that had long been acknowledged elsewhere, and took a later evacuation back.
func TestDeploymentEvacuations(t *testing.T) {
	only := []string{Evacuations, "frozen", "cut inward"}
	runs := runParallel(map[string]DeploymentOptions{"20": {Seed: 20, FaultNames: only}, "49": {Seed: 49, FaultNames: only}, "128": {Seed: 128, FaultNames: only}}, RunDeployment)
	Convey("What was evacuated stays so until it is taken back, in seed", t, func() {
		for name, d := range runs {
			Convey(name, func() {
				printTrace(name, d.Breaches(), d.Trace)
				So(d.Breaches(), ShouldBeEmpty)
				So(strings.Join(d.Trace, "\n"), ShouldContainSubstring, "is evacuated")
			})
		}
	})
}

// TestDeploymentHundredsOfChanges: what grows with the number of changes is found by a
// run of four simulated minutes in which more than 500 hold.
func TestDeploymentHundredsOfChanges(t *testing.T) {
	Convey("A deployment keeps its promises over more than 500 changes", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 3, FaultTime: 4 * time.Minute})
		printTrace("seed 3", d.Breaches(), d.Trace)
		So(d.Breaches(), ShouldBeEmpty)
		So(d.Confirmed, ShouldBeGreaterThan, 500)
		So(d.Retired, ShouldBeGreaterThan, 3)
		So(d.faults.lossCount, ShouldBeGreaterThan, 10)
	})
}
