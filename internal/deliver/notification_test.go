package deliver_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/deliver"
	"caperwheel/internal/errs"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
)

// TestTell checks when a completion notification counts as accepted, in every codec: only by a complete reply with
// status 200.
func TestTell(t *testing.T) {
	cases := []struct {
		name     string
		receiver http.HandlerFunc
		url      string // replaces the receiver's
		others   int
		kind     errs.Kind
	}{
		{"accepts", answer(200), "", 0, ""},
		{"accepts, with all but one notification in flight", answer(200), "", deliver.MaxNotificationsInFlight - 1, ""},
		{"has as many in flight and waiting as allowed", answer(200), "", deliver.MaxNotifications, errs.Full},
		{"answers with another success", answer(202), "", 0, errs.Rejected},
		{"answers with 400", answer(400), "", 0, errs.Rejected},
		{"answers with 500", answer(500), "", 0, errs.Rejected},
		{"redirects", answer(302, "Location", "http://127.0.0.1:1/"), "", 0, errs.Rejected},
		{"sends an incomplete body", deliver.RawReply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "", 0, errs.Truncated},
		{"closes the connection without a reply", deliver.RawReply(""), "", 0, errs.Lost},
		{"is unreachable", answer(200), "http://127.0.0.1:1/x", 0, errs.Lost},
		{"has an invalid URL", answer(200), "http://a b/", 0, errs.Invalid},
	}
	kept := requesthead.Head{Method: "POST", Target: "/a", Host: "x.example", Fields: [][2]string{{"X-Attempt-Id", "m-1"}}}
	for _, m := range codecs {
		Convey("In "+m.name+" a receiver that", t, func() {
			for _, c := range cases {
				Convey(c.name, func() {
					got := make(chan string, 1)
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						body, _ := io.ReadAll(r.Body)
						got <- r.Method + " " + r.RequestURI + " " + string(body)
						c.receiver(w, r)
					}))
					Reset(server.Close)
					request := &wire.Tell{Id: "0-x", Url: server.URL + "/done?x", State: "ended", Head: kept.Encode(), Answer: []byte("s")}
					if c.url != "" {
						request.Url = c.url
					}
					So(errs.Kind(deliver.SendNotification(m.codec, request, c.others).Kind), ShouldEqual, c.kind)
					if c.kind == "" {
						So(<-got, ShouldStartWith, "POST /done?x {")
					}
				})
			}
		})
	}
}
