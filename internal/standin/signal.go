package standin

import (
	"net"
	"syscall"

	"caperwheel/internal/fleet"
)

// signalNote is closed as a machine's processes are given a signal.
type signalNote struct{ given chan struct{} }

func newSignal() *signalNote { return &signalNote{make(chan struct{})} }

// nextSignal is closed as the machine's processes are given their next signal.
func (m *Machine) nextSignal() <-chan struct{} { return m.nextSignalNote.Load().given }

// noteSignal tells those who wait for a signal. They learn of it before or just
// after the processes do.
func (m *Machine) noteSignal() { close(m.nextSignalNote.Swap(newSignal()).given) }

// isListening reports whether a process listens: one whose runtime has not begun yet ends of
// a SIGHUP, whatever the program does.
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

// sendSignal gives the machine's processes a signal, whatever they are doing.
func (m *Machine) sendSignal(sig syscall.Signal) {
	m.noteSignal()
	for _, p := range m.Processes {
		if sig != syscall.SIGHUP || m.isListening(p) {
			p.Signal(sig)
		}
	}
}
