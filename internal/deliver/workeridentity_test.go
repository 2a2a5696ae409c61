package deliver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/deliver"
	"caperwheel/platform"
)

// TestExpectedWorker guards against a message that is sent without the identifier of the worker that it is for:
// whichever worker has the address by then runs it.
func TestExpectedWorker(t *testing.T) {
	long := strings.Repeat("zone/rack/", 9) + "i-4"
	cases := []struct{ name, worker, identifier, expects string }{
		{"a worker whose identifier is its name", "i-4", "", "i-4"},
		{"a worker with a long identifier", platform.EncodeName(long), long, long},
		{"a worker with an identifier of the maximum length", platform.EncodeName(long), strings.Repeat("i", config.MaxIdentifierBytes), strings.Repeat("i", config.MaxIdentifierBytes)},
		{"a worker of which only the identifier's hash is known", platform.EncodeName(long), "", ""},
		{"a listed worker with the name reserved for endpoints", config.EndpointWorker, "", config.EndpointWorker},
	}
	Convey("A message for", t, func() {
		for _, c := range cases {
			Convey(c.name+" carries the worker's identifier, or is not sent", func() {
				got := make(chan string, 1)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					got <- r.Header.Get("X-Expect-Instance")
					answer(200, "X-Server-Seal", "s.1")(w, r)
				}))
				defer server.Close()
				listed := config.Worker{Name: c.worker, Identifier: c.identifier, Address: server.Listener.Addr().String(), Zone: "c", State: "live"}
				o := deliver.DeliverToWorker(platform.DeliverCodec, listed, newHead("m-1"))
				if c.expects == "" {
					So(len(got), ShouldEqual, 0)
					So([]any{o.Kind != "", o.MayHaveStarted, o.Final}, ShouldResemble, []any{true, false, false})
					return
				}
				So(<-got, ShouldEqual, c.expects)
				So(o.Kind, ShouldBeEmpty)
			})
		}
	})
}
