package standin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/check"
)

// workers returns the workers that a selector names, such as pool-1/2 or pool-1/*.
func (s *Site) workers(selector string) []*Worker {
	position, index, _ := strings.Cut(selector, "/")
	out := []*Worker{}
	for i, p := range s.plan.Services { // configuration changes do not affect the plan
		if fmt.Sprintf("pool-%d", i+1) != position {
			continue
		}
		for n, w := range s.Pools[p.Name].all() {
			if index == "*" || index == fmt.Sprint(n+1) {
				out = append(out, w)
			}
		}
	}
	if len(out) == 0 {
		s.recordFailure("no worker matches %s", selector)
	}
	return out
}

// setMode switches workers to the mode that the fault names until the fault ends. A fault that no run met is recorded
// as a failure, unless faults are random.
func setMode(_ context.Context, s *Site, selector string) func() {
	fault, selector, _ := strings.Cut(selector, " ")
	all := s.workers(selector)
	for _, w := range all {
		w.mode.Store(int32(faultModes[fault]))
	}
	return func() {
		requests := int64(0)
		for _, w := range all {
			w.mode.Store(int32(Healthy))
			requests += w.faultyRequests.Load()
		}
		if requests == 0 && !s.hasRandomFaults {
			s.recordFailure("no request reached %s during its fault", selector)
		}
	}
}

// failReceivers makes the receivers of call-backs fail until the fault ends.
func failReceivers(_ context.Context, s *Site, _ string) func() {
	s.Receiver.mode.Store(int32(Fail))
	return func() { s.Receiver.mode.Store(int32(Healthy)) }
}

// replaceWorker starts a new instance at an address. If random faults overlap, another instance may have been started
// there; then it uses a new address.
func (s *Site) replaceWorker(p *Pool, zone, addr string, isCold bool) {
	_, err := p.add(zone, addr, isCold)
	if errors.Is(err, syscall.EADDRINUSE) && s.hasRandomFaults {
		_, err = p.add(zone, s.nextAddr(), isCold)
	}
	if err != nil {
		s.recordFailure("cannot start a replacement worker of service %s: %v", p.Name, err)
	}
}

// crashWorkers closes workers abruptly; the list shows them for 2 more seconds. When the fault ends, cold instances
// start at the same addresses.
func crashWorkers(ctx context.Context, s *Site, selector string) func() {
	all := s.workers(selector)
	for _, w := range all {
		w.shutDown()
		go func() { sleep(s.ctx, 2*time.Second); w.Service.remove(w) }()
	}
	return func() {
		for _, w := range all {
			w.Service.remove(w)
			s.replaceWorker(w.Service, w.Zone, w.Addr, true)
		}
	}
}

// drainWorker shows a worker as draining on the list, and stops it when the drain bound and some more time have
// passed.
func (s *Site) drainWorker(ctx context.Context, w *Worker) {
	w.isDraining.Store(true)
	shownAt := s.Now() + listDelay + listDelay/4
	s.History.WithLock(func() {
		s.History.Marks = append(s.History.Marks, check.Drain{Pool: w.Service.Name, Worker: w.Id, From: shownAt, Grace: drainBound})
	})
	sleep(ctx, drainBound+listDelay+2*time.Second)
	w.Service.remove(w)
	w.shutDown()
}

// drainWorkers drains and stops workers. When the fault ends, cold instances start at the same addresses.
func drainWorkers(ctx context.Context, s *Site, selector string) func() {
	all, done := s.workers(selector), make(chan struct{})
	for _, w := range all {
		go func() { s.drainWorker(ctx, w); done <- struct{}{} }()
	}
	return func() {
		for _, w := range all {
			<-done
			s.replaceWorker(w.Service, w.Zone, w.Addr, true)
		}
	}
}

// reuseAddress crashes a worker and starts a worker of another service at its address.
func reuseAddress(ctx context.Context, s *Site, selector string) func() {
	for _, w := range s.workers(selector) {
		w.shutDown()
		go func() { sleep(s.ctx, 4*time.Second); w.Service.remove(w) }()
		sleep(ctx, 2*time.Second)
		for _, p := range s.Pools {
			if p != w.Service && p.Count > 0 {
				s.replaceWorker(p, w.Zone, w.Addr, true)
				break
			}
		}
		s.replaceWorker(w.Service, w.Zone, s.nextAddr(), true)
	}
	return func() {}
}
