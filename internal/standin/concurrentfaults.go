package standin

import (
	"context"
	"strings"
	"sync"
)

// Faults that combine several stops or configuration changes at the same time.

// reload makes machines reload changed settings repeatedly while the configuration changes.
func reload(ctx context.Context, s *Site, selector string) func() {
	var reloading sync.WaitGroup
	reloading.Go(func() { reloadRepeatedly(ctx, s, selector) })
	changeRepeatedly(ctx, s, "timeout")
	reloading.Wait()
	return func() {}
}

// restartAgents stops only the agents of front machines and starts each again once it has exited. The adapters on
// these machines keep serving, and stop accepting only when their view of the system becomes too old.
func restartAgents(_ context.Context, s *Site, selector string) func() {
	s.disruptEach(selector, func(m *Machine) { m.restartProcess("agent") })
	return func() {}
}

// stopTogether stops machines of several kinds at the same moment; the selector joins their names with "+". They start
// again when the fault ends.
func stopTogether(_ context.Context, s *Site, selector string) func() {
	var stopping sync.WaitGroup
	restarts := []func(){}
	for _, name := range strings.Split(selector, "+") {
		for _, m := range s.machinesMatching(name) {
			stopping.Go(func() { m.stop(true) })
			restarts = append(restarts, m.restart)
		}
	}
	stopping.Wait()
	return func() {
		for _, one := range restarts {
			one()
		}
	}
}
