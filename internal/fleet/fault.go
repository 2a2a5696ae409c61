package fleet

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
)

// Step is one fault of a schedule: when it begins, what it does, what it hits and how long it lasts.
type Step struct {
	At       string `json:"at"`  // since the start of the load
	Action   string `json:"do"`  // a key of actions
	Target   string `json:"who"` // a daemon, a zone, or pool/worker; a trailing * matches all with that prefix
	Duration string `json:"for"` // time until it is undone; empty if it is not undone
}

// Schedule is a list of faults, such as the files in examples/faults.
type Schedule struct {
	Note     string `json:"note"`
	Duration string `json:"for"` // how long callers send
	Steps    []Step `json:"steps"`
}

// ReadSchedule reads and validates a schedule of the faults in actions.
func ReadSchedule(file string) (Schedule, error) {
	return ReadScheduleOf(file, func(action string) bool { return actions[action] != nil })
}

// ReadScheduleOf reads and validates a schedule of faults that the caller carries out; isKnown reports which ones there
// are.
func ReadScheduleOf(file string, isKnown func(action string) bool) (Schedule, error) {
	var out Schedule
	raw, err := os.ReadFile(file)
	if err != nil {
		return out, errs.Wrap(err, errs.Invalid, "read schedule")
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, errs.Wrap(err, errs.Invalid, "decode schedule")
	}
	for i, s := range out.Steps {
		for _, text := range []string{s.At, s.Duration} {
			if _, err := time.ParseDuration(text); text != "" && err != nil {
				return out, errs.Wrap(err, errs.Invalid, "schedule step %d: parse duration", i)
			}
		}
		if !isKnown(s.Action) {
			return out, errs.New(errs.Invalid, "schedule step %d: unknown fault %q", i, s.Action)
		}
	}
	return out, nil
}

// actions are the faults by name. Each one injects the fault into the target who and returns a function
// that undoes it.
var actions = map[string]func(ctx context.Context, f *Fleet, who string) (undo func()){
	"kill": killAll,
	"stop": func(_ context.Context, f *Fleet, who string) func() { return f.forEach(who, (*Process).Stop, restart) },
	"freeze": func(_ context.Context, f *Fleet, who string) func() {
		return f.forEach(who, func(p *Process) { p.Signal(syscall.SIGSTOP) }, func(p *Process) { p.Signal(syscall.SIGCONT) })
	},
	"wipe": func(_ context.Context, f *Fleet, who string) func() {
		return f.forEach(who, func(p *Process) {
			p.Kill()
			_ = os.RemoveAll(filepath.Join(f.Dir, p.Name))
		}, restart)
	},
	"kill cell": func(ctx context.Context, f *Fleet, who string) func() {
		undo := []func(){killAll(ctx, f, "cell "+who)}
		for _, b := range f.Backends {
			if b.Zone == who {
				b.Stop()
				undo = append(undo, func() { f.restartBackend(b) })
			}
		}
		return func() {
			for _, u := range undo {
				u()
			}
		}
	},
	"cut cell": func(_ context.Context, f *Fleet, who string) func() {
		f.relays.setIsolated(who, true)
		return func() { f.relays.setIsolated(who, false) }
	},
	"fail":   setMode(ModeFail),
	"crawl":  setMode(ModeSlow),
	"cut":    setMode(ModeTruncate),
	"lose":   setMode(ModeDropAnswer),
	"stall":  setMode(ModeStall),
	"vanish": stopBackends,
	"leave":  drainWorkers,
	"empty":  evacuateZone,
	"retire": func(ctx context.Context, f *Fleet, who string) func() {
		f.postOrFail(ctx, "/v1/stores/"+who+"/retire")
		return func() { f.postOrFail(ctx, "/v1/stores/"+who+"/restore") }
	},
	"upgrade":   func(_ context.Context, f *Fleet, who string) func() { return f.changeBuild(who, f.BinDir) },
	"downgrade": func(_ context.Context, f *Fleet, who string) func() { return f.changeBuild(who, f.OldBinDir) },
	"scribble":  corruptSettings,
	"edit":      func(ctx context.Context, f *Fleet, who string) func() { f.editConfig(ctx, who); return func() {} },
	"flood":     floodLane,
}

// changeBuild restarts daemons one after another with the programs of another build.
func (f *Fleet) changeBuild(target, bin string) func() {
	if bin == "" {
		f.recordFailure("no older build is set to run %s", target)
		return func() {}
	}
	for _, p := range f.matchProcesses(target) {
		p.Stop()
		p.binDir = bin
		if err := p.Start(); err != nil {
			f.recordFailure("start %s with another build: %v", p.Name, err)
		}
		sleep(context.Background(), time.Second)
	}
	return func() {}
}

// restart starts a process again.
func restart(p *Process) { _ = p.Start() }

// matchProcesses returns the daemons that a target names: one by name, all with a prefix (PREFIX*), or all of a zone
// ("cell ZONE").
func (f *Fleet) matchProcesses(target string) []*Process {
	out := []*Process{}
	for _, p := range f.All() {
		zone, isZone := strings.CutPrefix(target, "cell ")
		prefix, isPrefix := strings.CutSuffix(target, "*")
		if p.Name == target || isPrefix && strings.HasPrefix(p.Name, prefix) || isZone && p.Zone == zone {
			out = append(out, p)
		}
	}
	return out
}

// forEach applies do to all daemons that a target names, concurrently. It returns a function that applies undo to
// them, one after another.
func (f *Fleet) forEach(target string, do, undo func(*Process)) func() {
	all := f.matchProcesses(target)
	done := make(chan struct{})
	for _, p := range all {
		go func() { do(p); done <- struct{}{} }()
	}
	for range all {
		<-done
	}
	return func() {
		for _, p := range all {
			undo(p)
		}
	}
}

// killAll kills daemons, and records when adapters were killed.
func killAll(_ context.Context, f *Fleet, target string) func() {
	from := f.Now()
	undo := f.forEach(target, (*Process).Kill, restart)
	for _, p := range f.matchProcesses(target) {
		if p.Kind == "adapter" {
			f.History.AddKill(check.KillWindow{Adapter: p.Name, From: from - killWindow, Until: f.Now() + killWindow})
		}
	}
	return undo
}

// killWindow is the time before and after the kill of an adapter in which the success of a run may be recorded nowhere,
// so that the run may be repeated; see docs/delivery.md.
const killWindow = 50 * time.Millisecond

// postOrFail posts an operator's request, and records a failed step if no manager accepts it within 20 s.
func (f *Fleet) postOrFail(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.api.Post(ctx, path); err != nil {
		f.recordFailure("POST %s: %v", path, err)
	}
}

// stopBackends stops stand-ins; undone, they restart cold.
func stopBackends(_ context.Context, f *Fleet, target string) func() {
	all := f.matchBackends(target)
	for _, b := range all {
		b.Stop()
	}
	return func() {
		for _, b := range all {
			f.restartBackend(b)
		}
	}
}

// restartBackend restarts a stand-in at its address and records a cold start.
func (f *Fleet) restartBackend(b *Backend) {
	from := f.Now()
	if err := b.Start(b.Addr); err != nil {
		f.recordFailure("restart back end %s: %v", b.Key(), err)
		return
	}
	f.recordColdStart(b, from)
}

// matchBackends returns the back ends that a target names: one by key, or all with a prefix (PREFIX*).
func (f *Fleet) matchBackends(target string) []*Backend {
	out := []*Backend{}
	prefix, isPrefix := strings.CutSuffix(target, "*")
	for key, b := range f.Backends {
		if key == target || isPrefix && strings.HasPrefix(key, prefix) {
			out = append(out, b)
		}
	}
	return out
}

// setMode returns a fault that sets the mode of stand-ins; undone, they are healthy again. A fault that no run met is
// recorded as a failed step.
func setMode(m FaultMode) func(context.Context, *Fleet, string) func() {
	return func(_ context.Context, f *Fleet, target string) func() {
		all := f.matchBackends(target)
		faultyRuns := int64(0)
		for _, b := range all {
			faultyRuns -= b.faultyRuns.Load()
			b.SetMode(m)
		}
		return func() {
			for _, b := range all {
				b.SetMode(ModeHealthy)
				faultyRuns += b.faultyRuns.Load()
			}
			if faultyRuns == 0 && !f.IsRandomSchedule { // a random schedule may hit a worker that another fault keeps idle
				f.recordFailure("no run reached %s during its fault", target)
			}
		}
	}
}
