package standin

import (
	"context"
	"strings"
	"sync"
)

// Stops and changes that meet others of their kind.

// reload has machines read changed settings again and again while the configuration changes.
func reload(ctx context.Context, s *Site, who string) func() {
	var storming sync.WaitGroup
	storming.Go(func() { reloadRepeatedly(ctx, s, who) })
	changeRepeatedly(ctx, s, "timeout")
	storming.Wait()
	return func() {}
}

// restartAgents stops the agents of fronts alone, and starts them again once they have ended. Their adapters
// serve on, and stop only where their view grows too old.
func restartAgents(_ context.Context, s *Site, who string) func() {
	s.disruptEach(who, func(m *Machine) { m.restartProcess("agent") })
	return func() {}
}

// stopTogether has machines of several kinds stop at the same moment, named with a + between them. Undone, they start again.
func stopTogether(_ context.Context, s *Site, who string) func() {
	var stopping sync.WaitGroup
	undo := []func(){}
	for _, name := range strings.Split(who, "+") {
		for _, m := range s.machinesMatching(name) {
			stopping.Go(func() { m.stop(true) })
			undo = append(undo, m.restart)
		}
	}
	stopping.Wait()
	return func() {
		for _, one := range undo {
			one()
		}
	}
}
