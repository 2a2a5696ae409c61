package config

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

const validDocument = `{"pools":{"p":{"concurrency":2,"children":{"a":{},"b":{"concurrency":9}}},
 "e":{"kind":"endpoint","address":"127.0.0.1:80","rate":5}},
 "lanes":{"top":{"urgency":7,"pools":["p.a"],"children":{"x":{"patience":"5s"},"y":{"urgency":2,"ordering":"key","callback":"top.x"}}}}}`

func TestInheritance(t *testing.T) {
	Convey("A child has all of its parent but what it overrides", t, func() {
		rules, faults := Compile([]byte(validDocument))
		So(faults, ShouldBeEmpty)
		So(len(rules.Lanes), ShouldEqual, 2)
		x, y := rules.Lanes["top.x"], rules.Lanes["top.y"]
		So([]int64{x.Urgency, y.Urgency}, ShouldResemble, []int64{7, 2})
		So(x.Patience, ShouldEqual, 5*time.Second)
		So(y.Patience, ShouldEqual, 2*time.Minute)
		So(y.IsOrdered, ShouldBeTrue)
		So(rules.Pools["p.a"].Concurrency, ShouldEqual, 2)
		So(rules.Pools["p.b"].Concurrency, ShouldEqual, 9)
		So(rules.Pools["e"].Rate, ShouldEqual, 5)
	})
}

// TestFaults checks that invalid configurations are refused, and at which path the fault is.
func TestFaults(t *testing.T) {
	cases := []struct{ name, from, to, path string }{
		{"an unknown key at the top", `"pools"`, `"polls"`, "polls"},
		{"an unknown key of a lane", `"urgency":7`, `"urgence":7`, "lanes.top.urgence"},
		{"a string for a number", `"urgency":7`, `"urgency":"7"`, "lanes.top.urgency"},
		{"a number out of range", `"urgency":7`, `"urgency":10`, "lanes.top.urgency"},
		{"a fraction for a whole number", `"urgency":7`, `"urgency":7.5`, "lanes.top.urgency"},
		{"a duration without a unit", `"5s"`, `"5"`, "lanes.top.children.x.patience"},
		{"a pool that does not exist", `["p.a"]`, `["p.c"]`, "lanes.top.x.pools"},
		{"a pool that has children", `["p.a"]`, `["p"]`, "lanes.top.x.pools"},
		{"a lane with no pool", `"pools":["p.a"],`, ``, "lanes.top.children.x"},
		{"a callback to a lane that does not exist", `"callback":"top.x"`, `"callback":"z"`, "lanes.top.y.callback"},
		{"a callback to the lane itself", `"callback":"top.x"`, `"callback":"top.y"`, "lanes.top.y.callback"},
		{"an endpoint without an address", `"address":"127.0.0.1:80",`, ``, "pools.e.address"},
		{"an address with a host name", `127.0.0.1:80`, `localhost:80`, "pools.e.address"},
		{"a key given twice", `"concurrency":2`, `"concurrency":2,"concurrency":3`, "pools.p.concurrency"},
		{"an empty set of children", `{"a":{},"b":{"concurrency":9}}`, `{}`, "pools.p.children"},
		{"a bad name", `"x":`, `"x y":`, "lanes.top.children.x y"},
		{"a lane that is a list", `{"patience":"5s"}`, `[]`, "lanes.top.children.x"},
		{"half a document", `}}}}`, ``, ""},
		{"a document that is not an object", validDocument, `[]`, ""},
	}
	Convey("A configuration is refused that has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(validDocument, ShouldContainSubstring, c.from)
				rules, faults := Compile([]byte(strings.Replace(validDocument, c.from, c.to, 1)))
				So(rules, ShouldBeNil)
				paths := []string{}
				for _, f := range faults {
					paths = append(paths, f.Path)
				}
				So(paths, ShouldContain, c.path)
			})
		}
	})
}

// TestUnreadCharter guards against a daemon of an older build treating a configuration that it cannot
// read as one without lanes.
func TestUnreadCharter(t *testing.T) {
	cases := []struct {
		name, doc string
		canRead   bool
	}{
		{"one of this build", validDocument, true},
		{"one with an unknown key", strings.Replace(validDocument, `"urgency"`, `"newer"`, 1), false},
		{"one that is empty", `{}`, true},
	}
	Convey("Whether this build can read a configuration is known for", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				view := feed.NewView(0)
				configs := Cache{View: view}
				So(configs.CanRead(), ShouldBeTrue) // none yet
				view.Update([]wire.PartNews{{To: 1, Changes: []wire.Change{{Key: DocumentKey, Revision: 1, Value: []byte(c.doc)}}}}, 0)
				So(configs.CanRead(), ShouldEqual, c.canRead)
				view.Update([]wire.PartNews{{From: 1, To: 2, Changes: []wire.Change{{Key: ZoneKey + "a", Revision: 2}}}}, 0)
				So(configs.CanRead(), ShouldEqual, c.canRead)
				view.Update([]wire.PartNews{{From: 2, To: 3, Changes: []wire.Change{{Key: DocumentKey, Revision: 3, Value: []byte(validDocument)}}}}, 0)
				So(configs.CanRead(), ShouldBeTrue)
			})
		}
	})
}

func TestMergeAndDiff(t *testing.T) {
	cases := []struct{ name, base, patch, want string }{
		{"a value", `{"a":1,"b":2}`, `{"a":3}`, `{"a":3,"b":2}`},
		{"a removal", `{"a":1,"b":2}`, `{"a":null}`, `{"b":2}`},
		{"a deep value", `{"a":{"x":1,"y":2}}`, `{"a":{"y":3}}`, `{"a":{"x":1,"y":3}}`},
		{"a list as a whole", `{"a":[1,2]}`, `{"a":[3]}`, `{"a":[3]}`},
		{"an object over a value", `{"a":1}`, `{"a":{"x":null,"y":1}}`, `{"a":{"y":1}}`},
	}
	Convey("A patch sets", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				out, err := Merge([]byte(c.base), []byte(c.patch))
				So(err, ShouldBeNil)
				So(string(out), ShouldEqual, c.want)
			})
		}
		Convey("and the difference names the paths", func() {
			d, err := Diff([]byte(`{"a":{"x":1},"b":2}`), []byte(`{"a":{"x":2},"c":3}`))
			So(err, ShouldBeNil)
			So(len(d), ShouldEqual, 3)
			So([]string{d[0].Path, d[1].Path, d[2].Path}, ShouldResemble, []string{"a.x", "b", "c"})
		})
	})
}

// TestOriginIsConcealed checks that the origin of a configuration, which may hold keys, is not shown.
func TestOriginIsConcealed(t *testing.T) {
	Convey("Given documents with origins", t, func() {
		one, two := `{"origin":{"api_keys":["secret-1"]},"note":"a"}`, `{"origin":{"api_keys":["secret-2"]},"note":"a"}`
		Convey("the difference has no values", func() {
			d, err := Diff([]byte(one), []byte(two))
			So(err, ShouldBeNil)
			So(d, ShouldResemble, []Difference{{Path: "origin"}})
			d, err = Diff([]byte(`{"note":"a"}`), []byte(two))
			So(err, ShouldBeNil)
			So(d, ShouldResemble, []Difference{{Path: "origin"}})
		})
		Convey("equal ones have no difference", func() {
			d, err := Diff([]byte(one), []byte(one))
			So(err, ShouldBeNil)
			So(d, ShouldBeEmpty)
		})
		Convey("the redacted document has none, and is not a valid configuration", func() {
			shown, err := Redact([]byte(one))
			So(err, ShouldBeNil)
			So(string(shown), ShouldNotContainSubstring, "secret")
			rules, faults := Compile(shown)
			So(rules, ShouldBeNil)
			So(faults[0].Path, ShouldEqual, "origin")
		})
		Convey("a document without an origin is not changed", func() {
			shown, err := Redact([]byte(validDocument))
			So(err, ShouldBeNil)
			So(string(shown), ShouldEqual, validDocument)
		})
	})
}
