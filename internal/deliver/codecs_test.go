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

var codecs = []struct {
	name  string
	codec deliver.Codec
}{{"our own codec", deliver.DefaultCodec}, {"the platform's codec", platform.Deliveries}}

// answer answers with a status and fields, and a whole body.
func answer(code int, fields ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i < len(fields); i += 2 {
			w.Header().Set(fields[i], fields[i+1])
		}
		w.WriteHeader(code)
		_, _ = w.Write([]byte("well"))
	}
}

// TestCodecs is the table of what is made of a worker's answer, in every
// codec. A success is whole, or it is none; where a codec has no word for a
// run that never began, the run is counted as begun.
func TestCodecs(t *testing.T) {
	const seal, whose, not = "X-Server-Seal", "X-Attempt-Id", "X-Not-Run"
	hang := make(chan struct{})
	defer close(hang)
	cases := []struct {
		name    string
		worker  http.HandlerFunc // nil: nobody listens
		kinds   [2]errs.Kind     // ours, the platform's
		isBegun [2]bool
		isFinal bool
	}{
		{"a whole answer", answer(200, seal, "s.1", whose, "m-1"), [2]errs.Kind{}, [2]bool{true, true}, false},
		{"a whole answer without its seal", answer(200), [2]errs.Kind{"", "late"}, [2]bool{true, true}, false},
		{"an answer of another message", answer(200, seal, "s.1", whose, "m-2"), [2]errs.Kind{"", "cut_short"}, [2]bool{true, true}, false},
		{"a failure", answer(500), [2]errs.Kind{"unsound", "unsound"}, [2]bool{true, true}, false},
		{"a refusal for good", answer(422), [2]errs.Kind{"rejected", "rejected"}, [2]bool{true, true}, true},
		{"a full worker", answer(503, not, "1"), [2]errs.Kind{"unsound", "full"}, [2]bool{true, false}, false},
		{"a rate that is passed", answer(429, not, "1"), [2]errs.Kind{"unsound", "full"}, [2]bool{true, false}, false},
		{"a first run that goes on", answer(409, not, "1"), [2]errs.Kind{"unsound", "conflict"}, [2]bool{true, false}, false},
		{"another worker's address", answer(421), [2]errs.Kind{"unsound", "unknown"}, [2]bool{true, false}, false},
		{"a body shorter than it says", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"chunks without an end", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"an answer that tells no length", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\nall"),
			[2]errs.Kind{"cut_short", "cut_short"}, [2]bool{true, true}, false},
		{"half a head", deliver.RawReply("HTTP/1.1 200 OK\r\nX-Ser"), [2]errs.Kind{"lost", "lost"}, [2]bool{true, true}, false},
		{"no answer within the bound", func(http.ResponseWriter, *http.Request) { <-hang }, [2]errs.Kind{"late", "late"}, [2]bool{true, true}, false},
		{"nobody there", nil, [2]errs.Kind{"lost", "lost"}, [2]bool{false, false}, false},
	}
	kept := requesthead.Head{Method: "PUT", Target: "/a%2Fb/../c?d=%20", Host: "x.example", Fields: [][2]string{{whose, "m-1"}}}
	for i, m := range codecs {
		Convey("In "+m.name+" a run that meets", t, func() {
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
