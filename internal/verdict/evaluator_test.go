package main

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// packageStream returns a package's output: each test with its result, then the package's summary line and its result.
func packageStream(tests, said, result string) string {
	out := `{"Action":"start","Package":"caperwheel/internal/a"}` + "\n"
	for _, test := range strings.Fields(tests) {
		name, result, _ := strings.Cut(test, "=")
		out += `{"Action":"run","Package":"caperwheel/internal/a","Test":"` + name + `"}` + "\n"
		out += `{"Action":"output","Package":"caperwheel/internal/a","Test":"` + name + `/part","Output":"said\n"}` + "\n"
		if result != "" {
			out += `{"Action":"` + result + `","Package":"caperwheel/internal/a","Test":"` + name + `"}` + "\n"
		}
	}
	out += `{"Action":"output","Package":"caperwheel/internal/a","Output":"` + said + `\n"}` + "\n"
	return out + `{"Action":"` + result + `","Package":"caperwheel/internal/a"}` + "\n"
}

// TestVerdict checks which results fail a run.
func TestVerdict(t *testing.T) {
	const one = "internal/a/TestX, it is slow, and known, #7\n"
	cases := []struct {
		name, known, stream string
		isFine              bool // whether the command succeeded
		failures            string
	}{
		{"all pass", "", packageStream("TestX=pass", "PASS", "pass"), true, ""},
		{"one fails", "", packageStream("TestX=fail TestY=pass", "FAIL", "fail"), false, "failed: caperwheel/internal/a/TestX"},
		{"a known one fails", one, packageStream("TestX=fail TestY=pass", "FAIL", "fail"), false, ""},
		{"a known and another one fail", one, packageStream("TestX=fail TestY=fail", "FAIL", "fail"), false, "failed: caperwheel/internal/a/TestY"},
		{"a known one passes", one, packageStream("TestX=pass", "PASS", "pass"), true, "it does not fail: internal/a/TestX"},
		{"a known one is skipped", one, packageStream("TestX=skip", "PASS", "pass"), true, "it does not fail: internal/a/TestX"},
		{"a known one does not exist", one, packageStream("TestY=pass", "PASS", "pass"), true, "no such test: internal/a/TestX"},
		{"a known one without a package", "TestX, c, #1", packageStream("TestX=fail", "FAIL", "fail"), false, "no such test: TestX; failed: caperwheel/internal/a/TestX"},
		{"a known one ends the whole package", one, packageStream("TestX=fail", "panic: x", "fail"), false, "failed as a whole: caperwheel/internal/a"},
		{"one never ends", "", packageStream("TestX=", "panic: timed out", "fail"), false, "never ended: caperwheel/internal/a/TestX; failed as a whole"},
		{"a package does not build", one, packageStream("TestX=fail", "FAIL", "fail") + `{"Action":"fail","Package":"caperwheel/internal/b"}`, false,
			"failed as a whole: caperwheel/internal/b"},
		{"a package's output ends early", "", `{"Action":"start","Package":"caperwheel/internal/b"}`, false, "failed as a whole: caperwheel/internal/b"},
		{"nothing runs", "", "", true, "could not be run"},
		{"the command fails by itself", "", packageStream("TestX=pass", "PASS", "pass"), false, "could not be run"},
	}
	Convey("A run in which", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				known, err := parseKnownFailures(c.known, c.known != "")
				So(err, ShouldBeNil)
				printed := ""
				j := &evaluator{knownFailures: known, print: func(text string) { printed += text }, packages: map[string]*packageResult{}}
				for line := range strings.Lines(c.stream) {
					j.readLine(strings.TrimSpace(line))
				}
				failures := strings.Join(j.failures(c.isFine), "; ")
				So(failures == "", ShouldEqual, c.failures == "")
				for want := range strings.SplitSeq(c.failures, "; ") {
					So(failures, ShouldContainSubstring, want)
				}
				So(strings.Contains(printed, "known to be red: internal/a/TestX: it is slow, and known (#7)"), ShouldEqual,
					c.known == one && strings.Contains(c.stream, `"fail","Package":"caperwheel/internal/a","Test":"TestX"`))
			})
		}
	})
	Convey("A list is refused that", t, func() {
		for name, text := range map[string]string{"is empty": "", "lacks the issue": "internal/a/TestX, cause", "lacks the cause": "a/TestX, , #1",
			"has a blank line": one + "\n" + one} {
			Convey(name, func() {
				_, err := parseKnownFailures(text, true)
				So(err, ShouldNotBeNil)
			})
		}
	})
}
