package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
)

// gate holds back the read that receives a connection's second request: the process has the bytes, but the
// server does not know of them yet.
type gate struct {
	isIdle, hasRead, open chan struct{} // each closed once
	idle, read, opening   sync.Once
	isEnding              chan struct{} // closed before the server closes its connections
	opensWhenTouched      bool          // by a close or a deadline from outside the server's reading goroutine
}

// newGate returns a gate that holds reads back.
func newGate() *gate {
	return &gate{isIdle: make(chan struct{}), hasRead: make(chan struct{}), open: make(chan struct{}), isEnding: make(chan struct{})}
}

// release lets the read return.
func (g *gate) release() { g.opening.Do(func() { close(g.open) }) }

// noteTouch opens the gate, if so configured, once the server closes its connections.
func (g *gate) noteTouch() {
	select {
	case <-g.isEnding:
		if g.opensWhenTouched {
			g.release()
		}
	default:
	}
}

// gatedListener applies a gate to its connections.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: l.gate}, nil
}

// gatedConn is a connection whose reads go through a gate.
type gatedConn struct {
	net.Conn
	gate *gate

	mu         sync.Mutex
	isAnswered bool
}

// Read holds back bytes that arrive once the server waits for the next request.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.gate.isIdle:
		if n > 0 {
			c.gate.read.Do(func() { close(c.gate.hasRead) })
			<-c.gate.open
		}
	default:
	}
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.isAnswered = true
	c.mu.Unlock()
	return n, err
}

// SetReadDeadline detects that the server waits for the next request.
func (c *gatedConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	isWaiting := c.isAnswered && at.After(time.Now())
	c.mu.Unlock()
	err := c.Conn.SetReadDeadline(at)
	if isWaiting {
		c.gate.idle.Do(func() { close(c.gate.isIdle) })
	}
	c.gate.noteTouch()
	return err
}

func (c *gatedConn) Close() error {
	err := c.Conn.Close()
	c.gate.noteTouch()
	return err
}

// startDaemon returns a daemon with one listener, and a caller's connection that waits there after a first
// request.
func startDaemon(g *gate) (d *Daemon, servers []*web.Server, caller net.Conn, answers *bufio.Reader) {
	s := settings.Default()
	s.Grace, s.Linger = settings.Duration{Duration: time.Minute}, settings.Duration{Duration: time.Millisecond}
	d = &Daemon{Kind: "adapter", Settings: s, Bounds: timing.Default, Mux: http.NewServeMux(), FrontMux: http.NewServeMux(),
		ProbeMux: http.NewServeMux(), OperatorsMux: http.NewServeMux(), Ready: func() (bool, string) { return true, "" }}
	d.Front = gatedListener{d.listen("127.0.0.1:0"), g}
	d.FrontMux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, "taken "+string(raw))
	})
	servers = d.startServers()
	caller, err := net.Dial("tcp", d.Front.Addr().String())
	So(err, ShouldBeNil)
	Reset(func() { _ = caller.Close() })
	So(caller.SetDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
	answers = bufio.NewReader(caller)
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: x.example\r\nContent-Length: 5\r\n\r\nfirst")
	So(err, ShouldBeNil)
	So(readAnswer(answers), ShouldEqual, "taken first")
	<-g.isIdle
	return d, servers, caller, answers
}

// readAnswer returns the body of the next reply, or the error in its place.
func readAnswer(answers *bufio.Reader) string {
	reply, err := http.ReadResponse(answers, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	raw, err := io.ReadAll(reply.Body)
	if err != nil {
		return "no whole answer: " + err.Error()
	}
	return string(raw)
}

// TestReadAsItStops guards against a request that the process has read and does not answer, at whatever
// moment of a shutdown.
func TestReadAsItStops(t *testing.T) {
	const head, body = "POST / HTTP/1.1\r\nHost: x.example\r\nContent-Length: 6\r\n", "\r\nsecond"
	Convey("A request on an open connection", t, func() {
		Convey("that was read completely when the shutdown begins is answered", func() {
			g := newGate()
			d, servers, caller, answers := startDaemon(g)
			_, err := io.WriteString(caller, head+body)
			So(err, ShouldBeNil)
			<-g.hasRead
			answer := ""
			d.shutdown(servers, func(context.Context) {
				g.release()
				answer = readAnswer(answers)
			})
			So(answer, ShouldEqual, "taken second")
		})
		Convey("whose head was read in part when the shutdown begins is answered", func() {
			g := newGate()
			g.release()
			d, servers, caller, answers := startDaemon(g)
			_, err := io.WriteString(caller, head)
			So(err, ShouldBeNil)
			<-g.hasRead
			answer := ""
			d.shutdown(servers, func(context.Context) {
				if _, err := io.WriteString(caller, body); err != nil {
					answer = err.Error()
					return
				}
				answer = readAnswer(answers)
			})
			So(answer, ShouldEqual, "taken second")
		})
		Convey("that was read completely when open connections are closed is answered", func() {
			g := newGate()
			g.opensWhenTouched = true
			d, servers, caller, answers := startDaemon(g)
			_, err := io.WriteString(caller, head+body)
			So(err, ShouldBeNil)
			<-g.hasRead
			answer := make(chan string, 1)
			d.shutdown(servers, func(context.Context) {
				close(g.isEnding)
				go func() { answer <- readAnswer(answers) }()
			})
			So(<-answer, ShouldEqual, "taken second")
		})
	})
}
