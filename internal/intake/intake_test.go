package intake

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// fakeOwners answers requests to owners with fixed replies.
type fakeOwners struct {
	take, settle       *wire.Taken // nil: no owner answers
	isUncertain        bool        // an earlier attempt may have been held
	takes              []*wire.Take
	settles, takeCalls int
}

// CallOwnerTracked implements ownerClient.
func (s *fakeOwners) CallOwnerTracked(_ context.Context, _ int64, message any, _ func(any) (bool, string)) (any, bool, error) {
	s.takeCalls++
	s.takes = append(s.takes, message.(*wire.Take))
	switch {
	case s.take != nil:
		return s.take, s.isUncertain, nil
	case s.isUncertain:
		return nil, true, errs.New(errs.Undecided, "no answer")
	}
	return nil, false, errs.New(errs.NotOwner, "no owner")
}

// CallOwner implements ownerClient.
func (s *fakeOwners) CallOwner(context.Context, int64, any, func(any) (bool, string)) (any, error) {
	s.settles++
	if s.settle == nil {
		return nil, errs.New(errs.Undecided, "no answer")
	}
	return s.settle, nil
}

// newTestIntake returns an intake with a plain lane and an ordered one.
func newTestIntake(s *fakeOwners) *Intake {
	view := feed.NewView(0)
	d := &daemon.Daemon{Started: time.Now(), Bounds: timing.Default, View: view, Membership: session.NewMembership(), Mux: http.NewServeMux(), Settings: settings.Settings{Places: 48, MaxInFlight: 9}}
	view.Update([]wire.PartNews{{To: 7, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 7,
		Value: []byte(`{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"size":9},"o":{"pools":["p"],"ordering":"key"}}}`)}}}}, d.Now())
	in := New(d, &config.Cache{View: view})
	in.owners = s
	return in
}

// TestRetold checks the answers to senders. A message must never be reported as not taken if some send of it may have
// been held. It guards against a repeated idempotency key that was reported as not taken by a stale adapter while its
// message ran.
func TestRetold(t *testing.T) {
	kind := func(k errs.Kind) *wire.Taken { return &wire.Taken{Kind: string(k), Retry: 7000} }
	held := &wire.Taken{State: "held", Id: "1-x"}
	cases := []struct {
		name    string
		lane    string
		idem    string
		body    string
		s       fakeOwners
		code    int
		taken   any
		retry   string
		settles int
	}{
		{"a message that is held", "l", "", "b", fakeOwners{take: held}, 202, true, "", 0},
		{"a message that the owner rejects", "l", "", "b", fakeOwners{take: kind(errs.Full)}, 429, false, "7", 0},
		{"a message that the owner rejects after an attempt that may have been held, settled as never held", "l", "", "b",
			fakeOwners{take: kind(errs.Full), isUncertain: true, settle: kind(errs.Rejected)}, 429, false, "7", 1},
		{"… settled as held", "l", "", "b", fakeOwners{take: kind(errs.Full), isUncertain: true, settle: held}, 202, true, "", 1},
		{"… not settled", "l", "", "b", fakeOwners{take: kind(errs.Full), isUncertain: true}, 504, "undecided", "", 1},
		{"a message without an owner", "l", "", "b", fakeOwners{}, 503, false, "1", 0},
		{"a message whose answer was lost, settled as never held", "l", "", "b", fakeOwners{isUncertain: true, settle: kind(errs.Rejected)}, 503, false, "", 1},
		{"too large a body", "l", "", "0123456789", fakeOwners{}, 413, false, "", 0},
		{"no such lane", "x", "", "b", fakeOwners{}, 404, false, "", 0},
		{"a key whose message is held", "l", "i", "b", fakeOwners{take: held}, 202, true, "", 0},
		{"a key that the owner rejects", "l", "i", "b", fakeOwners{take: kind(errs.Full)}, 429, "undecided", "7", 0},
		{"a key without an owner", "l", "i", "b", fakeOwners{}, 503, "undecided", "1", 0},
		{"a key whose answer was lost", "l", "i", "b", fakeOwners{isUncertain: true}, 504, "undecided", "2", 0},
		{"a key settled as never held", "l", "i", "b", fakeOwners{take: kind(errs.Rejected)}, 409, false, "7", 0},
		{"a key with another body", "l", "i", "b", fakeOwners{take: kind(errs.Conflict)}, 409, false, "7", 0},
		{"a key with too large a body", "l", "i", "0123456789", fakeOwners{}, 413, "undecided", "", 0},
		{"a key on an unknown lane", "x", "i", "b", fakeOwners{}, 404, "undecided", "", 0},
	}
	Convey("A caller gets the right answer to", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				in := newTestIntake(&c.s)
				r := httptest.NewRequest("POST", "/v1/lanes/"+c.lane+"/messages", strings.NewReader(c.body))
				if c.idem != "" {
					r.Header.Set("Idempotency-Key", c.idem)
				}
				w := httptest.NewRecorder()
				in.d.Mux.ServeHTTP(w, r)
				var answer struct {
					Taken any    `json:"taken"`
					Id    string `json:"id"`
				}
				So(json.Unmarshal(w.Body.Bytes(), &answer), ShouldBeNil)
				So(w.Code, ShouldEqual, c.code)
				So(answer.Taken, ShouldEqual, c.taken)
				So(answer.Id == "", ShouldEqual, c.taken == false && c.s.take == nil && c.s.settle == nil)
				if c.retry != "" {
					So(w.Header().Get("Retry-After"), ShouldEqual, c.retry)
				}
				So(c.s.settles, ShouldEqual, c.settles)
				if c.code != 404 {
					So(w.Header().Get("X-Charter-Stamp"), ShouldEqual, "7")
				}
			})
		}
		Convey("the same key with the same id, through any adapter", func() {
			a, b := &fakeOwners{}, &fakeOwners{}
			for _, s := range []*fakeOwners{a, a, b} {
				r := httptest.NewRequest("POST", "/v1/lanes/l/messages", strings.NewReader("b"))
				r.Header.Set("Idempotency-Key", "i")
				newTestIntake(s).d.Mux.ServeHTTP(httptest.NewRecorder(), r)
			}
			So(a.takes[0].Id, ShouldEqual, b.takes[0].Id)
			So(a.takes[0].Id, ShouldEqual, a.takes[1].Id)
			So(a.takes[0].Place, ShouldEqual, b.takes[0].Place)
		})
	})
}

// TestSlowBody checks that a request is not accepted under the lane's rules of an older configuration once a newer one
// is known.
func TestSlowBody(t *testing.T) {
	Convey("A request read under an older configuration is stale once a newer one is known", t, func() {
		in := newTestIntake(&fakeOwners{})
		e := &request{compiled: in.configs.Current()}
		in.d.View.Update([]wire.PartNews{{From: 7, To: 8, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 8, Value: []byte(`{}`)}}}}, in.d.Now())
		So(errs.Is(in.actions[pipeline.RequireFreshView](pipeline.Step{}, e), errs.Stale), ShouldBeTrue)
	})
}
