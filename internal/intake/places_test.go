package intake_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/intake"
	"caperwheel/platform"
)

// TestOperationKeysNameTheirPlaces guards against rule TWICE: a repeat of a message went to another place than the
// first send.
func TestOperationKeysNameTheirPlaces(t *testing.T) {
	Convey("Each of many operation keys maps to one place, and all together to many", t, func() {
		places, other := map[int64]bool{}, map[int64]bool{}
		for i := range 40 {
			fields := map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": fmt.Sprint("op", i)}
			serve, takes := newFronts(2, tenantConfig, held)
			for _, front := range serve {
				So(send(front, "/a/b", fields).Code, ShouldEqual, 202)
			}
			So(takes[0]()[0].Place, ShouldEqual, takes[1]()[0].Place)
			places[takes[0]()[0].Place] = true
			fields["Authorization"] = "Bearer key-3"
			So(send(serve[0], "/a/b", fields).Code, ShouldEqual, 202)
			other[takes[0]()[1].Place] = true
			_, own, _ := strings.Cut(takes[0]()[0].Id, "-")
			_, others, _ := strings.Cut(takes[0]()[1].Id, "-")
			So(own, ShouldNotEqual, others) // the two may share a place
		}
		So(len(places), ShouldBeGreaterThan, 10)
		So(len(other), ShouldBeGreaterThan, 10)
	})
}

// routesOver returns tenantConfig with another version and with more routes, which may overlap the existing ones.
func routesOver(version int, routes ...string) string {
	doc := strings.Replace(tenantConfig, `"version":3,"routes":[`, fmt.Sprintf(`"version":%d,"routes":[%s`, version, strings.Join(append(routes, ""), ",")), 1)
	return strings.Replace(doc, `"services":[{"name":"s"}]`, `"services":[{"name":"s"},{"name":"other"}]`, 1)
}

// TestPlacesOutliveTheConfiguration guards against rule TWICE: a route was added over the path of messages that are
// sent again, ordered where the other was not. It sent their repeats to other places, which did not know the first
// sends.
func TestPlacesOutliveTheConfiguration(t *testing.T) {
	over := func(fields string) string {
		return `{"name":"r-x","hostname":"x.example","path_prefix":"/a/x/","timeout_ms":2000,` + fields + `}`
	}
	changes := []struct{ name, doc string }{
		{"a route is added over its path", routesOver(5, over(`"service":"s"`))},
		{"an ordered route is added over its path", routesOver(6, over(`"service":"s","ordered":true`))},
		{"that route's service changes", routesOver(7, over(`"service":"other","ordered":true`))},
		{"that route becomes public", routesOver(8, over(`"service":"other","ordered":true,"public_access":true`))},
		{"that route is no longer ordered", routesOver(9, over(`"service":"other","public_access":true`))},
		{"that route is removed", routesOver(10)},
		{"the original route becomes ordered", strings.Replace(routesOver(11), `"path_prefix":"/a/",`, `"path_prefix":"/a/","ordered":true,`, 1)},
		{"the original route loses its host name", strings.Replace(routesOver(12), `"hostname":"x.example","path_prefix":"/a/"`, `"hostname":"","path_prefix":"/a/"`, 1)},
		{"the tenant gets another key", strings.Replace(routesOver(13), `["key-1","key-2"]`, `["key-1"]`, 1)},
	}
	for _, order := range []string{"", "vent 4"} {
		Convey(fmt.Sprintf("A message that is sent again, with the ordering key %q, has the place and id of its first send when", order), t, func() {
			rules, err := platform.TranslateConfig([]byte(tenantConfig), time.Minute)
			So(err, ShouldBeNil)
			in, takes := intake.NewTestIntake(intake.TestSetup{Take: held, MaxInFlight: 9, Rules: string(rules)})
			serve := in.PassthroughHandler(platform.IntakeCodec)
			for op := range 12 {
				fields := map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": fmt.Sprint("op", op), "X-Order-Key": order}
				So(send(serve, "/a/x/1", fields).Code, ShouldEqual, 202)
			}
			for _, c := range changes {
				Convey(c.name, func() {
					rules, err := platform.TranslateConfig([]byte(c.doc), time.Minute)
					So(err, ShouldBeNil)
					intake.UpdateConfig(in, string(rules))
					for op := range 12 {
						fields := map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": fmt.Sprint("op", op), "X-Order-Key": order}
						So(send(serve, "/a/x/1", fields).Code, ShouldEqual, 202)
						first, again := takes()[op], takes()[12+op]
						So([]any{again.Place, again.Id}, ShouldResemble, []any{first.Place, first.Id})
					}
				})
			}
		})
	}
}
