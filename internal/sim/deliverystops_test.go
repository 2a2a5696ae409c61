package sim

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStopsOfAll guards against runs repeated after a planned stop of everything: stores that were asked to stop
// ended within 70 ms, whichever other processes were stopping. The results that adapters still held, which were
// stopped at the same moment, could not be made durable by any store, so the messages ran again after the restart.
// Seed 744 of the soak found it.
func TestStopsOfAll(t *testing.T) {
	seeds := map[string]uint64{}
	for seed := range uint64(20) {
		seeds[fmt.Sprint(seed+1)] = seed + 1
	}
	type result struct {
		breaches, trace []string
		runs            int
	}
	runs := runParallel(seeds, func(seed uint64) result {
		d, breaches := RunStops(seed)
		out := result{trace: d.Trace, runs: len(d.runs)}
		for _, b := range breaches {
			out.breaches = append(out.breaches, b.Text)
		}
		return out
	})
	Convey("No success runs again when stores and adapters stop together, in seed", t, func() {
		for name, r := range runs {
			Convey(name, func() {
				So(r.breaches, ShouldBeEmpty)
				So(r.runs, ShouldBeGreaterThan, 100)
			})
		}
	})
}

// stopMutants each remove a guard of the orderly stop of a store.
var stopMutants = map[string]sourceMutant{
	"a store waits for open runs": {"internal/store/drain.go",
		"return d.isIdle && now-d.idleSince >= bounds.Of(timing.AnswerTimeout)", "return true", "", "stops"},
	"stores learn which others are stopping": {"internal/session/news.go", "		counts[DrainingCount] = 1\n", "", "", "stops"},
	"a store waits for notice of other stops": {"internal/store/drain.go",
		"isNoticeOver := now-d.startedAt >= bounds.Of(timing.DrainNotice)", "isNoticeOver := bounds.Of(timing.DrainNotice) > 0", "", "stops"},
	"no run starts where too few stores remain": {"internal/store/drain.go",
		"if !d.o.Daemon.IsDraining() && !d.o.Daemon.Membership.HasDrainingStores() {", "if len(all) > 0 {", "", "stops"},
}

// TestStopMutants checks that the sweep detects each removed guard.
func TestStopMutants(t *testing.T) {
	Convey("Successes run again unless", t, func() {
		for name, m := range stopMutants {
			Convey(name, func() {
				out, err := sweepWith(t, t.TempDir(), strings.ReplaceAll(name, " ", "-"), m, mutantSeeds)
				So(err, ShouldNotBeNil)
				So(out, ShouldContainSubstring, RuleTwice)
			})
		}
	})
}
