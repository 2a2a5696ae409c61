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

// Process is one daemon of the fleet.
type Process struct {
	Kind, Name, Zone string
	Addr, Http       string
	settingsFile     string   // its settings
	env              []string // what it is told besides
	args             []string // if it takes others than a settings file
	binDir, log      string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// NewProcess lays out a daemon that takes its settings from file, or, without
// one, from what env names.
func NewProcess(kind, name, zone, bin, log, file string, env ...string) *Process {
	return &Process{Kind: kind, Name: name, Zone: zone, binDir: bin, log: log, settingsFile: file, env: env}
}

var ports struct {
	sync.Mutex
	given map[int]bool
}

// FreePort returns an address that is free and was not given before. It lies
// below the range that the system draws outgoing ports from, so that no
// connection takes it before its daemon listens.
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
	return "", errs.New(errs.Internal, "no free port")
}

// Build compiles the product's programs into a folder, from their sources.
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

// Start begins the process, again if it has ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isUp() {
		return nil // another fault's end has started it
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "log of %s", p.Name)
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

// ExitStatus tells how the process that ran last has ended; empty while it runs.
func (p *Process) ExitStatus() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.isUp() {
		return ""
	}
	return p.cmd.ProcessState.String()
}

// Pid is the number of the process while it runs.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isUp() {
		return 0
	}
	return p.cmd.Process.Pid
}

// NewToolProcess lays a process of the fleet tool's own beside the daemons.
func (f *Fleet) NewToolProcess(bin, program, name string, args ...string) *Process {
	return &Process{Kind: program, Name: name, binDir: bin, args: args, log: filepath.Join(f.Dir, "log", name+".log")}
}

// Signal sends a signal to this process alone.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop asks the process to leave and waits, up to a bound.
func (p *Process) Stop() { p.signalAndWait(syscall.SIGTERM) }

// StopWithin asks the process to leave and ends it after a time of grace; true
// if it went by itself.
func (p *Process) StopWithin(grace time.Duration) bool { return p.endWithin(syscall.SIGTERM, grace) }

func (p *Process) signalAndWait(sig syscall.Signal) { p.endWithin(sig, 20*time.Second) }

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

// IsUp reports whether the process runs.
func (p *Process) IsUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUp()
}

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
