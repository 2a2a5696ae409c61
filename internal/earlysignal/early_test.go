package earlysignal

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEarly guards against a SIGHUP ending a daemon while its packages are initialized. It reads the order of
// initialization from the runtime's trace.
func TestEarly(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("This package is initialized right after os/signal in", t, func() {
		for _, daemon := range []string{"adapter", "agent", "manager", "store"} {
			Convey(daemon, func() {
				program := filepath.Join(dir, daemon)
				build := exec.CommandContext(ctx, "go", "build", "-o", program, "../../cmd/"+daemon)
				out, err := build.CombinedOutput()
				So(string(out), ShouldBeEmpty)
				So(err, ShouldBeNil)
				run := exec.CommandContext(ctx, program, "--help")
				run.Env = append(os.Environ(), "GODEBUG=inittrace=1")
				out, err = run.CombinedOutput()
				So(err, ShouldBeNil)
				order := []string{}
				for line := range strings.Lines(string(out)) {
					if name, isInit := strings.CutPrefix(line, "init "); isInit {
						name, _, _ = strings.Cut(name, " ")
						order = append(order, name)
					}
				}
				at := slices.Index(order, "os/signal")
				So(at, ShouldBeBetween, 0, len(order)-1)
				So(order[at+1], ShouldEqual, "caperwheel/internal/earlysignal")
			})
		}
	})
}
