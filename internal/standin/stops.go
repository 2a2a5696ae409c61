package standin

import (
	"os"
	"slices"
	"sync"

	"caperwheel/internal/fleet"
)

// cleanEnds are how a process ends that was asked to stop; by the signal itself where that
// came before the program had asked for it.
var cleanEnds = []string{"exit status 0", "signal: terminated"}

// stop ends all processes, asking first or not; the trouble lasts until they
// are started again.
func (m *Machine) stop(isAsked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isMeant {
		return
	}
	m.isMeant = false
	m.troubled = m.site.History.begin(m.Short, m.site.Now(), isAsked)
	m.noteSignal()
	var wg sync.WaitGroup
	for _, p := range m.Processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !isAsked {
				p.Kill()
				return
			}
			m.askToStop(p)
		}()
	}
	wg.Wait()
}

// askToStop has one process stop, and notes where it does not as it should.
func (m *Machine) askToStop(p *fleet.Process) {
	switch {
	case !p.StopWithin(m.site.patience()):
		m.site.failed("%s %s did not go within its grace", m.Short, p.Kind)
	case !slices.Contains(cleanEnds, p.Ended()):
		m.site.failed("%s %s was asked to stop and ended: %s", m.Short, p.Kind, p.Ended())
	}
}

// stopOne stops the process of one kind and starts it again, while the machine's others go on.
func (m *Machine) stopOne(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.Processes {
		if !m.isMeant || p.Kind != kind {
			continue
		}
		troubled := m.site.History.begin(m.Short, m.site.Now(), true)
		m.noteSignal()
		m.askToStop(p)
		if err := p.Start(); err != nil {
			m.site.failed("%s: %v", m.Short, err)
		}
		troubled(m.site.Now())
	}
}

// wipe loses the disk while the machine is down.
func (m *Machine) wipe() {
	m.stop(false)
	if err := os.RemoveAll(m.disk()); err != nil {
		m.site.failed("disk of %s: %v", m.Short, err)
	}
}
