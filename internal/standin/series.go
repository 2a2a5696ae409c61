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

// Durations and counts for faults in series.
const (
	seriesBegin    = 2 * time.Second        // before the first fault
	seriesEnd      = 4 * time.Second        // after the last fault
	meanSeriesGap  = 700 * time.Millisecond // between two faults
	maxSignalPause = 400 * time.Millisecond // longest pause between two signals to a process
	signalCount    = 4
	changeCount    = 10
)

// signalWhileStopping stops machines gracefully and sends them further signals while they stop. They start again when
// the fault ends.
func signalWhileStopping(ctx context.Context, s *Site, selector string) func() {
	return s.disruptEach(selector, func(m *Machine) {
		stopping, stopped := context.WithCancel(ctx)
		defer stopped()
		go func() { // stops with the processes: a signal must not reach their next incarnation
			for i := 0; i < signalCount && sleep(stopping, time.Duration(rand.Int64N(int64(maxSignalPause)))); i++ {
				m.sendSignal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[i%2])
			}
		}()
		m.stop(true)
	})
}

// reloadRepeatedly makes machines reload changed settings several times.
func reloadRepeatedly(ctx context.Context, s *Site, selector string) func() {
	for range signalCount {
		for _, m := range s.machinesMatching(selector) {
			m.reloadSettings()
		}
		sleep(ctx, time.Duration(rand.Int64N(int64(maxSignalPause))))
	}
	return func() {}
}

// losePower kills machines permanently.
func losePower(_ context.Context, s *Site, selector string) func() {
	for _, m := range s.machinesMatching(selector) {
		m.stop(false)
		m.mu.Lock()
		m.isPermanentlyDown = true
		m.mu.Unlock()
		s.History.WithLock(func() {
			for i, t := range s.History.Disruptions {
				if t.Daemon == m.ShortName && t.Until == 0 {
					s.History.Disruptions[i].IsPermanent = true
				}
			}
		})
	}
	return func() {}
}

// changeRepeatedly changes the configuration many times in a row.
func changeRepeatedly(ctx context.Context, s *Site, kind string) func() {
	for range changeCount {
		changeConfig(ctx, s, kind)
	}
	return func() {}
}

// closeIdleConnections makes workers close idle connections without notice.
func closeIdleConnections(_ context.Context, s *Site, selector string) func() {
	for _, w := range s.workers(selector) {
		w.server.SetKeepAlivesEnabled(false)
		w.server.SetKeepAlivesEnabled(true)
	}
	return func() {}
}

// seriesFaults are the faults from which a series is drawn, for a site with that many fronts.
func seriesFaults(fronts int) []fleet.FaultDraw {
	of := func(names ...string) func(*rand.Rand) string {
		return func(r *rand.Rand) string { return names[r.IntN(len(names))] }
	}
	front := func(r *rand.Rand) string { return fmt.Sprintf("front-%d", 1+r.IntN(fronts)) }
	other := of("store-1", "store-2", "store-3", "core-1", "core-2", "core-3")
	all := of("front-*", "store-*", "core-*")
	pairs := func(r *rand.Rand) string { // a front, and stores that it may depend on
		return front(r) + "+" + of("store-1", "store-2", "store-3", "store-*")(r)
	}
	workers := of("pool-1/1", "pool-1/2", "pool-1/3", "pool-1/4", "pool-2/1", "pool-2/2")
	return []fleet.FaultDraw{
		{Weight: 10, Action: "stop", Target: front, MaxDuration: 2 * time.Second},
		{Weight: 4, Action: "nag", Target: front, MaxDuration: 2 * time.Second},
		{Weight: 3, Action: "stop", Target: other, MaxDuration: 2 * time.Second},
		{Weight: 1, Action: "nag", Target: other, MaxDuration: 2 * time.Second},
		{Weight: 1, Action: "stop", Target: all, MaxDuration: 2 * time.Second},
		{Weight: 1, Action: "nag", Target: of("front-*", "zone north-bank"), MaxDuration: 2 * time.Second},
		{Weight: 2, Action: "kill", Target: front, MaxDuration: 3 * time.Second},
		{Weight: 2, Action: "kill", Target: other, MaxDuration: 3 * time.Second},
		{Weight: 1, Action: "kill", Target: of("zone south-bank", "store-*", "core-*"), MaxDuration: 2 * time.Second},
		{Weight: 1, Action: "freeze", Target: front, MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "freeze", Target: other, MaxDuration: 4 * time.Second},
		{Weight: 2, Action: "hup", Target: of("front-*", "core-*", "store-*", "*")},
		{Weight: 1, Action: "storm", Target: of("front-*", "*")},
		{Weight: 2, Action: "reload", Target: of("front-*", "*")},
		{Weight: 2, Action: "lone", Target: front},
		{Weight: 1, Action: "lone", Target: of("front-*")},
		{Weight: 3, Action: "together", Target: pairs, MaxDuration: 2 * time.Second},
		{Weight: 2, Action: "churn", Target: of("timeout", "update")},
		{Weight: 4, Action: "edit", Target: of("timeout", "add", "remove", "update", "race", "repeat")},
		{Weight: 1, Action: "fail", Target: workers, MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "crawl", Target: workers, MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "cut", Target: workers, MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "full", Target: of("pool-2/*", "pool-1/*"), MaxDuration: 3 * time.Second},
		{Weight: 1, Action: "vanish", Target: of("pool-1/1", "pool-2/*"), MaxDuration: 4 * time.Second},
		{Weight: 1, Action: "leave", Target: workers, MaxDuration: 6 * time.Second},
		{Weight: 2, Action: "forget", Target: of("pool-1/*", "pool-2/*")},
	}
}

// FaultSeries draws a series of faults that follow each other closely and overlap. The same seed draws the same
// series. On a site with spare fronts, up to a quarter of the spare ones lose power permanently.
func FaultSeries(seed uint64, length time.Duration, fronts, zones int) fleet.Schedule {
	r, faults, shares := rand.New(rand.NewPCG(seed, seriesSeedStream)), seriesFaults(fronts), 0
	for _, d := range faults {
		shares += d.Weight
	}
	out := fleet.Schedule{Note: fmt.Sprintf("series of seed %d", seed), Duration: length.String()}
	spare := (fronts - zones) / 4
	for at := seriesBegin; at < length-seriesEnd; at += time.Duration(r.Int64N(int64(2*meanSeriesGap))) + time.Millisecond {
		draw := r.IntN(shares)
		d := faults[slices.IndexFunc(faults, func(d fleet.FaultDraw) bool { draw -= d.Weight; return draw < 0 })]
		step := fleet.Step{At: at.String(), Action: d.Action, Target: d.Target(r)}
		if d.MaxDuration > 0 {
			duration := min(time.Duration(r.Int64N(int64(d.MaxDuration))), length-at-time.Second).Round(time.Millisecond)
			step.Duration = duration.String()
		}
		out.Steps = append(out.Steps, step)
		if spare > 0 && r.IntN(powerLossEvery) == 0 {
			out.Steps = append(out.Steps, fleet.Step{At: at.String(), Action: "gone", Target: fmt.Sprintf("front-%d", fronts-spare+1)})
			spare--
		}
	}
	return out
}

const (
	seriesSeedStream = 31 // random stream of the series, separate from others of the same seed
	powerLossEvery   = 6  // with one fault in so many a front loses power permanently
)
