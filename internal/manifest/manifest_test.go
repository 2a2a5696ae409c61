package manifest

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// base is the configuration that manifests are merged into.
const base = `{"pools":{"p":{},"q":{}},"lanes":{"a":{"pools":["p"],"urgency":7},"t":{"pools":["p"],"children":{"x":{}}}}}`

// route is a valid manifest.
const route = `apiVersion: gateway.networking.k8s.io/v1
kind: HTTPRoute
metadata:
  name: alerts
  labels: {team: growers}
spec:
  parentRefs: [{name: caperwheel}]
  rules:
  - matches:
    - path: {type: Exact, value: /v1/lanes/t.x/messages}
    - path: {type: Exact, value: /v1/lanes/n/messages}
    backendRefs: [{name: q}, {name: p}]
    timeouts: {request: 90s}
    retry: {attempts: 4, backoff: 500ms}
`

// TestRoutes checks which manifests are accepted.
func TestRoutes(t *testing.T) {
	Convey("A route becomes lanes in addition to those of the configuration", t, func() {
		doc, faults := Translate([]byte(base), []byte("---\n"+route+"---\n"))
		So(faults, ShouldBeEmpty)
		rules, found := config.Compile(doc)
		So(found, ShouldBeEmpty)
		for _, name := range []string{"t.x", "n"} {
			lane := rules.Lanes[name]
			So(lane.Pools, ShouldResemble, []string{"q", "p"})
			So(lane.Patience.String(), ShouldEqual, "1m30s")
			So(lane.MaxAttempts, ShouldEqual, 5)
			So(lane.Backoff.String(), ShouldEqual, "500ms")
		}
		So(rules.Lanes["a"].Urgency, ShouldEqual, 7)
		again, faults := Translate(doc, []byte(route))
		So(faults, ShouldBeEmpty)
		same, err := config.Diff(doc, again)
		So(err, ShouldBeNil)
		So(same, ShouldBeEmpty)
	})
	cases := []struct{ name, from, to, path string }{
		{"another kind", "HTTPRoute", "GRPCRoute", "documents.0.kind"},
		{"another version", "/v1\nkind", "/v1beta1\nkind", "documents.0.kind"},
		{"an unknown field", "labels:", "lables:", "documents.0"},
		{"another parent", "name: caperwheel", "name: other", "documents.0.spec.parentRefs.0.name"},
		{"a host name", "rules:\n", "hostnames: [x.example]\n  rules:\n", "documents.0.spec.hostnames.0"},
		{"a prefix", "type: Exact, value: /v1/lanes/n", "type: PathPrefix, value: /v1/lanes/n", "documents.0.spec.rules.0.matches.1.path"},
		{"a path that names no lane", "/v1/lanes/n/messages", "/n", "documents.0.spec.rules.0.matches.1.path"},
		{"no back end", "    backendRefs: [{name: q}, {name: p}]\n", "", "documents.0.spec.rules.0.backendRefs"},
		{"a weight, which the system tunes itself", "{name: q}", "{name: q, weight: 3}", "documents.0.spec.rules.0.backendRefs.0.weight"},
		{"a port", "{name: q}", "{name: q, port: 80}", "documents.0.spec.rules.0.backendRefs.0.port"},
		{"a time-out of the back end", "request: 90s", "request: 90s, backendRequest: 1s", "documents.0.spec.rules.0.timeouts.backendRequest"},
		{"codes to retry", "attempts: 4", "attempts: 4, codes: [503]", "documents.0.spec.rules.0.retry.codes.0"},
		{"a method", "value: /v1/lanes/n/messages}", "value: /v1/lanes/n/messages}\n      method: POST", "documents.0.spec.rules.0.matches.1.method"},
	}
	Convey("A manifest is refused, with the path of the fault, that has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(route, ShouldContainSubstring, c.from)
				doc, faults := Translate([]byte(base), []byte(strings.Replace(route, c.from, c.to, 1)))
				So(doc, ShouldBeNil)
				paths := []string{}
				for _, f := range faults {
					paths = append(paths, f.Path)
				}
				So(paths, ShouldContain, c.path)
			})
		}
	})
}
