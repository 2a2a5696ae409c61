package fleet

import (
	"context"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
)

// Start starts all daemons, sends the configuration and the worker lists, and waits until all adapters are ready.
func (f *Fleet) Start(ctx context.Context) error {
	for _, p := range f.All() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	if err := f.api.PutConfig(ctx, f.Config); err != nil {
		return err
	}
	pools := map[string][]config.Worker{}
	from := f.Now()
	for _, b := range f.Backends {
		if b.Name != config.EndpointWorker {
			pools[b.Pool] = append(pools[b.Pool], config.Worker{Name: b.Name, Address: b.Addr, Zone: b.Zone, State: "live"})
		}
	}
	for pool, workers := range pools {
		if err := f.api.PutWorkers(ctx, pool, workers); err != nil {
			return err
		}
	}
	for _, b := range f.Backends {
		f.recordColdStart(b, from)
	}
	return f.api.WaitReady(ctx)
}

// recordColdStart records that a worker joined cold at a time, so that its starts are checked against the slow-start
// ramp of its pool. Endpoints and pools without slow start are not recorded.
func (f *Fleet) recordColdStart(b *Backend, from time.Duration) {
	if slowStart := f.Rules.Pools[b.Pool].SlowStart; slowStart > 0 && b.Name != config.EndpointWorker {
		f.History.AddCold(check.ColdStart{Pool: b.Pool, Worker: b.Name, From: from, SlowStart: slowStart})
	}
}

// Stop continues frozen daemons, kills all daemons and stops all back ends.
func (f *Fleet) Stop() {
	done := make(chan struct{})
	all := f.All()
	for _, p := range all {
		go func() { p.Signal(18); p.signalAndWait(9); done <- struct{}{} }()
	}
	for range all {
		<-done
	}
	for _, b := range f.Backends {
		b.Stop()
	}
}
