package deliver_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/requesthead"
	"caperwheel/platform"
)

// codecs are the codecs under test.
var codecs = []struct {
	name  string
	codec deliver.Codec
}{{"our own codec", deliver.DefaultCodec}, {"the platform's codec", platform.DeliverCodec}}

// answer returns a handler that answers with a status, header fields and a complete body.
func answer(code int, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte("well"))
	}
}

// TestCodecs checks how each codec classifies a worker's reply. Only a complete reply is a success. If a codec has no
// way to say that a run never began, the run counts as begun.
func TestCodecs(t *testing.T) {
	const seal, whose, not = "X-Server-Seal", "X-Attempt-Id", "X-Not-Run"
	hang := make(chan struct{})
	defer close(hang)
	cases := []struct {
		name    string
		worker  http.HandlerFunc // nil: nothing listens
		kinds   [2]errs.Kind     // of the default codec and of the platform's
		isBegun [2]bool
		isFinal bool
	}{
		{"a complete reply", answer(200, seal, "s.1", whose, "m-1"), [2]errs.Kind{}, [2]bool{true, true}, false},
		{"a complete reply without its seal", answer(200), [2]errs.Kind{"", "late"}, [2]bool{true, true}, false},
		{"a reply to another message", answer(200, seal, "s.1", whose, "m-2"), [2]errs.Kind{"", "cut_short"}, [2]bool{true, true}, false},
		{"a failure", answer(500), [2]errs.Kind{"unsound", "unsound"}, [2]bool{true, true}, false},
		{"a final refusal", answer(422), [2]errs.Kind{"rejected", "rejected"}, [2]bool{true, true}, true},
		{"a full worker", answer(503, not, "1"), [2]errs.Kind{"unsound", "full"}, [2]bool{true, false}, false},
		{"an exceeded rate", answer(429, not, "1"), [2]errs.Kind{"unsound", "full"}, [2]bool{true, false}, false},
		{"an earlier run that is still in progress", answer(409, not, "1"), [2]errs.Kind{"unsound", "conflict"}, [2]bool{true, false}, false},
		{"an address that belongs to another worker now", answer(421), [2]errs.Kind{"unsound", "unknown"}, [2]bool{true, false}, false},
		{"a body shorter than its Content-Length", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"chunks without the last one", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"a reply without a length", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nall"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"an incomplete head", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Ser"), [2]errs.Kind{"lost", "lost"}, [2]bool{true, true}, false},
		{"no reply within the bound", func(http.ResponseWriter, *http.Request) { <-hang }, [2]errs.Kind{"late", "late"}, [2]bool{true, true}, false},
		{"no listener", nil, [2]errs.Kind{"lost", "lost"}, [2]bool{false, false}, false},
	}
	kept := requesthead.Head{Method: "PUT", Target: "/a%2Fb/../c?d=%20", Host: "x.example", Fields: [][2]string{{whose, "m-1"}}}
	for i, m := range codecs {
		Convey("In "+m.name+" a run that encounters", t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					address, got := "", make(chan []string, 1)
					if c.worker != nil {
						server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							body, _ := io.ReadAll(r.Body)
							got <- []string{r.Method, r.RequestURI, r.Host, r.Header.Get(whose), string(body)}
							c.worker(w, r)
						}))
						Reset(server.CloseClientConnections)
						address = server.Listener.Addr().String()
					} else {
						listener, err := net.Listen("tcp", "127.0.0.1:0")
						So(err, ShouldBeNil)
						address = listener.Addr().String()
						So(listener.Close(), ShouldBeNil)
					}
					o := deliver.DeliverOnce(m.codec, address, kept)
					So(errs.Kind(o.Kind), ShouldEqual, c.kinds[i])
					So(o.Final, ShouldEqual, c.isFinal)
					if o.Kind != "" {
						So(o.MayHaveStarted, ShouldEqual, c.isBegun[i])
					}
					if c.worker != nil {
						So(<-got, ShouldResemble, []string{"PUT", "/a%2Fb/../c?d=%20", "x.example", "m-1", "body"})
					}
				})
			}
		})
	}
}
