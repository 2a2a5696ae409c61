package main

import (
	"fmt"
	"runtime"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/explore"
)

// checkCommand holds the arguments of check.
type checkCommand struct {
	Members  int    `arg:"--members" default:"3" help:"founding members of the group"`
	Scenario string `arg:"--scenario" help:"the search to make, by name; all if not given"`
	Depth    int    `arg:"--depth" help:"events from the first state; each search's own if not given"`
	States   int    `arg:"--states" default:"100000" help:"states of a search after which it ends"`
	From     uint64 `arg:"--from" default:"1" help:"first seed of the random walks"`
	Walks    uint64 `arg:"--walks" default:"1000" help:"random walks, one for each seed"`
	Steps    int    `arg:"--steps" default:"600" help:"events of a random walk"`
	Jobs     int    `arg:"--jobs" help:"searches and walks at once; one for each processor if not given"`
}

// checkGroup explores the states of a replicated group: exhaustive searches first, then random walks. A violated
// invariant is printed with the events that lead to it.
func checkGroup(a *checkCommand) error {
	if a.Members < 1 || a.Members > explore.MaxMembers {
		return errs.New(errs.Invalid, "members must be from 1 to %d", explore.MaxMembers)
	}
	if a.Jobs < 1 {
		a.Jobs = runtime.NumCPU()
	}
	pool := pond.NewPool(a.Jobs)
	var violations atomic.Int64
	report := func(name string, r explore.Result) {
		fmt.Println(name + ": " + r.String())
		if r.Breach != "" {
			violations.Add(1)
		}
	}
	searches := pool.NewGroup()
	isKnown := false
	for _, s := range explore.Scenarios(a.Members) {
		if a.Scenario != "" && a.Scenario != s.Name {
			continue
		}
		isKnown = true
		if a.Depth > 0 {
			s.Depth = a.Depth
		}
		searches.Submit(func() { report(s.Name, explore.Search(&s.Options, s.Depth, a.States)) })
	}
	if !isKnown {
		return errs.New(errs.Unknown, "there is no search %q", a.Scenario)
	}
	walks := pool.NewGroup()
	var events atomic.Int64
	for seed := a.From; seed < a.From+a.Walks; seed++ {
		walks.Submit(func() {
			r := explore.Walk(explore.UnrestrictedOptions(a.Members, 1, seed), seed, a.Steps)
			if events.Add(int64(r.Events)); r.Breach != "" {
				report(fmt.Sprintf("walk %d", seed), r)
			}
		})
	}
	for _, group := range []pond.TaskGroup{searches, walks} {
		if err := group.Wait(); err != nil {
			return errs.Wrap(err, errs.Internal, "run the searches and walks")
		}
	}
	fmt.Printf("%d walks: %d events\n", a.Walks, events.Load())
	if n := violations.Load(); n > 0 {
		return errs.New(errs.Unhealthy, "%d searches or walks violated an invariant", n)
	}
	return nil
}
