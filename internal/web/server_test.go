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

// testServer is a running server and one connection of a caller.
type testServer struct {
	*Server
	conn    net.Conn
	answers *bufio.Reader
	ended   chan error // what Serve returned
}

// serve starts a server with a handler and connects to it.
func serve(handler http.HandlerFunc) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &testServer{Server: NewServer(ServerOptions{Listener: listener, Handler: handler, FinalReadTimeout: 10 * time.Millisecond}),
		ended: make(chan error, 1)}
	go func() { s.ended <- s.Serve() }()
	s.dial()
	return s
}

// dial replaces the connection by a new one.
func (s *testServer) dial() {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	So(err, ShouldBeNil)
	So(conn.SetDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
	Reset(func() { _ = conn.Close() })
	s.conn, s.answers = conn, bufio.NewReader(conn)
}

// write sends bytes on the connection.
func (s *testServer) write(text string) {
	_, err := io.WriteString(s.conn, text)
	So(err, ShouldBeNil)
}

// readAnswer returns the body of the next reply, and whether the connection is closed after it.
func (s *testServer) readAnswer() (text string, isLast bool) {
	reply, err := http.ReadResponse(s.answers, nil)
	So(err, ShouldBeNil)
	raw, err := io.ReadAll(reply.Body)
	So(err, ShouldBeNil)
	return string(raw), reply.Close
}

// stopIn stops the server within span, and returns the errors of Stop and Serve.
func (s *testServer) stopIn(span time.Duration) (stopped, served error) {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	return s.Stop(ctx), <-s.ended
}

// helloRequest is a request with the body "hello".
const helloRequest = "POST / HTTP/1.1\r\nHost: x.example\r\nContent-Length: 5\r\n\r\nhello"

// TestServerStops guards against requests on open connections that are dropped or left without a reply as a
// server stops.
func TestServerStops(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	Convey("As a server stops", t, func() {
		Convey("an idle connection is closed after its final read, and no new one is accepted", func() {
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
		Convey("a request that was sent before is answered, on a used connection and on a new one", func() {
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
				text, _ := s.readAnswer() // the reply may have been sent before Stop
				So(text, ShouldEqual, "hello")
				_, err := s.answers.ReadByte()
				So(err, ShouldEqual, io.EOF)
			}
		})
		Convey("replies that begin after StartDraining announce the close, whenever their request came", func() {
			begun, proceed := make(chan struct{}), make(chan struct{})
			s := serve(func(w http.ResponseWriter, r *http.Request) {
				close(begun)
				<-proceed
				if r.ContentLength > 0 {
					_, _ = io.Copy(w, r.Body)
				}
			})
			s.write(helloRequest)
			<-begun
			s.StartDraining()
			close(proceed)
			_, isLast := s.readAnswer()
			So(isLast, ShouldBeTrue)
			stopped, _ := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
		})
		Convey("so does a reply without a body or an explicit status", func() {
			s := serve(func(http.ResponseWriter, *http.Request) {})
			s.StartDraining()
			s.write(helloRequest)
			_, isLast := s.readAnswer()
			So(isLast, ShouldBeTrue)
			stopped, _ := s.stopIn(time.Minute)
			So(stopped, ShouldBeNil)
		})
		Convey("a body that arrives in pieces is waited for, also after 100 Continue", func() {
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
				for s.isAcceptingNow() { // accepting ends with the final read of a connection that waits
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
		Convey("CancelRequests ends the context of a request that waits, so that it is answered", func() {
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
		Convey("a caller that never completes a request is cut off when the time is over, and Stop returns an error", func() {
			s := serve(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.ReadAll(r.Body) })
			s.write(helloRequest[:len(helloRequest)-1])
			stopped, served := s.stopIn(50 * time.Millisecond)
			So(errs.Is(stopped, errs.DeadlineExceeded), ShouldBeTrue)
			So(served, ShouldBeNil)
		})
	})
}

// isAcceptingNow reports whether the server still accepts connections.
func (s *testServer) isAcceptingNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAccepting
}
