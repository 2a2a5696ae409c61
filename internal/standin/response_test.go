package standin

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAnswerForms guards against workers whose responses all have the same size and framing: limits that only a long
// response exceeds would never be exercised.
func TestAnswerForms(t *testing.T) {
	Convey("Every shape of response occurs among 1000 messages, and a message always has the same shape", t, func() {
		seen := map[responseShape]int{}
		for i := range 1000 {
			id := fmt.Sprintf("m-%d", i)
			form := responseShapeOf(id)
			So(responseShapeOf(id), ShouldResemble, form)
			seen[form]++
		}
		So(len(seen), ShouldEqual, 2*len(oddBodySizes)+2)
		for form, count := range seen {
			var out bytes.Buffer
			So(form.write(&out), ShouldBeNil)
			So(out.Len(), ShouldEqual, form.size)
			So(count, ShouldBeGreaterThan, 0)
		}
	})
}
