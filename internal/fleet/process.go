package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"caperwheel/internal/errs"
)

// Process is one daemon of the fleet. It can be started again after it has ended.
type Process struct {
	Kind, Name, Zone string
	Addr, Http       string
	settingsFile     string   // path of its settings
	env              []string // additional environment variables
	args             []string // arguments; nil for --settings with the settings file
	binDir, log      string   // folder of the program, and path of the log file

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// NewProcess returns a daemon that takes its settings from file or, if that is empty, from the environment variables in
// env. It does not start the daemon.
func NewProcess(kind, name, zone, bin, log, file string, env ...string) *Process {
	return &Process{Kind: kind, Name: name, Zone: zone, binDir: bin, log: log, settingsFile: file, env: env}
}

// ports holds the ports that FreePort has returned.
var ports struct {
	sync.Mutex
	given map[int]bool // by port
}

// FreePort returns a local address whose port is free and was not returned before. The port is below the range of
// ephemeral ports, so that no outgoing connection takes it before its daemon listens.
func FreePort() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.given == nil {
		ports.given = map[int]bool{}
	}
	for range 1000 {
		port := 12000 + rand.IntN(20000)
		if ports.given[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			ports.given[port] = true
			return addr, nil
		}
	}
	return "", errs.New(errs.Internal, "found no free port in 1000 attempts")
}

// Build compiles the programs of the product from the sources in root into the folder bin.
func Build(ctx context.Context, root, bin string, isRace bool) error {
	args := []string{"build", "-o", bin + "/"}
	if isRace {
		args = append(args, "-race")
	}
	for _, name := range []string{"adapter", "agent", "store", "manager", "caperwheel"} {
		args = append(args, "./cmd/"+name)
	}
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return errs.Wrap(err, errs.Internal, "go build: %s", out)
}

// Start starts the process, also again after it has ended. It does nothing if the process is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isUp() {
		return nil // the end of another fault has started it
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "open log file of %s", p.Name)
	}
	defer log.Close()
	args := p.args
	if args == nil && p.settingsFile != "" {
		args = []string{"--settings", p.settingsFile}
	}
	cmd := exec.Command(filepath.Join(p.binDir, p.Kind), args...)
	if len(p.env) > 0 {
		cmd.Env = append(os.Environ(), p.env...)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errs.Wrap(err, errs.Internal, "start %s", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// ExitStatus describes how the last process ended; empty while it runs or if it never ran.
func (p *Process) ExitStatus() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.isUp() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// Pid returns the process id, 0 if the process is not running.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isUp() {
		return 0
	}
	return p.cmd.Process.Pid
}

// NewToolProcess returns a process for a program of the fleet tool itself. Its log is among those of the daemons.
func (f *Fleet) NewToolProcess(bin, program, name string, args ...string) *Process {
	return &Process{Kind: program, Name: name, binDir: bin, args: args, log: filepath.Join(f.Dir, "log", name+".log")}
}

// Signal sends a signal to the process, but not to its children.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill kills the process with SIGKILL and waits until it has ended.
func (p *Process) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop terminates the process with SIGTERM and kills it if it has not ended after 20 s.
func (p *Process) Stop() { p.signalAndWait(syscall.SIGTERM) }

// StopWithin terminates the process with SIGTERM and kills it if it has not ended after grace. It reports whether the
// process ended without being killed.
func (p *Process) StopWithin(grace time.Duration) bool { return p.endWithin(syscall.SIGTERM, grace) }

// signalAndWait is endWithin with a grace period of 20 s.
func (p *Process) signalAndWait(sig syscall.Signal) { p.endWithin(sig, 20*time.Second) }

// endWithin sends a signal and waits until the process has ended. After grace it kills the process and returns
// false.
func (p *Process) endWithin(sig syscall.Signal, grace time.Duration) bool {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return true
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-done:
		return true
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-done
		return false
	}
}

// IsUp reports whether the process is running.
func (p *Process) IsUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUp()
}

// isUp is IsUp for callers that hold p.mu.
func (p *Process) isUp() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
