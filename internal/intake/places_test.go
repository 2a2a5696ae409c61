package intake_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestOperationKeysNameTheirPlaces guards against TWICE: a repeat of a message was put to another place than the first send.
func TestOperationKeysNameTheirPlaces(t *testing.T) {
	Convey("Each of many operation keys names one place, and all together many", t, func() {
		places, other := map[int64]bool{}, map[int64]bool{}
		for i := range 40 {
			fields := map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": fmt.Sprint("op", i)}
			serve, takes := fronts(2, tenanted, held)
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
			So(own, ShouldNotEqual, others) // the two may have one place
		}
		So(len(places), ShouldBeGreaterThan, 10)
		So(len(other), ShouldBeGreaterThan, 10)
	})
}
