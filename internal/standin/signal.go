package standin

import (
	"net"
	"syscall"

	"caperwheel/internal/fleet"
)

// signalEvent announces one signal: delivered is closed when the machine's processes get it.
type signalEvent struct{ delivered chan struct{} }

// newSignalEvent returns an event that has not happened yet.
func newSignalEvent() *signalEvent { return &signalEvent{make(chan struct{})} }

// nextSignal returns a channel that is closed when the machine's processes get their next signal.
func (m *Machine) nextSignal() <-chan struct{} { return m.nextSignalEvent.Load().delivered }

// announceSignal announces a signal to those who wait for one. They may see it shortly before or after the processes.
func (m *Machine) announceSignal() { close(m.nextSignalEvent.Swap(newSignalEvent()).delivered) }

// isListening reports whether a process accepts connections. A process whose runtime has not started yet is
// terminated by a SIGHUP, whatever the program does.
func (m *Machine) isListening(p *fleet.Process) bool {
	port := portHttp
	if p.Kind == "agent" {
		port = portAgentHttp
	}
	conn, err := net.DialTimeout("tcp", m.site.at(m.host, port), responseTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// sendSignal sends a signal to the machine's processes in any state; SIGHUP only to those that accept connections.
func (m *Machine) sendSignal(sig syscall.Signal) {
	m.announceSignal()
	for _, p := range m.Processes {
		if sig != syscall.SIGHUP || m.isListening(p) {
			p.Signal(sig)
		}
	}
}
