package crash

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// A process without a disk has its crash output recorded by another process of its machine. It opens a
// connection, writes its name in a line, and leaves the connection to the runtime, which prints to it when
// the process dies. A process that exits cleanly writes cleanExitMessage before.

// cleanExitMessage is written by a process that exits cleanly.
const cleanExitMessage = "ends in order\n"

// maxConnections bounds the open connections of a listener.
const maxConnections = 8

// Listener receives the crash output of processes that connect to an address. Its functions are called from
// several goroutines.
type Listener struct {
	OnConnect func(name string)                // a process has connected; its crash would be reported
	OnCrash   func(name string, report Report) // it has ended without a clean exit
}

// Listen accepts connections at an address until ctx ends.
func (l Listener) Listen(ctx context.Context, addr string) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "listen for crash output on %s", addr)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go l.accept(listener)
	return nil
}

// accept reads each connection on a goroutine; connections over maxConnections are closed.
func (l Listener) accept(listener net.Listener) {
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				l.readReport(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// readReport reads a connection to its end and reports the crash, if it was one.
func (l Listener) readReport(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(io.LimitReader(conn, maxOutputBytes))
	name, err := reader.ReadString('\n')
	if err != nil {
		return // no complete name: not a process of this system
	}
	name = printable(strings.TrimSuffix(name, "\n"))
	l.OnConnect(name)
	output, _ := io.ReadAll(reader) // a reset ends the output as a close does
	if string(output) == cleanExitMessage {
		return
	}
	l.OnCrash(name, Parse(output))
}

// Reporter sends the crash output of this process to a Listener at an address.
type Reporter struct {
	Name   string
	Addr   string
	Bounds timing.Bounds
}

// Run keeps a connection to the listener, which may come and go, until ctx ends. Then it reports that this
// process exits cleanly.
func (s Reporter) Run(ctx context.Context) {
	timing.EveryPaced(ctx, func() time.Duration { return s.Bounds.Of(timing.SessionTimeout) }, func() { s.connectOnce(ctx) })
}

// connectOnce connects, and returns when the connection has ended or the attempt has failed.
func (s Reporter) connectOnce(ctx context.Context) {
	dialer := net.Dialer{Timeout: s.Bounds.Of(timing.DialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	if setCrashOutput(conn.(*net.TCPConn)) != nil { // first: a listener that has the name relies on receiving a crash
		return
	}
	if _, err := conn.Write([]byte(s.Name + "\n")); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() {
		_, _ = conn.Write([]byte(cleanExitMessage))
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{})
		conn.Close()
	})
	defer stop()
	_, _ = io.Copy(io.Discard, conn) // the listener sends nothing: this returns when the connection ends
}

// setCrashOutput makes the runtime also print to a connection when it ends the process. The runtime's copy
// of the descriptor shares its blocking mode with conn's, which must stay non-blocking.
func setCrashOutput(conn *net.TCPConn) error {
	file, err := conn.File()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "give the crash connection to the runtime")
	}
	defer file.Close()
	if err := debug.SetCrashOutput(file, debug.CrashOptions{}); err != nil {
		return errs.Wrap(err, errs.Internal, "give the crash connection to the runtime")
	}
	return errs.Wrap(setNonblock(file), errs.Internal, "give the crash connection to the runtime")
}

// setNonblock puts a file's descriptor into non-blocking mode.
func setNonblock(file *os.File) error { return syscall.SetNonblock(int(file.Fd()), true) }
