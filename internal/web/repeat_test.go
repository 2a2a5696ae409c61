package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// TestRepeatable guards against resending a request that was not declared repeatable.
func TestRepeatable(t *testing.T) {
	Convey("When a reused connection closes during a call", t, func() {
		calls := &atomic.Int64{}
		address, _ := rawServer(func(number int64, conn net.Conn, reader *bufio.Reader) {
			for turn := 1; ; turn++ {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if calls.Add(1); turn > 1 {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		client := testClient()
		call := func(send func(*http.Request, SendOptions) (*Reply, error)) error {
			r, err := http.NewRequest("POST", "http://"+address+"/", strings.NewReader("body"))
			So(err, ShouldBeNil)
			_, err = send(r, SendOptions{MaxBodyBytes: 100, CanReuse: AlwaysReuse})
			return err
		}
		So(call(client.Send), ShouldBeNil)
		waitIdleCount(client, 1)
		Convey("the call fails if it is not repeatable", func() {
			err := call(client.Send)
			So(errs.Is(err, errs.Lost), ShouldBeTrue)
			So(IsUnsent(err), ShouldBeFalse)
			So(calls.Load(), ShouldEqual, 2)
		})
		Convey("the call is sent once more if it is repeatable", func() {
			So(call(client.SendRepeatable), ShouldBeNil)
			So(calls.Load(), ShouldEqual, 3)
		})
	})
	Convey("A call without a connection was not sent", t, func() {
		r, err := http.NewRequest("POST", "http://127.0.0.1:1/", nil)
		So(err, ShouldBeNil)
		_, err = testClient().Send(r, SendOptions{MaxBodyBytes: 100, CanReuse: nil})
		So(IsUnsent(err), ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = testClient().Send(r.WithContext(ctx), SendOptions{MaxBodyBytes: 100, CanReuse: nil})
		So(IsUnsent(err), ShouldBeTrue)
	})
}

// TestBefore guards against sending a request that BeforeSend rejects after its connection was dialed.
func TestBefore(t *testing.T) {
	Convey("When a connection is dialed for a call", t, func() {
		arrived := &atomic.Int64{}
		address, accepted := rawServer(func(_ int64, conn net.Conn, reader *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				arrived.Add(1)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		client, checks := testClient(), 0
		send := func(cause error) error {
			r, err := http.NewRequest("GET", "http://"+address+"/", nil)
			So(err, ShouldBeNil)
			_, err = client.Send(r, SendOptions{CanReuse: AlwaysReuse, BeforeSend: func() error { checks++; return cause }})
			return err
		}
		Convey("and BeforeSend rejects the call, nothing is sent", func() {
			err := send(errs.New(errs.Stale, "the view is too old"))
			So(IsUnsent(err), ShouldBeTrue)
			So(errs.Is(err, errs.Stale), ShouldBeTrue)
			So(send(nil), ShouldBeNil)
			So(arrived.Load(), ShouldEqual, 1)
			So(accepted.Load(), ShouldEqual, 2)
		})
		Convey("and BeforeSend accepts the call, it is sent, and the next one on the same connection without a check", func() {
			So(send(nil), ShouldBeNil)
			So(send(nil), ShouldBeNil)
			So(arrived.Load(), ShouldEqual, 2)
			So(checks, ShouldEqual, 1)
		})
	})
}

// TestOneWayOut guards against a daemon with an HTTP client of its own, with which net/http sent runs
// twice. The test tools and the operators' command line may use others.
func TestOneWayOut(t *testing.T) {
	forbidden := regexp.MustCompile(`http\.(Transport\{|Client\{|DefaultClient|DefaultTransport|Get\(|Post\(|PostForm\(|Head\()|resty\.New|httputil\.(NewSingleHost)?ReverseProxy`)
	allowed := regexp.MustCompile(`^(internal/(fleet|standin|scale|sim|check|cli)/|internal/web/client\.go$)`)
	Convey("No daemon sends HTTP requests other than through Client", t, func() {
		root := filepath.Join("..", "..")
		seen := 0
		for _, folder := range []string{"internal", "platform", "cmd"} {
			So(filepath.WalkDir(filepath.Join(root, folder), func(path string, entry os.DirEntry, err error) error {
				name, _ := filepath.Rel(root, path)
				if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || allowed.MatchString(name) {
					return err
				}
				seen++
				text, err := os.ReadFile(path)
				So(name+": "+string(forbidden.Find(text)), ShouldEqual, name+": ")
				return err
			}), ShouldBeNil)
		}
		So(seen, ShouldBeGreaterThan, 100)
	})
}

// TestOverTls guards against reusing a connection over TLS, which carries only one request.
func TestOverTls(t *testing.T) {
	Convey("Over TLS a call is answered, and its connection is not reused", t, func() {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteJson(w, 200, "x") }))
		Reset(server.Close)
		client := testClient()
		client.transport.TLSClientConfig = server.Client().Transport.(*http.Transport).TLSClientConfig
		r, err := http.NewRequest("GET", server.URL+"/", nil)
		So(err, ShouldBeNil)
		reply, err := client.Send(r, SendOptions{MaxBodyBytes: 100, CanReuse: AlwaysReuse})
		So(err, ShouldBeNil)
		So(reply.StatusCode, ShouldEqual, 200)
		So(client.IdleCount(), ShouldEqual, 0)
	})
}
