package web

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
)

// TestHeadsAtTheirBound guards against a request with a head over the limit that is served without its end,
// or not answered.
func TestHeadsAtTheirBound(t *testing.T) {
	Convey("A request with a head of the maximum length is served, and a much longer one gets status 431", t, func() {
		s := serve(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, len(r.Header.Get("X-Long"))) })
		line, end := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ", "\r\n\r\n"
		long := strings.Repeat("l", maxHeaderBytes-len(line)-len(end))
		s.write(line + long + end)
		text, _ := s.readAnswer()
		So(text, ShouldEqual, fmt.Sprint(len(long)))
		s.dial()
		go func() { _, _ = io.WriteString(s.conn, line+long+long+end) }()
		reply, err := http.ReadResponse(s.answers, nil)
		So(err, ShouldBeNil)
		So(reply.StatusCode, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		stopped, _ := s.stopIn(time.Minute)
		So(stopped, ShouldBeNil)
	})
}

// TestBodiesAtTheirBound guards against a request with a body over the limit that is accepted in part.
func TestBodiesAtTheirBound(t *testing.T) {
	const limit = 9
	Convey("A body of the maximum length is read completely, and one a byte longer is rejected, with a length or in chunks", t, func() {
		for _, isChunked := range []bool{false, true} {
			for size, kind := range map[int]errs.Kind{0: "", limit: "", limit + 1: errs.TooLarge} {
				r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", size)))
				if isChunked {
					r.ContentLength = -1
				}
				body, err := ReadBody(r, limit)
				if kind == "" {
					So(err, ShouldBeNil)
					So(len(body), ShouldEqual, size)
				} else {
					So(errs.Is(err, kind), ShouldBeTrue)
				}
			}
		}
	})
}

// TestRepliesAtTheirBound guards against a reply whose bytes beyond MaxBodyBytes count as an error, or are
// kept in part.
func TestRepliesAtTheirBound(t *testing.T) {
	const most = 9
	Convey("A reply of any length is complete; its body is kept up to the limit, and nothing of a longer one", t, func() {
		for _, size := range []int{0, most, most + 1, 1 << 20} {
			for _, isChunked := range []bool{false, true} {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					if !isChunked {
						w.Header().Set("Content-Length", fmt.Sprint(size))
					}
					_, _ = io.WriteString(w, strings.Repeat("b", size))
				}))
				client := NewClient(ClientOptions{DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdlePerAddress: 1})
				r, err := http.NewRequest(http.MethodGet, server.URL, nil)
				So(err, ShouldBeNil)
				reply, err := client.Send(r, SendOptions{MaxBodyBytes: most, CanReuse: AlwaysReuse})
				So(err, ShouldBeNil)
				So(reply.Size, ShouldEqual, size)
				So(reply.HasWholeBody(), ShouldEqual, size <= most)
				So(len(reply.Bytes), ShouldEqual, map[bool]int{true: size}[size <= most])
				So(client.IdleCount(), ShouldEqual, 1)
				server.Close()
			}
		}
	})
}
