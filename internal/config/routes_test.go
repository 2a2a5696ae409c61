package config

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const routedDocument = `{"version":7,"origin":{"a":1},"pools":{"p":{"bound":"2s","cold_rate":4,"repeats":true}},
 "lanes":{"a":{"pools":["p"],"host":"x.example","prefix":"/a/","bound":"700ms","notify":true,"spends":"failures","bytes":"success","witness":false},
  "ab":{"pools":["p"],"host":"x.example","prefix":"/a/b/"},"other":{"pools":["p"],"host":"y.example","prefix":"/a/"},
  "any":{"pools":["p"],"prefix":"/any/"},"named":{"pools":["p"]}}}`

// TestWays checks that plain HTTP requests find their lane by host and longest path prefix, and that no other
// request finds one.
func TestWays(t *testing.T) {
	rules, faults := Compile([]byte(routedDocument))
	cases := []struct{ name, host, path, lane string }{
		{"a prefix", "x.example", "/a/1", "a"},
		{"the longest prefix", "x.example", "/a/b/1", "ab"},
		{"the host with a port", "x.example:80", "/a/1", "a"},
		{"the host in capitals", "X.Example", "/a/1", "a"},
		{"another host", "y.example", "/a/b/1", "other"},
		{"any host", "z.example", "/any/1", "any"},
		{"an unknown host", "z.example", "/a/1", ""},
		{"an unknown path", "x.example", "/b", ""},
		{"less than the prefix", "x.example", "/a", ""},
	}
	Convey("The right lane, or none, is found for", t, func() {
		So(faults, ShouldBeEmpty)
		for _, c := range cases {
			Convey(c.name, func() {
				lane, isFound := rules.Route(c.host, c.path)
				So(lane.Name, ShouldEqual, c.lane)
				So(isFound, ShouldEqual, c.lane != "")
			})
		}
	})
	Convey("The run timeout of a lane overrides that of the pool", t, func() {
		So(rules.RunTimeoutMs("a", "p"), ShouldEqual, 700)
		So(rules.RunTimeoutMs("ab", "p"), ShouldEqual, 2000)
		So(rules.Version, ShouldEqual, 7)
	})
	Convey("Two lanes cannot share a host and prefix", t, func() {
		_, faults := Compile([]byte(`{"pools":{"p":{}},"lanes":{"a":{"pools":["p"],"prefix":"/a/"},"b":{"pools":["p"],"prefix":"/a/"}}}`))
		So(len(faults), ShouldEqual, 1)
	})
}
