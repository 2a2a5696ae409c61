package standin

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// TestSoakEndsWhenAsked guards against a soak that ignores the end of its context: a large soak once went on querying
// messages for minutes after it was cancelled, and its processes had to be killed.
func TestSoakEndsWhenAsked(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("A cancelled soak ends, and so do all processes that it has started", t, func() {
		bin := filepath.Join(dir, "bin")
		So(fleet.Build(ctx, "../..", bin, false), ShouldBeNil)
		for _, phase := range []string{"called", "well again"} { // during the load, and during the final queries
			cancellable, cancelSoak := context.WithCancel(ctx)
			span := MinSoakDuration
			if phase == "called" {
				span = time.Hour
				time.AfterFunc(8*time.Second, cancelSoak)
			}
			_, err := Soak(cancellable, SoakOptions{Seed: 4, For: span, Processes: MinProcesses, Bin: bin, Dir: filepath.Join(dir, phase),
				Progress: func(form string, _ ...any) {
					if strings.Contains(form, phase) {
						cancelSoak()
					}
				}}, io.Discard)
			So(errs.Is(err, errs.DeadlineExceeded), ShouldBeTrue)
			So(ctx.Err(), ShouldBeNil)
			So(runningIn(bin), ShouldEqual, 0)
			cancelSoak()
		}
	})
}

// runningIn counts the processes whose program is in a directory.
func runningIn(bin string) (count int) {
	links, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, link := range links {
		if program, err := os.Readlink(link); err == nil && strings.HasPrefix(program, bin+"/") {
			count++
		}
	}
	return count
}

// TestNothingRan guards against a soak that passes although no message of a route has run: a large soak once counted
// as clean although none of the messages of two routes ran.
func TestNothingRan(t *testing.T) {
	Convey("A soak in which no message of a route ran records a failure", t, func() {
		s := &Site{History: NewHistory()}
		for i := range minJudgedMessages {
			for _, lane := range []string{"served", "idle"} {
				s.History.Sent = append(s.History.Sent, newSubmission(fmt.Sprint(lane, i), lane, "", 0, check.Taken, 0))
			}
		}
		s.History.Runs = append(s.History.Runs, newRun("served3", "p", "w", 1*time.Second, 2*time.Second, 200))
		s.requireRuns()
		So(s.Failures, ShouldHaveLength, 1)
		So(s.Failures[0], ShouldContainSubstring, "of idle were accepted and none ran")
	})
	Convey("A soak with a disruption that never ended records a failure", t, func() {
		s := &Site{History: NewHistory()}
		s.History.Disruptions = []Disruption{{Daemon: "front-1", From: 3 * time.Second}, {Daemon: "front-2", From: 3 * time.Second, IsPermanent: true}}
		s.requireRecovery()
		So(s.Failures, ShouldHaveLength, 1)
		So(s.Failures[0], ShouldContainSubstring, "front-1 since 3s")
	})
}
