package sim

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeploymentReplacesInTime guards against a late replacement: while one store retires, another is replaced by a
// machine that arrives 0.3 s later, and the group changes its owner meanwhile. The new owner counted the silence of
// the lost store only from its own election, and checked again only after a quarter of the bound.
func TestDeploymentReplacesInTime(t *testing.T) {
	Convey("The memberships of a replaced store are filled before the next loss", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 560})
		So(d.Breaches(), ShouldBeEmpty)
	})
}

// TestDeploymentWaitsForNewcomers guards against a wrong rejection: all managers started 12 s ago, one store has
// been away since before that, and one started 0.7 s ago. A manager that knew neither rejected a retirement for
// lack of stores.
func TestDeploymentWaitsForNewcomers(t *testing.T) {
	Convey("A valid retirement is not rejected by managers that started recently", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 435})
		So(d.Breaches(), ShouldBeEmpty)
	})
}

// TestDeploymentEvacuations guards against late orders: managers that thawed or restarted carried out orders for a
// zone that had long been acknowledged elsewhere, and so reverted a later evacuation.
func TestDeploymentEvacuations(t *testing.T) {
	only := []string{Evacuations, "frozen", "cut inward"}
	runs := runParallel(map[string]DeploymentOptions{"20": {Seed: 20, FaultNames: only}, "49": {Seed: 49, FaultNames: only}, "128": {Seed: 128, FaultNames: only}}, RunDeployment)
	Convey("An evacuated zone stays evacuated until it is restored, in seed", t, func() {
		for name, d := range runs {
			Convey(name, func() {
				printTrace(name, d.Breaches(), d.Trace)
				So(d.Breaches(), ShouldBeEmpty)
				So(strings.Join(d.Trace, "\n"), ShouldContainSubstring, "is evacuated")
			})
		}
	})
}

// TestDeploymentHundredsOfChanges runs four simulated minutes with more than 500 confirmed changes, to find what
// grows with the number of changes.
func TestDeploymentHundredsOfChanges(t *testing.T) {
	Convey("A deployment keeps its guarantees over more than 500 changes", t, func() {
		d := RunDeployment(DeploymentOptions{Seed: 3, FaultTime: 4 * time.Minute})
		printTrace("seed 3", d.Breaches(), d.Trace)
		So(d.Breaches(), ShouldBeEmpty)
		So(d.Confirmed, ShouldBeGreaterThan, 500)
		So(d.Retired, ShouldBeGreaterThan, 3)
		So(d.faults.lossCount, ShouldBeGreaterThan, 10)
	})
}
