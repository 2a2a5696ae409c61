package workerlist

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// The times that the tests use.
const (
	period   = 50 * time.Millisecond
	interval = 480 * time.Millisecond
	most     = time.Second
)

// TestCursor checks which page a cursor requests next, and when.
func TestCursor(t *testing.T) {
	type answer struct {
		next string
		kind errs.Kind
	}
	lost, full := answer{"", errs.Lost}, answer{"", errs.Full}
	cases := []struct {
		text       string
		answers    []answer
		ask        string        // token of the next request
		due        time.Duration // delay of the next request
		isComplete bool          // whether the last answer completed a read
	}{
		{"the first page, at once", nil, "", 0, false},
		{"the page that follows, a period later", []answer{{"2", ""}}, "2", period, false},
		{"the first page again an interval after it", []answer{{"2", ""}, {"", ""}}, "", interval, true},
		{"the same page after a failure", []answer{{"2", ""}, lost}, "2", period, false},
		{"… after twice the delay the next time", []answer{{"2", ""}, lost, lost}, "2", 2 * period, false},
		{"… up to a maximum delay", []answer{{"2", ""}, full, full, full, full, full, full, full}, "2", most, false},
		{"the first page if one keeps failing, since its token may have expired", []answer{{"2", ""}, lost, lost, lost, lost, lost}, "", 16 * period, false},
		{"the same page, however often it is refused because of the rate", []answer{{"2", ""}, full, full, full, full, full}, "2", 16 * period, false},
		{"the first page after one that names itself as the next", []answer{{"2", ""}, {"2", ""}}, "", interval, false},
	}
	Convey("A cursor requests", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				cursor, now, isComplete := Cursor{}, 10*time.Second, false
				for _, a := range c.answers {
					now += cursor.Delay(now)
					cursor.NextToken(now)
					isComplete = false
					if a.kind != "" {
						cursor.PageFailed(a.kind, now, period, most)
					} else {
						isComplete = cursor.PageReceived(a.next, now, period, interval)
					}
				}
				due := cursor.Delay(now)
				if len(c.answers) > 1 && due != 0 && c.due == interval {
					due = now + due - 10*time.Second // since the read began
				}
				So(due, ShouldEqual, c.due)
				So(isComplete, ShouldEqual, c.isComplete)
				So(cursor.NextToken(now+due), ShouldEqual, c.ask)
				_, isRead := cursor.Age(now)
				So(isRead, ShouldEqual, c.isComplete)
			})
		}
	})
}

// TestRoster checks when a worker is removed.
func TestRoster(t *testing.T) {
	see := func(at time.Duration) func(*Roster) {
		return func(r *Roster) { r.Record("p", config.Worker{Name: "w", Zone: "a"}, at) }
	}
	passed := func(zone string, began time.Duration) func(*Roster) {
		return func(r *Roster) { r.ReadCompleted(zone, began) }
	}
	cases := []struct {
		text   string
		steps  []func(*Roster)
		isHere bool
	}{
		{"is listed once it was seen", []func(*Roster){see(5)}, true},
		{"is listed after one read without it", []func(*Roster){see(5), passed("", 6)}, true},
		{"is removed after two", []func(*Roster){see(5), passed("", 6), passed("", 7)}, false},
		{"is listed if it was seen in between", []func(*Roster){see(5), passed("", 6), see(7), passed("", 8)}, true},
		{"is listed after reads that began before it was seen", []func(*Roster){see(5), passed("", 4), passed("", 5)}, true},
		{"is listed after reads of other zones", []func(*Roster){see(5), passed("b", 6), passed("b", 7)}, true},
		{"is removed after reads of its zone", []func(*Roster){see(5), passed("a", 6), passed("a", 7)}, false},
		{"is removed after a read of its zone and one of all", []func(*Roster){see(5), passed("a", 6), passed("", 7)}, false},
	}
	Convey("A worker", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				r := NewRoster()
				for _, step := range c.steps {
					step(r)
				}
				So(len(r.Pool("p")) == 1, ShouldEqual, c.isHere)
			})
		}
		Convey("has the state of the newest request, whichever answer arrives last", func() {
			r := NewRoster()
			r.Record("p", config.Worker{Name: "w", State: "leaving"}, 7)
			r.Record("p", config.Worker{Name: "w", State: "live"}, 6)
			So(r.Pool("p")[0].State, ShouldEqual, "leaving")
		})
		Convey("is reported as changed once", func() {
			r := NewRoster()
			see(5)(r)
			So(r.Changed(), ShouldResemble, map[string]map[string]bool{"p": {"w": false}})
			see(6)(r)
			So(r.Changed(), ShouldBeEmpty)
			r.Requeue("p", map[string]bool{"w": true})
			So(r.Changed(), ShouldResemble, map[string]map[string]bool{"p": {"w": true}})
		})
		Convey("is reported as new until it changes after it was reported", func() {
			r := NewRoster()
			see(5)(r)
			isNew := r.Changed()
			r.Requeue("p", isNew["p"])
			So(r.Changed(), ShouldResemble, map[string]map[string]bool{"p": {"w": false}})
			r.Requeue("p", isNew["p"])
			r.Record("p", config.Worker{Name: "w", State: "leaving"}, 7)
			r.Requeue("p", isNew["p"])
			So(r.Changed(), ShouldResemble, map[string]map[string]bool{"p": {"w": true}})
			r.ReadCompleted("", 8)
			r.ReadCompleted("", 9)
			So(r.Changed(), ShouldResemble, map[string]map[string]bool{"p": {"w": true}})
		})
	})
}
