package standin

import (
	"os"
	"slices"
	"sync"

	"caperwheel/internal/fleet"
)

// cleanExits are how a process ends that was asked to stop; by the signal itself where that
// came before the program had asked for it.
var cleanExits = []string{"exit status 0", "signal: terminated"}

// stop ends all processes, asking first or not; the trouble lasts until they
// are started again.
func (m *Machine) stop(isGraceful bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.shouldRun {
		return
	}
	m.shouldRun = false
	m.endDisruption = m.site.History.beginDisruption(m.ShortName, m.site.Now(), isGraceful)
	m.noteSignal()
	var wg sync.WaitGroup
	for _, p := range m.Processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !isGraceful {
				p.Kill()
				return
			}
			m.stopGracefully(p)
		}()
	}
	wg.Wait()
}

// stopGracefully has one process stop, and notes where it does not as it should.
func (m *Machine) stopGracefully(p *fleet.Process) {
	switch {
	case !p.StopWithin(m.site.stopTimeout()):
		m.site.recordFailure("%s %s did not go within its grace", m.ShortName, p.Kind)
	case !slices.Contains(cleanExits, p.ExitStatus()):
		m.site.recordFailure("%s %s was asked to stop and ended: %s", m.ShortName, p.Kind, p.ExitStatus())
	}
}

// restartProcess stops the process of one kind and starts it again, while the machine's others go on.
func (m *Machine) restartProcess(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.Processes {
		if !m.shouldRun || p.Kind != kind {
			continue
		}
		troubled := m.site.History.beginDisruption(m.ShortName, m.site.Now(), true)
		m.noteSignal()
		m.stopGracefully(p)
		if err := p.Start(); err != nil {
			m.site.recordFailure("%s: %v", m.ShortName, err)
		}
		troubled(m.site.Now())
	}
}

// wipe loses the disk while the machine is down.
func (m *Machine) wipe() {
	m.stop(false)
	if err := os.RemoveAll(m.disk()); err != nil {
		m.site.recordFailure("disk of %s: %v", m.ShortName, err)
	}
}
