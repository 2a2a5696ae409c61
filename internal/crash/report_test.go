package crash

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestParse checks what is read from the output of a crash.
func TestParse(t *testing.T) {
	cases := []struct{ name, printed, cause, first string }{
		{"nothing", "", Silent, ""},
		{"blank lines", "\n\n  \n", Silent, ""},
		{"a signal", "SIGABRT: abort\nPC=0x4 m=0 sigcode=0\n\ngoroutine 0:\nrip    0x40bece\n", "SIGABRT", "SIGABRT: abort"},
		{"a signal that came as a panic", "panic: runtime error: nil pointer\n[signal SIGSEGV: segmentation violation code=0x1]\n", "SIGSEGV",
			"panic: runtime error: nil pointer"},
		{"a panic", "panic: oops\n\ngoroutine 1 [running]:\n", Panic, "panic: oops"},
		{"a panic that quotes a signal", "panic: oops SIGSEGV: no\n", Panic, "panic: oops SIGSEGV: no"},
		{"a fatal error", "fatal error: all goroutines are asleep - deadlock!\n", FatalError, "fatal error: all goroutines are asleep - deadlock!"},
		{"a panic during another one", "panic: a\nfatal error: b\n", Panic, "panic: a"},
		{"a signal within a fatal error", "fatal error: unexpected signal\n[signal SIGBUS: bus error]\n", "SIGBUS", "fatal error: unexpected signal"},
		{"output without its beginning", "1 [running]:\nmain.main()\n", Unreadable, "1 [running]:"},
		{"other bytes", "\x00\xff\x01abc\xfe\n", Unreadable, "abc"},
		{"zeros alone, as after a power loss", strings.Repeat("\x00", 4096), Silent, ""},
		{"a line that never ends", strings.Repeat("x", 10*maxOutputBytes), Unreadable, strings.Repeat("x", maxLineBytes)},
	}
	Convey("From what a process printed when it died, the report has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				report := Parse([]byte(c.printed))
				So(report.Cause, ShouldEqual, c.cause)
				if c.first == "" {
					So(report.Lines, ShouldBeEmpty)
					So(report.String(), ShouldEqual, c.cause)
					return
				}
				So(report.Lines[0], ShouldEqual, c.first)
				So(report.String(), ShouldStartWith, c.cause+": "+c.first)
			})
		}
		Convey("no more than the first lines", func() {
			So(Parse([]byte(strings.Repeat("line\n", 100))).Lines, ShouldHaveLength, maxLines)
		})
	})
}

// FuzzParse checks that any input gives a report within its bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte("SIGILL: illegal instruction\n"))
	f.Fuzz(func(t *testing.T, printed []byte) {
		report := Parse(printed)
		if report.Cause == "" || len(report.Lines) > maxLines {
			t.Fatalf("output %q gives the report %+v", printed, report)
		}
		for _, line := range report.Lines {
			if len(line) > maxLineBytes || line == "" {
				t.Fatalf("output %q gives the report line %q", printed, line)
			}
		}
	})
}
