package standin

import (
	"os"
	"slices"
	"sync"

	"caperwheel/internal/fleet"
)

// cleanExits are the exit states of a process that stopped on request: it is terminated by the signal itself if that
// arrives before the program has installed its signal handler.
var cleanExits = []string{"exit status 0", "signal: terminated"}

// stop stops all processes, by SIGTERM if isGraceful and else by SIGKILL. The disruption lasts until the machine is
// started again.
func (m *Machine) stop(isGraceful bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.shouldRun {
		return
	}
	m.shouldRun = false
	m.endDisruption = m.site.History.beginDisruption(m.ShortName, m.site.Now(), isGraceful)
	m.announceSignal()
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

// stopGracefully stops a process by SIGTERM, and records a failure if it exceeds its grace period or exits with an
// error.
func (m *Machine) stopGracefully(p *fleet.Process) {
	switch {
	case !p.StopWithin(m.site.stopTimeout()):
		m.site.recordFailure("%s %s did not stop within its grace period", m.ShortName, p.Kind)
	case !slices.Contains(cleanExits, p.ExitStatus()):
		m.site.recordFailure("%s %s was asked to stop and exited with: %s", m.ShortName, p.Kind, p.ExitStatus())
	}
}

// restartProcess stops the process of one kind and starts it again while the machine's other processes keep running.
func (m *Machine) restartProcess(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.Processes {
		if !m.shouldRun || p.Kind != kind {
			continue
		}
		endDisruption := m.site.History.beginDisruption(m.ShortName, m.site.Now(), true)
		m.announceSignal()
		m.stopGracefully(p)
		if err := p.Start(); err != nil {
			m.site.recordFailure("cannot start a process of machine %s again: %v", m.ShortName, err)
		}
		endDisruption(m.site.Now())
	}
}

// wipe kills the machine's processes and deletes its data directory.
func (m *Machine) wipe() {
	m.stop(false)
	if err := os.RemoveAll(m.disk()); err != nil {
		m.site.recordFailure("cannot delete the data directory of %s: %v", m.ShortName, err)
	}
}
