package web

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// rawServer accepts on a bare listener; serve gets each connection with its number, from 1 on, and a reader
// of it.
func rawServer(serve func(number int64, conn net.Conn, r *bufio.Reader)) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { _ = listener.Close() })
	accepted = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := accepted.Add(1)
			go func() {
				defer conn.Close()
				serve(number, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// testClient returns a client with timeouts that do not expire during a test.
func testClient() *Client {
	return NewClient(ClientOptions{DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdlePerAddress: 8})
}

// waitIdleCount waits until the client has the given number of idle connections.
func waitIdleCount(c *Client, kept int) {
	for until := time.Now().Add(time.Minute); c.IdleCount() != kept && time.Now().Before(until); {
		runtime.Gosched()
	}
	So(c.IdleCount(), ShouldEqual, kept)
}

// TestBytesAsTheyWere guards against changes of the bytes on the wire by the measures that keep a request
// from being resent.
func TestBytesAsTheyWere(t *testing.T) {
	cases := []struct {
		method, body, want string
		isNoBody           bool
	}{
		{"GET", "", "GET /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\n\r\n", false},
		{"GET", "", "GET /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\n\r\n", true},
		{"HEAD", "", "HEAD /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\n\r\n", true},
		{"DELETE", "", "DELETE /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\n\r\n", true},
		{"POST", "", "POST /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n", false},
		{"POST", "", "POST /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n", true},
		{"PUT", "", "PUT /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 0\r\n\r\n", true},
		{"POST", "body", "POST /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 4\r\n\r\nbody", false},
		{"GET", "body", "GET /a%2Fb?c HTTP/1.1\r\nHost: x.example\r\nContent-Length: 4\r\n\r\nbody", false},
	}
	Convey("A request is sent byte for byte as it is", t, func() {
		for _, c := range cases {
			Convey(c.method+" "+c.body+map[bool]string{true: "NoBody"}[c.isNoBody], func() {
				got := make(chan string, 1)
				address, _ := rawServer(func(_ int64, conn net.Conn, _ *bufio.Reader) {
					seen := &bytes.Buffer{}
					r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, seen)))
					if err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
					got <- seen.String()
				})
				r, err := http.NewRequest(c.method, "http://"+address+"/a%2Fb?c", strings.NewReader(c.body))
				So(err, ShouldBeNil)
				r.Host, r.Header["User-Agent"] = "x.example", []string{""}
				if c.body == "" {
					r.Body, r.GetBody = nil, nil
				}
				if c.isNoBody {
					r.Body = http.NoBody
				}
				_, err = testClient().Send(r, SendOptions{MaxBodyBytes: 100, CanReuse: nil})
				So(err, ShouldBeNil)
				So(<-got, ShouldEqual, c.want)
			})
		}
	})
}

// TestUsedAgain guards against leftover or unsolicited bytes on a connection that are taken for the reply
// to the next request. Its cases say when a connection is reused.
func TestUsedAgain(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	cases := []struct {
		name, first, later string // the reply to the first request, and the bytes that arrive after it was read
		isClosed           bool
		mayKeep            func(*Reply) bool
		isUsedAgain        bool
	}{
		{"answered", whole + "own", "", false, AlwaysReuse, true},
		{"answered in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", "", false, AlwaysReuse, true},
		{"answered without a body", "HTTP/1.1 204 No Content\r\n\r\n", "", false, AlwaysReuse, true},
		{"answered, when CanReuse forbids it", whole + "own", "", false, func(*Reply) bool { return false }, false},
		{"answered, when CanReuse is nil", whole + "own", "", false, nil, false},
		{"sent an extra byte", whole + "own.", "", false, AlwaysReuse, false},
		{"answered twice at once", whole + "own" + whole + "old", "", false, AlwaysReuse, false},
		{"sent an extra half of a head", whole + "ownHTTP/1.1 2", "", false, AlwaysReuse, false},
		{"sent extra bytes after its chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n", "", false, AlwaysReuse, false},
		{"answered a second time later", whole + "own", whole + "old", false, AlwaysReuse, false},
		{"sent half a head later", whole + "own", "HTTP/1.1 2", false, AlwaysReuse, false},
		{"sent 408 later", whole + "own", "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", true, AlwaysReuse, false},
		{"closed later", whole + "own", "", true, AlwaysReuse, false},
		{"says that it closes", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nown", "", false, AlwaysReuse, false},
	}
	Convey("A connection on which the worker", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				isRead := make(chan struct{})
				address, accepted := rawServer(func(number int64, conn net.Conn, reader *bufio.Reader) {
					for turn := 1; ; turn++ {
						r, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, r.Body)
						if number > 1 || turn > 1 {
							_, _ = conn.Write([]byte(whole + "new"))
							continue
						}
						_, _ = conn.Write([]byte(c.first))
						if c.later != "" || c.isClosed {
							<-isRead
							_, _ = conn.Write([]byte(c.later))
						}
						if c.isClosed {
							return
						}
					}
				})
				client := testClient()
				send := func() string {
					r, err := http.NewRequest("POST", "http://"+address+"/", strings.NewReader("body"))
					So(err, ShouldBeNil)
					reply, err := client.Send(r, SendOptions{MaxBodyBytes: 100, CanReuse: c.mayKeep})
					So(err, ShouldBeNil)
					return string(reply.Bytes)
				}
				So(send(), ShouldBeIn, "own", "")
				close(isRead)
				waitIdleCount(client, map[bool]int{true: 1}[c.isUsedAgain])
				So(send(), ShouldEqual, "new")
				So(accepted.Load() == 1, ShouldEqual, c.isUsedAgain)
			})
		}
	})
	Convey("A reply that arrives before its request was written is an error", t, func() {
		ours, theirs := net.Pipe() // a write returns when it was read
		client := testClient()
		client.transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn := ctx.Value(connectionKey{}).(*connection)
			conn.Conn = ours
			return conn, nil
		}
		once := sync.Once{}
		trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { // the field is still in a buffer
			once.Do(func() {
				_, _ = theirs.Write([]byte(whole))
				_, _ = theirs.Write([]byte("old"))
				go func() { _, _ = io.Copy(io.Discard, theirs) }()
			})
		}}
		r, err := http.NewRequest("POST", "http://x.example/", strings.NewReader("body"))
		So(err, ShouldBeNil)
		_, err = client.Send(r.WithContext(httptrace.WithClientTrace(context.Background(), trace)), SendOptions{MaxBodyBytes: 100, CanReuse: AlwaysReuse})
		So(err, ShouldNotBeNil)
	})
}
