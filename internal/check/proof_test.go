package check

import (
	"os"
	"os/exec"
	"regexp"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestProofNames checks that every test, schedule and simulated fault that docs/proof.md, docs/control.md,
// docs/control-check.md and docs/platform.md name exists.
func TestProofNames(t *testing.T) {
	Convey("Every test, schedule and fault that the pages name exists", t, func() {
		page, err := os.ReadFile("../../docs/proof.md")
		So(err, ShouldBeNil)
		for _, other := range []string{"control", "control-check", "platform"} {
			more, err := os.ReadFile("../../docs/" + other + ".md")
			So(err, ShouldBeNil)
			page = append(page, more...)
		}
		tests, err := exec.Command("grep", "-rhoE", "--include=*_test.go", `^func Test[A-Za-z0-9]+`, "../..").Output()
		So(err, ShouldBeNil)
		faults, err := exec.Command("grep", "-rhoE", `^	"[a-z -]+":`, "../sim").Output()
		So(err, ShouldBeNil)
		nameCount := 0
		for _, found := range regexp.MustCompile("`(?:[a-z]+/)?(Test[A-Za-z0-9]+)`").FindAllSubmatch(page, -1) {
			nameCount++
			So(string(tests), ShouldContainSubstring, "func "+string(found[1])+"\n")
		}
		for _, list := range regexp.MustCompile("schedules? ((?:`[a-z]+`(?:, )?)+)").FindAllSubmatch(page, -1) {
			for _, found := range regexp.MustCompile("`([a-z]+)`").FindAllSubmatch(list[1], -1) {
				nameCount++
				_, err := os.Stat("../../examples/faults/" + string(found[1]) + ".json")
				So(err, ShouldBeNil)
			}
		}
		for _, list := range regexp.MustCompile(`sim (?:place|control) ("[a-z -]+"(?:, )?)+`).FindAll(page, -1) {
			for _, found := range regexp.MustCompile(`"[a-z -]+"`).FindAll(list, -1) {
				nameCount++
				So(string(faults), ShouldContainSubstring, string(found)+":")
			}
		}
		So(nameCount, ShouldBeGreaterThan, 60)
	})
}
