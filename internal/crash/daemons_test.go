package crash_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/fleet"
)

// fatalSignals are the signals on which the runtime ends a process with a message.
var fatalSignals = map[string]syscall.Signal{"SIGQUIT": syscall.SIGQUIT, "SIGILL": syscall.SIGILL, "SIGTRAP": syscall.SIGTRAP,
	"SIGABRT": syscall.SIGABRT, "SIGBUS": syscall.SIGBUS, "SIGFPE": syscall.SIGFPE, "SIGSEGV": syscall.SIGSEGV,
	"SIGSYS": syscall.SIGSYS, "SIGSTKFLT": syscall.SIGSTKFLT}

// How a process ends: after a signal on which the runtime ends it, and after one that asks it to stop.
const (
	afterFatalSignal = "exit status 2"
	afterStop        = "exit status 0"
)

// process is a running daemon whose log is read line by line.
type process struct {
	http string
	cmd  *exec.Cmd
	log  *bufio.Scanner
}

// startProcess starts a program and returns once it serves.
func startProcess(ctx context.Context, bin, kind string, args ...string) *process {
	listen, err := fleet.FreePort()
	So(err, ShouldBeNil)
	web, err := fleet.FreePort()
	So(err, ShouldBeNil)
	args = append([]string{"--name=" + kind, "--cell=a", "--bound=1s", "--listen=" + listen, "--http=" + web}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(bin, kind), args...)
	stderr, err := cmd.StderrPipe()
	So(err, ShouldBeNil)
	So(cmd.Start(), ShouldBeNil)
	p := &process{http: web, cmd: cmd, log: bufio.NewScanner(stderr)}
	p.readUntil("runs, daemons at")
	return p
}

// readUntil returns the lines of the log up to the first that contains text.
func (p *process) readUntil(text string) string {
	read := ""
	for p.log.Scan() {
		read += p.log.Text() + "\n"
		if strings.Contains(p.log.Text(), text) {
			return read
		}
	}
	So(read, ShouldContainSubstring, text)
	return read
}

// stopWith sends a signal and returns how the process ended: its exit status, or the signal that ended it.
func (p *process) stopWith(sig syscall.Signal) string {
	So(p.cmd.Process.Signal(sig), ShouldBeNil)
	for p.log.Scan() { // to the end of the log, which is the end of the process
	}
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.String()
}

// metrics returns the daemon's metrics page.
func (p *process) metrics() string {
	answer, err := http.Get("http://" + p.http + "/metrics")
	So(err, ShouldBeNil)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	So(err, ShouldBeNil)
	return string(text)
}

// TestDaemonsThatCrash guards against crashes of daemons whose cause is lost: it is only in the first lines
// that the runtime prints, which were not kept.
func TestDaemonsThatCrash(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	Convey("The cause of a daemon's crash is recorded", t, func() {
		So(fleet.Build(ctx, "../..", bin, false), ShouldBeNil)
		Convey("by the next process, for each fatal signal", func() {
			file := filepath.Join(dir, "core", "crash.txt")
			p := startProcess(ctx, bin, "manager", "--crash_file="+file)
			So(p.metrics(), ShouldNotContainSubstring, "previous_end")
			for name, sig := range fatalSignals {
				So(fmt.Sprint(name, " ", p.stopWith(sig)), ShouldEqual, name+" "+afterFatalSignal)
				p = startProcess(ctx, bin, "manager", "--crash_file="+file)
				So(p.metrics(), ShouldContainSubstring, `caperwheel_previous_end{cause="`+name+`"} 1`)
				kept, err := os.ReadFile(file + ".1")
				So(err, ShouldBeNil)
				So(string(kept), ShouldStartWith, name+": ")
			}
			So(p.stopWith(syscall.SIGKILL), ShouldEqual, "signal: killed")
			p = startProcess(ctx, bin, "manager", "--crash_file="+file)
			So(p.metrics(), ShouldContainSubstring, `caperwheel_previous_end{cause="silent"} 1`)
			So(p.stopWith(syscall.SIGTERM), ShouldEqual, afterStop)
			p = startProcess(ctx, bin, "manager", "--crash_file="+file)
			So(p.metrics(), ShouldNotContainSubstring, "previous_end")
			So(p.stopWith(syscall.SIGTERM), ShouldEqual, afterStop)
		})
		Convey("by a store's next process, in its data folder", func() {
			args := []string{"--seeds=127.0.0.1:9", "--data=" + filepath.Join(dir, "store"), "--reserve=1"}
			So(startProcess(ctx, bin, "store", args...).stopWith(syscall.SIGILL), ShouldEqual, afterFatalSignal)
			p := startProcess(ctx, bin, "store", args...)
			So(p.metrics(), ShouldContainSubstring, `caperwheel_previous_end{cause="SIGILL"} 1`)
			So(p.stopWith(syscall.SIGTERM), ShouldEqual, afterStop)
		})
		Convey("by another process of the machine, for one without a disk", func() {
			ofAgent, err := fleet.FreePort()
			So(err, ShouldBeNil)
			ofAdapter, err := fleet.FreePort()
			So(err, ShouldBeNil)
			agentArgs := []string{"--seeds=127.0.0.1:9", "--crash_listen=" + ofAgent, "--crash_peer=" + ofAdapter, "--verbosity=1"}
			adapterArgs := []string{"--seeds=127.0.0.1:9", "--crash_listen=" + ofAdapter, "--crash_peer=" + ofAgent, "--verbosity=1"}
			agent := startProcess(ctx, bin, "agent", agentArgs...)
			adapter := startProcess(ctx, bin, "adapter", adapterArgs...)
			agent.readUntil("adapter on this machine has connected")
			So(adapter.stopWith(syscall.SIGSEGV), ShouldEqual, afterFatalSignal)
			So(agent.readUntil("adapter on this machine ended"), ShouldContainSubstring, "by SIGSEGV: SIGSEGV: segmentation violation")
			So(agent.metrics(), ShouldContainSubstring, `caperwheel_neighbour_ends_total{cause="SIGSEGV",name="adapter"} 1`)
			adapter = startProcess(ctx, bin, "adapter", adapterArgs...)
			agent.readUntil("adapter on this machine has connected")
			adapter.readUntil("agent on this machine has connected")
			So(agent.stopWith(syscall.SIGBUS), ShouldEqual, afterFatalSignal)
			So(adapter.readUntil("agent on this machine ended"), ShouldContainSubstring, "by SIGBUS")
			agent = startProcess(ctx, bin, "agent", agentArgs...)
			agent.readUntil("adapter on this machine has connected")
			So(adapter.stopWith(syscall.SIGTERM), ShouldEqual, afterStop)
			So(agent.metrics(), ShouldNotContainSubstring, "neighbour_ends_total{")
			So(agent.stopWith(syscall.SIGTERM), ShouldEqual, afterStop)
		})
	})
}
