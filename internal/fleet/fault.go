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

// Step is one fault of a schedule, or its end.
type Step struct {
	At       string `json:"at"`  // since the load began
	Action   string `json:"do"`  // see actions
	Target   string `json:"who"` // a daemon, a zone, or pool/worker; a trailing * takes all that start so
	Duration string `json:"for"` // how long until it is undone; empty for not at all
}

// Schedule is a named list of faults, kept in the repo.
type Schedule struct {
	Note     string `json:"note"`
	Duration string `json:"for"` // how long callers send
	Steps    []Step `json:"steps"`
}

// ReadSchedule reads and checks a schedule.
func ReadSchedule(file string) (Schedule, error) {
	return ReadScheduleOf(file, func(do string) bool { return actions[do] != nil })
}

// ReadScheduleOf reads a schedule of faults that somebody else causes.
func ReadScheduleOf(file string, isKnown func(do string) bool) (Schedule, error) {
	var out Schedule
	raw, err := os.ReadFile(file)
	if err != nil {
		return out, errs.Wrap(err, errs.Invalid, "schedule")
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, errs.Wrap(err, errs.Invalid, "schedule")
	}
	for i, s := range out.Steps {
		for _, text := range []string{s.At, s.Duration} {
			if _, err := time.ParseDuration(text); text != "" && err != nil {
				return out, errs.Wrap(err, errs.Invalid, "step %d", i)
			}
		}
		if !isKnown(s.Action) {
			return out, errs.New(errs.Invalid, "step %d: no fault is called %q", i, s.Action)
		}
	}
	return out, nil
}

// actions cause a fault and give back what undoes it.
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

// changeBuild restarts daemons, one after another, as programs of another build.
func (f *Fleet) changeBuild(who, bin string) func() {
	if bin == "" {
		f.recordFailure("there is no older build to run %s from", who)
		return func() {}
	}
	for _, p := range f.matchProcesses(who) {
		p.Stop()
		p.binDir = bin
		if err := p.Start(); err != nil {
			f.recordFailure("%s: %v", p.Name, err)
		}
		sleep(context.Background(), time.Second)
	}
	return func() {}
}

func restart(p *Process) { _ = p.Start() }

// matchProcesses lists the daemons that who names: one, all of a prefix, all of a zone.
func (f *Fleet) matchProcesses(who string) []*Process {
	out := []*Process{}
	for _, p := range f.All() {
		zone, isZone := strings.CutPrefix(who, "cell ")
		prefix, isPrefix := strings.CutSuffix(who, "*")
		if p.Name == who || isPrefix && strings.HasPrefix(p.Name, prefix) || isZone && p.Zone == zone {
			out = append(out, p)
		}
	}
	return out
}

func (f *Fleet) forEach(who string, do, undo func(*Process)) func() {
	all := f.matchProcesses(who)
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

func killAll(_ context.Context, f *Fleet, who string) func() {
	from := f.Now()
	undo := f.forEach(who, (*Process).Kill, restart)
	for _, p := range f.matchProcesses(who) {
		if p.Kind == "adapter" {
			f.History.AddKill(check.KillWindow{Adapter: p.Name, From: from - killWindow, Until: f.Now() + killWindow})
		}
	}
	return undo
}

// killWindow: a run that ended so shortly before or after its adapter was
// killed may be known to nobody; see docs/delivery.md.
const killWindow = 50 * time.Millisecond

// postOrFail has an operator's call count as failed if no manager carries it out.
func (f *Fleet) postOrFail(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.api.Post(ctx, path); err != nil {
		f.recordFailure("%s: %v", path, err)
	}
}

func stopBackends(_ context.Context, f *Fleet, who string) func() {
	all := f.matchBackends(who)
	for _, b := range all {
		b.Stop()
	}
	return func() {
		for _, b := range all {
			f.restartBackend(b)
		}
	}
}

// restartBackend has a stand-in come back where it was, cold.
func (f *Fleet) restartBackend(b *Backend) {
	from := f.Now()
	if err := b.Start(b.Addr); err != nil {
		f.recordFailure("%s does not come back: %v", b.Key(), err)
		return
	}
	f.recordColdStart(b, from)
}

func (f *Fleet) matchBackends(who string) []*Backend {
	out := []*Backend{}
	prefix, isPrefix := strings.CutSuffix(who, "*")
	for key, b := range f.Backends {
		if key == who || isPrefix && strings.HasPrefix(key, prefix) {
			out = append(out, b)
		}
	}
	return out
}

func setMode(m FaultMode) func(context.Context, *Fleet, string) func() {
	return func(_ context.Context, f *Fleet, who string) func() {
		all := f.matchBackends(who)
		met := int64(0)
		for _, b := range all {
			met -= b.faultyRuns.Load()
			b.SetMode(m)
		}
		return func() {
			for _, b := range all {
				b.SetMode(ModeHealthy)
				met += b.faultyRuns.Load()
			}
			if met == 0 && !f.IsRandomSchedule { // a drawn schedule may hurt a worker that another fault keeps idle
				f.recordFailure("no run met %s while it behaved oddly", who)
			}
		}
	}
}
