package intake_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

// codecs are the codecs under test.
var codecs = []struct {
	name  string
	codec intake.Codec
}{{"our own codec", intake.DefaultCodec}, {"the platform's codec", platform.IntakeCodec}}

// chunks is a body without a known length.
type chunks struct{ io.Reader }

// TestCodecs checks what every codec must have in common: a status that promises that the message never runs (408, 421,
// 429, 503) is sent only for such messages, and at once.
func TestCodecs(t *testing.T) {
	kind := func(k errs.Kind) *wire.Taken { return &wire.Taken{Kind: string(k), Retry: 7000} }
	held := &wire.Taken{State: "held", Id: "1-x"}
	cases := []struct {
		name   string
		target string
		body   string
		s      intake.TestSetup
		codes  [2]int
	}{
		{"a message that is held", "/a/b?c=%2Fd", "body", intake.TestSetup{Take: held, MaxInFlight: 9}, [2]int{202, 202}},
		{"a message without a body", "/a/", "", intake.TestSetup{Take: held, MaxInFlight: 9}, [2]int{202, 202}},
		{"a path without a lane", "/b/", "body", intake.TestSetup{Take: held, MaxInFlight: 9}, [2]int{404, 404}},
		{"too large a body", "/a/b", "0123456789", intake.TestSetup{Take: held, MaxInFlight: 9}, [2]int{413, 413}},
		{"a stale adapter", "/a/b", "body", intake.TestSetup{Take: held, MaxInFlight: 9, IsStale: true}, [2]int{503, 503}},
		{"a stale adapter, on a path without a lane", "/b/", "body", intake.TestSetup{Take: held, MaxInFlight: 9, IsStale: true}, [2]int{503, 503}},
		{"a full adapter", "/a/b", "body", intake.TestSetup{Take: held}, [2]int{429, 429}},
		{"a full place", "/a/b", "body", intake.TestSetup{Take: kind(errs.Full), MaxInFlight: 9}, [2]int{429, 429}},
		{"a full disk", "/a/b", "body", intake.TestSetup{Take: kind(errs.DiskFull), MaxInFlight: 9}, [2]int{507, 503}},
		{"no owner", "/a/b", "body", intake.TestSetup{MaxInFlight: 9}, [2]int{503, 503}},
		{"a full place after an attempt that may be held, settled as never held", "/a/b", "body",
			intake.TestSetup{Take: kind(errs.Full), IsUncertain: true, Settle: kind(errs.Rejected), MaxInFlight: 9}, [2]int{429, 429}},
		{"… settled as held", "/a/b", "body", intake.TestSetup{Take: kind(errs.Full), IsUncertain: true, Settle: held, MaxInFlight: 9}, [2]int{202, 202}},
		{"… not settled", "/a/b", "body", intake.TestSetup{Take: kind(errs.Full), IsUncertain: true, MaxInFlight: 9}, [2]int{504, 504}},
		{"a lost answer, settled as never held", "/a/b", "body", intake.TestSetup{IsUncertain: true, Settle: kind(errs.Rejected), MaxInFlight: 9}, [2]int{503, 503}},
		{"a lost answer, not settled", "/a/b", "body", intake.TestSetup{IsUncertain: true, MaxInFlight: 9}, [2]int{504, 504}},
	}
	for i, m := range codecs {
		Convey("In "+m.name+" a caller that encounters", t, func() {
			for _, c := range cases {
				for _, isChunked := range []bool{false, true} {
					in, takes := intake.NewTestIntake(c.s)
					r := httptest.NewRequest("POST", c.target, strings.NewReader(c.body))
					if isChunked {
						r = httptest.NewRequest("POST", c.target, chunks{strings.NewReader(c.body)})
						So(r.ContentLength, ShouldEqual, -1)
					}
					r.Host = "x.example"
					w := httptest.NewRecorder()
					in.PassthroughHandler(m.codec)(w, r)
					Convey(c.name+map[bool]string{true: ", in chunks"}[isChunked], func() {
						So(w.Code, ShouldEqual, c.codes[i])
						So(w.Header().Get("Content-Length"), ShouldNotBeEmpty)
						if w.Code == 429 || w.Code == 503 {
							So(w.Header().Get("Retry-After"), ShouldNotBeEmpty)
						}
						if w.Code == 202 {
							kept, err := requesthead.Decode(takes()[0].RequestHead)
							So(err, ShouldBeNil)
							So([]string{kept.Method, kept.Target, kept.Host}, ShouldResemble, []string{"POST", c.target, "x.example"})
							So(takes()[0].Checksum, ShouldEqual, wire.Checksum([]byte(c.body)))
						}
					})
				}
			}
		})
		Convey("In "+m.name+" messages of an ordered lane without an ordering key get different ones", t, func() {
			in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9})
			for range 2 {
				in.PassthroughHandler(m.codec)(httptest.NewRecorder(), httptest.NewRequest("POST", "/o/x", nil))
			}
			So(len(takes()), ShouldEqual, 2)
			So(takes()[0].Key, ShouldNotBeEmpty)
			So(takes()[0].Key, ShouldNotEqual, takes()[1].Key)
		})
	}
}

// TestAskers checks what the platform's callers are told of a message.
func TestAskers(t *testing.T) {
	body, sum := []byte("body"), wire.Checksum([]byte("body"))
	cases := []struct {
		name, path string
		sight      wire.Sight
		code       int
		answer     string
	}{
		{"held", "/v1/message/1-x", wire.Sight{State: "held"}, 200, `{"state":"queued"}`},
		{"started", "/v1/message/1-x", wire.Sight{State: "started"}, 200, `{"state":"queued"}`},
		{"ended", "/v1/message/1-x", wire.Sight{State: "ended", Proof: wire.Proof{Answer: []byte("seal.7")}}, 200, `{"state":"completed","stamp":"seal.7"}`},
		{"failed", "/v1/message/1-x", wire.Sight{State: "failed"}, 200, `{"state":"dead_letter"}`},
		{"expired", "/v1/message/1-x", wire.Sight{State: "expired"}, 200, `{"state":"dead_letter"}`},
		{"settled as never held", "/v1/message/1-x", wire.Sight{State: "rejected"}, 404, ""},
		{"unknown", "/v1/message/1-x", wire.Sight{Kind: "unknown"}, 404, ""},
		{"unreachable", "/v1/message/1-x", wire.Sight{Kind: "undecided"}, 503, ""},
		{"without a valid id", "/v1/message/x", wire.Sight{State: "held"}, 404, ""},
		{"held, for its body", "/v1/message-body/1-x", wire.Sight{State: "held", Body: body, Checksum: sum}, 200, "body"},
		{"held, without a body", "/v1/message-body/1-x", wire.Sight{State: "held", Checksum: wire.Checksum(nil)}, 200, ""},
		{"failed, for its body", "/v1/message-body/1-x", wire.Sight{State: "failed", Body: body, Checksum: sum}, 200, "body"},
		{"held, with a corrupt body", "/v1/message-body/1-x", wire.Sight{State: "held", Body: []byte("bodY"), Checksum: sum}, 503, ""},
		{"ended, with its body dropped", "/v1/message-body/1-x", wire.Sight{State: "ended", Checksum: sum}, 404, ""},
	}
	Convey("A request for a message that is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				in, _ := intake.NewTestIntake(intake.TestSetup{Sight: &c.sight, MaxInFlight: 9})
				mux := http.NewServeMux()
				platform.ServeCallers(mux, in)
				w := httptest.NewRecorder()
				mux.ServeHTTP(w, httptest.NewRequest("GET", c.path, nil))
				So(w.Code, ShouldEqual, c.code)
				So(w.Body.String(), ShouldEqual, c.answer)
			})
		}
	})
}
