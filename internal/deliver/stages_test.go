package deliver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/gjson"

	"caperwheel/internal/wire"
)

// TestStages checks that the status of open runs shows their stage and since when they are in it.
func TestStages(t *testing.T) {
	Convey("An open run", t, func() {
		b, run := NewRunRegistry(9), &wire.Run{Place: 3, Term: 7, Id: "3-x", Attempt: 2, Pool: "p", Worker: "w"}
		So(b.Admit(run, time.Second), ShouldBeNil)
		So(b.RunsOf("3-x", 3*time.Second), ShouldResemble, []RunStatus{{2, 3, 7, "p", "w", StageQueued, 2000}})
		b.SetStage(run, StageWork, 4*time.Second)
		So(b.RunsOf("3-x", 5*time.Second), ShouldResemble, []RunStatus{{2, 3, 7, "p", "w", StageWork, 1000}})
		So(b.OldestByStage(5*time.Second), ShouldResemble, map[Stage]time.Duration{StageWork: time.Second})
		Convey("is not listed once its result is durable, whatever stage is set later", func() {
			b.Remove(run)
			b.SetStage(run, StageOwner, 6*time.Second)
			So(b.RunsOf("3-x", 7*time.Second), ShouldBeEmpty)
			So(b.Count(), ShouldEqual, 0)
		})
	})
	Convey("An adapter serves the open runs of a message", t, func() {
		a, stage := newTestAdapter("127.0.0.1:1"), ""
		a.environment.Run = func(work func(context.Context)) {}
		story := func(id string) *httptest.ResponseRecorder {
			out, req := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/messages/"+id+"/story", nil)
			req.SetPathValue("id", id)
			a.ServeRuns(out, req)
			return out
		}
		So(story("0-x").Code, ShouldEqual, http.StatusNotFound)
		So(a.runs.Admit(&wire.Run{Id: "0-x", Attempt: 1, Pool: "p", Worker: "w"}, a.d.Now()), ShouldBeNil)
		got := story("0-x")
		stage = gjson.Get(got.Body.String(), "runs.0.stage").Str
		So(got.Code, ShouldEqual, http.StatusOK)
		So(stage, ShouldEqual, string(StageQueued))
		So(a.Holdings().Runs, ShouldEqual, 1)
	})
}
