package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"caperwheel/internal/fleet"
)

// Spans of faults that come in series.
const (
	seriesBegin = 2 * time.Second        // before the first one
	seriesEnd   = 4 * time.Second        // after the last one
	seriesGap   = 700 * time.Millisecond // between two, on the mean
	nagPause    = 400 * time.Millisecond // the longest between two signals to one process
	nagCount    = 4
	churnCount  = 10
)

// nag asks machines to stop and gives them further signals while they do. Undone,
// they start again.
func nag(ctx context.Context, s *Site, who string) func() {
	return s.each(who, func(m *Machine) {
		stopping, stopped := context.WithCancel(ctx)
		defer stopped()
		go func() { // not a signal more once they have gone: the next life is not meant
			for i := 0; i < nagCount && pause(stopping, time.Duration(rand.Int64N(int64(nagPause)))); i++ {
				m.signalAgain([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
			}
		}()
		m.stop(true)
	})
}

// storm has machines read changed settings again and again.
func storm(ctx context.Context, s *Site, who string) func() {
	for range nagCount {
		for _, m := range s.match(who) {
			m.hup()
		}
		pause(ctx, time.Duration(rand.Int64N(int64(nagPause))))
	}
	return func() {}
}

// gone has machines lose power for good.
func gone(_ context.Context, s *Site, who string) func() {
	for _, m := range s.match(who) {
		m.stop(false)
		m.mu.Lock()
		m.isGone = true
		m.mu.Unlock()
		s.History.Add(func() {
			for i, t := range s.History.Troubles {
				if t.Daemon == m.Short && t.Until == 0 {
					s.History.Troubles[i].IsForGood = true
				}
			}
		})
	}
	return func() {}
}

// churn changes the configuration many times, one right after another.
func churn(ctx context.Context, s *Site, who string) func() {
	for range churnCount {
		edit(ctx, s, who)
	}
	return func() {}
}

// forget has workers close the connections that wait on them, without a word.
func forget(_ context.Context, s *Site, who string) func() {
	for _, w := range s.workers(who) {
		w.server.SetKeepAlivesEnabled(false)
		w.server.SetKeepAlivesEnabled(true)
	}
	return func() {}
}

// seriesDraws are the faults of a series, for a site with so many fronts.
func seriesDraws(fronts int) []fleet.Draw {
	of := func(names ...string) func(*rand.Rand) string {
		return func(r *rand.Rand) string { return names[r.IntN(len(names))] }
	}
	front := func(r *rand.Rand) string { return fmt.Sprintf("front-%d", 1+r.IntN(fronts)) }
	other := of("store-1", "store-2", "store-3", "core-1", "core-2", "core-3")
	all := of("front-*", "store-*", "core-*")
	pairs := func(r *rand.Rand) string { // a front and the stores that it may need
		return front(r) + "+" + of("store-1", "store-2", "store-3", "store-*")(r)
	}
	workers := of("pool-1/1", "pool-1/2", "pool-1/3", "pool-1/4", "pool-2/1", "pool-2/2")
	return []fleet.Draw{
		{Share: 10, Do: "stop", Who: front, Most: 2 * time.Second},
		{Share: 4, Do: "nag", Who: front, Most: 2 * time.Second},
		{Share: 3, Do: "stop", Who: other, Most: 2 * time.Second},
		{Share: 1, Do: "nag", Who: other, Most: 2 * time.Second},
		{Share: 1, Do: "stop", Who: all, Most: 2 * time.Second},
		{Share: 1, Do: "nag", Who: of("front-*", "zone north-bank"), Most: 2 * time.Second},
		{Share: 2, Do: "kill", Who: front, Most: 3 * time.Second},
		{Share: 2, Do: "kill", Who: other, Most: 3 * time.Second},
		{Share: 1, Do: "kill", Who: of("zone south-bank", "store-*", "core-*"), Most: 2 * time.Second},
		{Share: 1, Do: "freeze", Who: front, Most: 4 * time.Second},
		{Share: 1, Do: "freeze", Who: other, Most: 4 * time.Second},
		{Share: 2, Do: "hup", Who: of("front-*", "core-*", "store-*", "*")},
		{Share: 1, Do: "storm", Who: of("front-*", "*")},
		{Share: 2, Do: "reload", Who: of("front-*", "*")},
		{Share: 2, Do: "lone", Who: front},
		{Share: 1, Do: "lone", Who: of("front-*")},
		{Share: 3, Do: "together", Who: pairs, Most: 2 * time.Second},
		{Share: 2, Do: "churn", Who: of("timeout", "update")},
		{Share: 4, Do: "edit", Who: of("timeout", "add", "remove", "update", "race", "repeat")},
		{Share: 1, Do: "fail", Who: workers, Most: 4 * time.Second},
		{Share: 1, Do: "crawl", Who: workers, Most: 4 * time.Second},
		{Share: 1, Do: "cut", Who: workers, Most: 4 * time.Second},
		{Share: 1, Do: "full", Who: of("pool-2/*", "pool-1/*"), Most: 3 * time.Second},
		{Share: 1, Do: "vanish", Who: of("pool-1/1", "pool-2/*"), Most: 4 * time.Second},
		{Share: 1, Do: "leave", Who: workers, Most: 6 * time.Second},
		{Share: 2, Do: "forget", Who: of("pool-1/*", "pool-2/*")},
	}
}

// Series draws faults by seed that come close upon each other and overlap. The same
// seed draws the same series. On a site with spare fronts, up to a quarter go for good.
func Series(seed uint64, length time.Duration, fronts, zones int) fleet.Schedule {
	r, draws, shares := rand.New(rand.NewPCG(seed, seriesStream)), seriesDraws(fronts), 0
	for _, d := range draws {
		shares += d.Share
	}
	out := fleet.Schedule{Note: fmt.Sprintf("series of seed %d", seed), For: length.String()}
	spare := (fronts - zones) / 4
	for at := seriesBegin; at < length-seriesEnd; at += time.Duration(r.Int64N(int64(2*seriesGap))) + time.Millisecond {
		left := r.IntN(shares)
		d := draws[slices.IndexFunc(draws, func(d fleet.Draw) bool { left -= d.Share; return left < 0 })]
		step := fleet.Step{At: at.String(), Do: d.Do, Who: d.Who(r)}
		if d.Most > 0 {
			lasts := min(time.Duration(r.Int64N(int64(d.Most))), length-at-time.Second).Round(time.Millisecond)
			step.For = lasts.String()
		}
		out.Steps = append(out.Steps, step)
		if spare > 0 && r.IntN(goneShare) == 0 {
			out.Steps = append(out.Steps, fleet.Step{At: at.String(), Do: "gone", Who: fmt.Sprintf("front-%d", fronts-spare+1)})
			spare--
		}
	}
	return out
}

const (
	seriesStream = 31 // the stream of chance of a series, apart from others of the same seed
	goneShare    = 6  // beside one in so many faults a front goes for good
)
