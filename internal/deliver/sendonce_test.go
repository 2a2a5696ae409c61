package deliver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/web"
)

// rawWorker is a bare TCP server. It answers the first request; for later ones it calls onLaterRequest. got has the
// bytes of the later requests.
type rawWorker struct {
	listener        net.Listener
	onLaterRequest  func(conn net.Conn)
	afterFirstReply func(conn net.Conn) // called with the connection after its first reply, if set

	mu      sync.Mutex
	isWarm  bool
	got     []string
	settled chan struct{} // closed once afterFirstReply has returned
	arrived chan struct{} // receives one value for each later request
}

func newRawWorker(onLaterRequest, afterFirstReply func(net.Conn)) *rawWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	w := &rawWorker{listener: listener, onLaterRequest: onLaterRequest, afterFirstReply: afterFirstReply, settled: make(chan struct{}),
		arrived: make(chan struct{}, 9)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *rawWorker) serve(conn net.Conn) {
	defer conn.Close()
	seen := &bytes.Buffer{}
	reader := bufio.NewReaderSize(io.TeeReader(conn, seen), 64<<10)
	for {
		seen.Reset()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.mu.Lock()
		isFirst := !w.isWarm
		w.isWarm = true
		if !isFirst {
			w.got = append(w.got, seen.String())
			w.arrived <- struct{}{}
		}
		w.mu.Unlock()
		if !isFirst && w.onLaterRequest != nil {
			w.onLaterRequest(conn)
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		if isFirst && w.afterFirstReply != nil {
			w.afterFirstReply(conn)
			close(w.settled)
			return
		}
	}
}

func (w *rawWorker) requests() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got
}

func (w *rawWorker) close() { _ = w.listener.Close() }

// withReset makes a later close of the connection a reset.
func withReset(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }

// TestSentOnce checks that the HTTP library never resends a request. It guards against requests without a body, or with
// an Idempotency-Key, that were sent again when their kept connection closed during the exchange.
func TestSentOnce(t *testing.T) {
	bodies := []struct {
		name string
		body func() io.ReadCloser
		size int64
	}{
		{"no body", func() io.ReadCloser { return nil }, 0},
		{"an empty body", func() io.ReadCloser { return http.NoBody }, 0},
		{"a body", func() io.ReadCloser { return io.NopCloser(strings.NewReader("body")) }, 4},
	}
	fields := []http.Header{{}, {"Idempotency-Key": {"k"}}, {"X-Idempotency-Key": {"k"}}}
	hang := make(chan struct{})
	defer close(hang)
	moments := []struct {
		name            string
		moment, unasked func(net.Conn)
		isAnswered      bool
	}{
		{"closes the connection without a reply", func(net.Conn) {}, nil, false},
		{"resets the connection", withReset, nil, false},
		{"does not reply", func(net.Conn) { <-hang }, nil, false},
		{"answers 408 and closes", func(conn net.Conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		}, nil, true},
		{"closed after the previous reply", nil, func(net.Conn) {}, true},
		{"reset after the previous reply", nil, withReset, true},
		{"sent an unsolicited 408 after the previous reply", nil, func(conn net.Conn) {
			_, _ = conn.Write([]byte("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
		}, true},
	}
	for _, m := range moments {
		Convey("To a worker that "+m.name, t, func() {
			for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
				for _, b := range bodies {
					for _, header := range fields {
						w := newRawWorker(m.moment, m.unasked)
						send, client := newSender()
						request := func() *http.Request {
							r, err := http.NewRequest(method, "http://"+w.listener.Addr().String()+"/a?b", nil)
							So(err, ShouldBeNil)
							r.Header = header.Clone()
							r.Header["User-Agent"] = []string{""}
							r.Body, r.ContentLength = b.body(), b.size
							return r
						}
						ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
						_, err := send(request().WithContext(ctx))
						cancel()
						So(err, ShouldBeNil)
						if m.unasked != nil {
							<-w.settled
							settle(client)
						}
						ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
						if m.name == "does not reply" { // cancelled only once the request has arrived
							go func() { <-w.arrived; cancel() }()
						}
						code, err := send(request().WithContext(ctx))
						cancel()
						if got := w.requests(); len(got) != 1 {
							So(method+" with "+b.name, ShouldEqual, "sent once, not as "+strings.Join(got, " and "))
						}
						if m.isAnswered && m.unasked == nil {
							So(code, ShouldEqual, 408)
						}
						if m.unasked != nil {
							So(code, ShouldEqual, 200)
						}
						So(err == nil, ShouldEqual, m.isAnswered)
						w.close()
					}
				}
			}
		})
	}
}

// newSender returns a function that sends requests as runs are sent, and its client.
func newSender() (send func(r *http.Request) (code int, err error), client *web.Client) {
	client = newClient(timing.Default)
	return func(r *http.Request) (int, error) {
		reply, err := client.Send(r, web.SendOptions{MaxBodyBytes: maxAnswerBytes, CanReuse: web.AlwaysReuse})
		if err != nil {
			return 0, err
		}
		return reply.StatusCode, nil
	}, client
}

// settle waits until the client has noticed what arrived on its kept connections.
func settle(client *web.Client) {
	for until := time.Now().Add(time.Minute); client.IdleCount() > 0 && time.Now().Before(until); {
		runtime.Gosched()
	}
}
