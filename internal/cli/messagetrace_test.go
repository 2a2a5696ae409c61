package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStory checks that the trace of a message combines the reports of all stores and adapters that have one.
func TestStory(t *testing.T) {
	owner := `{"store":"s1","place":4,"term":9,"id":"4-x","lane":"l","state":"started","attempt":2,"waits_for":"its run","since_ms":-1,"left_ms":-1,
		"run":{"adapter":"a1","boot":"b","is_member":false,"away_ms":1200,"worker":"w"},"pools":[{"pool":"p","workers":3,"resting":3,"asks":1}]}`
	held := `{"store":"s1","place":4,"term":9,"id":"4-x","state":"held","attempt":0,"waits_for":"another message","behind":"4-y","since_ms":7,"left_ms":20}`
	runs := `{"adapter":"a1","boot":"b","runs":[{"attempt":2,"pool":"p","worker":"w","stage":"owner","since_ms":800}]}`
	daemon := func(answer string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if answer == "" || r.URL.Path != "/v1/messages/4-x/story" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			fmt.Fprint(w, answer)
		}))
		Reset(s.Close)
		return s.Listener.Addr().String()
	}
	runTrace := func(flags string, daemons ...[3]string) (code int, out, err string) {
		members := []string{}
		for _, d := range daemons {
			members = append(members, fmt.Sprintf(`{"Name":%q,"Kind":%q,"Http":%q}`, d[0], d[1], d[2]))
		}
		manager := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"members":[%s]}`, strings.Join(members, ","))
		}))
		Reset(manager.Close)
		printed, failed := &bytes.Buffer{}, &bytes.Buffer{}
		args := append([]string{"--manager", manager.Listener.Addr().String()}, strings.Fields(flags)...)
		code = Main(append(args, "message", "4-x", "--story"), printed, failed)
		return code, printed.String(), failed.String()
	}
	Convey("The trace of a message", t, func() {
		Convey("has the reports of its owner and its run's adapter", func() {
			code, out, _ := runTrace("", [3]string{"s1", "store", daemon(owner)}, [3]string{"s2", "store", daemon("")}, [3]string{"a1", "adapter", daemon(runs)},
				[3]string{"m1", "manager", "127.0.0.1:1"})
			So(code, ShouldEqual, ExitOk)
			So(out, ShouldContainSubstring, "s1: owner of place 4 in term 9; started, 2 runs begun; waits for its run; run at w by a1 (boot b, session false, away 1200 ms); pool p: 3 eligible workers, 3 resting, 1 requests in progress\n")
			So(out, ShouldContainSubstring, "a1: run 2 at p/w, stage owner for 800 ms\n")
			So(out, ShouldNotContainSubstring, "s2")
		})
		Convey("names what the message waits for, since when and for how long", func() {
			_, out, _ := runTrace("", [3]string{"s1", "store", daemon(held)})
			So(out, ShouldContainSubstring, "held, 0 runs begun; waits for another message 4-y, for 7 ms, 20 ms more\n")
		})
		Convey("names daemons that cannot be queried", func() {
			_, out, _ := runTrace("", [3]string{"s1", "store", daemon(held)}, [3]string{"a9", "adapter", "127.0.0.1:1"})
			So(out, ShouldContainSubstring, "a9: query failed")
		})
		Convey("is JSON with --json", func() {
			_, out, _ := runTrace("--json", [3]string{"a1", "adapter", daemon(runs)})
			So(out, ShouldContainSubstring, `"stage": "owner"`)
		})
		Convey("is an error if no daemon has a record of the message", func() {
			code, _, err := runTrace("", [3]string{"s1", "store", daemon("")})
			So(code, ShouldEqual, ExitFailed)
			So(err, ShouldContainSubstring, "no daemon has a record of message 4-x")
		})
	})
}
