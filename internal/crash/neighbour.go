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

// A process without a disk has its crash output heard by another one of its machine. It opens a
// connection, says its name in a line, and leaves the connection to the runtime, which prints to it as
// the process dies. A process that ends in order says so before.

// cleanExitMessage is what a process says when it ends in order.
const cleanExitMessage = "ends in order\n"

// maxConnections bounds the connections of a listener.
const maxConnections = 8

// Listener is told of the processes that print to an address. Its functions are called from many
// goroutines.
type Listener struct {
	OnConnect func(name string)                // a process can be heard from now on
	OnCrash   func(name string, report Report) // it has ended, and not in order
}

// Listen hears of processes at an address until ctx ends.
func (l Listener) Listen(ctx context.Context, addr string) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "listen for crashes on %s", addr)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go l.accept(listener)
	return nil
}

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

// readReport reads a connection to its end.
func (l Listener) readReport(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(io.LimitReader(conn, maxOutputBytes))
	name, err := reader.ReadString('\n')
	if err != nil {
		return // it never said who it is: not one of ours
	}
	name = printable(strings.TrimSuffix(name, "\n"))
	l.OnConnect(name)
	output, _ := io.ReadAll(reader) // a reset ends it as well as a close
	if string(output) == cleanExitMessage {
		return
	}
	l.OnCrash(name, Parse(output))
}

// Reporter has the crash output of this process heard at an address.
type Reporter struct {
	Name   string
	Addr   string
	Bounds timing.Bounds
}

// Run keeps a connection to the listener, which may come and go, until ctx ends. Then it says that
// this process ends in order.
func (s Reporter) Run(ctx context.Context) {
	timing.EveryPaced(ctx, func() time.Duration { return s.Bounds.Of(timing.SessionTimeout) }, func() { s.connectOnce(ctx) })
}

// connectOnce connects and returns when the connection has ended, or none was made.
func (s Reporter) connectOnce(ctx context.Context) {
	dialer := net.Dialer{Timeout: s.Bounds.Of(timing.DialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	if setCrashOutput(conn.(*net.TCPConn)) != nil { // first: whoever hears the name counts on hearing a crash
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
	_, _ = io.Copy(io.Discard, conn) // the listener says nothing: this ends with the connection
}

// setCrashOutput has the runtime print to a connection, too, when it ends the process. The
// runtime's copy of the descriptor shares its mode with ours, which must not block.
func setCrashOutput(conn *net.TCPConn) error {
	file, err := conn.File()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "crash connection")
	}
	defer file.Close()
	if err := debug.SetCrashOutput(file, debug.CrashOptions{}); err != nil {
		return errs.Wrap(err, errs.Internal, "crash connection")
	}
	return errs.Wrap(setNonblock(file), errs.Internal, "crash connection")
}

func setNonblock(file *os.File) error { return syscall.SetNonblock(int(file.Fd()), true) }
