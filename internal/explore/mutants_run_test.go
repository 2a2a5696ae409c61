package explore

import (
	"fmt"
	"sync"
	"testing"
)

// Bounds of the search for one mutant.
const (
	mutantMaxStates = 60_000
	mutantWalks     = 60
	mutantWalkSteps = 400
)

// searchMutant looks for a breach, either with the scenario of that name or, for "walk SEED" or an empty string, with
// random walks from a first seed. It returns the breach and how it was found.
func searchMutant(search string) (breach, how string) {
	for _, s := range Scenarios(3) {
		if s.Name == search {
			r := Search(&s.Options, s.Depth, mutantMaxStates)
			return r.Breach, fmt.Sprintf("%s, %d events, %d states", search, len(r.Trace), r.States)
		}
	}
	first := uint64(0)
	if _, err := fmt.Sscanf(search, "walk %d", &first); err != nil && search != "" {
		return "no search " + search, ""
	}
	for seed := first; seed < first+mutantWalks; seed++ {
		if r := Walk(UnrestrictedOptions(3, 1, seed), seed, mutantWalkSteps); r.Breach != "" {
			return r.Breach, fmt.Sprintf("walk %d, %d events", seed, r.Events)
		}
	}
	return "", ""
}

// TestMutants removes each guard of the group's code and requires its search to find a breach. Without equivalent
// mutants and without any mutant, it requires that no breach is found.
func TestMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs children")
	}
	binary := buildMutants(t, append(append([]mutant{}, mutants...), equivalentMutants...))
	var all sync.WaitGroup
	slots := make(chan struct{}, 2)
	run := func(m mutant, isEquivalent bool) {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			breach, how := runMutant(t, binary, m)
			t.Logf("%s: %q by %s", m.name, breach, how)
			if isEquivalent != (breach == "") {
				t.Errorf("%s: found %q by %s", m.name, breach, how)
			}
		})
	}
	for _, m := range mutants {
		run(m, false)
	}
	for _, m := range equivalentMutants {
		run(m, true)
	}
	run(mutant{name: "none"}, true)
	all.Wait()
}
