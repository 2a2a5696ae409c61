package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// testServer is a server that runs, and what a caller says and hears on one connection.
type testServer struct {
	*Server
	conn    net.Conn
	answers *bufio.Reader
	ended   chan error // what Serve returned
}

func serve(handler http.HandlerFunc) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &testServer{Server: NewServer(ServerOptions{Listener: listener, Handler: handler, FinalReadTimeout: 10 * time.Millisecond}),
		ended: make(chan error, 1)}
	go func() { s.ended <- s.Serve() }()
	s.dial()
	return s
}

func (s *testServer) dial() {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	So(err, ShouldBeNil)
	So(conn.SetDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
	Reset(func() { _ = conn.Close() })
	s.conn, s.answers = conn, bufio.NewReader(conn)
}

func (s *testServer) write(text string) {
	_, err := io.WriteString(s.conn, text)
	So(err, ShouldBeNil)
}

// readAnswer returns the next answer's body, and whether the connection ends after it.
func (s *testServer) readAnswer() (text string, isLast bool) {
	reply, err := http.ReadResponse(s.answers, nil)
	So(err, ShouldBeNil)
	raw, err := io.ReadAll(reply.Body)
	So(err, ShouldBeNil)
	return string(raw), reply.Close
}

// stopIn stops the server within a span, and returns what Stop and Serve did.
func (s *testServer) stopIn(span time.Duration) (stopped, served error) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	return s.Stop(ctx), <-s.ended
}

const helloRequest = "POST / HTTP/1.1\r\nHost: x.example\r\nContent-Length: 5\r\n\r\nhello"

// TestServerStops: what callers on open connections get as a server stops.
func TestServerStops(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	Convey("As a server stops", t, func() {
		Convey("a connection that waits is ended after its last look, and no new one is taken", func() {
			s := serve(echo)
			s.write(helloRequest)
			text, isLast := s.readAnswer()
			So(text, ShouldEqual, "hello")
			So(isLast, ShouldBeFalse)
			stopped, served := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
			So(served, ShouldBeNil)
			_, err := s.answers.ReadByte()
			So(err, ShouldEqual, io.EOF)
			_, err = net.Dial("tcp", s.listener.Addr().String())
			So(err, ShouldNotBeNil)
		})
		Convey("a request that was sent before is answered, on a connection that was used and on a new one", func() {
			for _, isUsed := range []bool{true, false} {
				s := serve(echo)
				if isUsed {
					s.write(helloRequest)
					s.readAnswer()
				}
				s.write(helloRequest)
				stopped, served := s.stopIn(time.Minute)
				So(stopped, ShouldBeNil)
				So(served, ShouldBeNil)
				text, _ := s.readAnswer() // it may have been answered before Stop
				So(text, ShouldEqual, "hello")
				_, err := s.answers.ReadByte()
				So(err, ShouldEqual, io.EOF)
			}
		})
		Convey("answers that begin after Leave say that they are the last, whenever their request came", func() {
			begun, goOn := make(chan struct{}), make(chan struct{})
			s := serve(func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				<-goOn
				if r.ContentLength > 0 {
					_, _ = io.Copy(w, r.Body)
				}
			})
			s.write(helloRequest)
			<-begun
			s.StartDraining()
			close(goOn)
			_, isLast := s.readAnswer()
			So(isLast, ShouldBeTrue)
			stopped, _ := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
		})
		Convey("an answer without a body or a status of its own is the last, too", func() {
			s := serve(func(http.ResponseWriter, *http.Request) {})
			s.StartDraining()
			s.write(helloRequest)
			_, isLast := s.readAnswer()
			So(isLast, ShouldBeTrue)
			stopped, _ := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
		})
		Convey("a body that comes in pieces is waited for, also after a word to go on", func() {
			for _, expects := range []string{"", "Expect: 100-continue\r\n"} {
				read := make(chan struct{})
				s := serve(func(w http.ResponseWriter, r *http.Request) {
					first := make([]byte, 2)
					_, err := io.ReadFull(r.Body, first)
					close(read)
					rest, more := io.ReadAll(r.Body)
					if err == nil && more == nil {
						_, _ = w.Write(append(first, rest...))
					}
				})
				s.write(strings.Replace(helloRequest, "Content-Length", expects+"Content-Length", 1)[:len(helloRequest)+len(expects)-3])
				<-read
				done := make(chan error, 1)
				go func() { done <- s.Stop(context.Background()) }()
				for s.isAcceptingNow() { // the last look of a connection that waits ends with it
					_, _ = s.conn.Write(nil)
				}
				s.write("llo")
				if expects != "" {
					line, err := s.answers.ReadString('\n')
					So(err, ShouldBeNil)
					So(line, ShouldStartWith, "HTTP/1.1 100")
					_, err = s.answers.ReadString('\n')
					So(err, ShouldBeNil)
				}
				text, isLast := s.readAnswer()
				So(text, ShouldEqual, "hello")
				So(isLast, ShouldBeTrue)
				So(<-done, ShouldBeNil)
			}
		})
		Convey("a request that waits for something is answered with what is known once the time is nearly over", func() {
			begun := make(chan struct{})
			s := serve(func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				<-r.Context().Done()
				_, _ = io.WriteString(w, context.Cause(r.Context()).Error())
			})
			s.write(helloRequest)
			<-begun
			s.CancelRequests()
			text, _ := s.readAnswer()
			So(text, ShouldEqual, ErrStopping.Error())
			stopped, _ := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
		})
		Convey("who never ends a request is cut off when the time is over, and it is told", func() {
			s := serve(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
			s.write(helloRequest[:len(helloRequest)-1])
			stopped, served := s.stopIn(50 * time.Millisecond)
			So(errs.Is(stopped, errs.DeadlineExceeded), ShouldBeTrue)
			So(served, ShouldBeNil)
		})
	})
}

func (s *testServer) isAcceptingNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAccepting
}
