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
	At  string `json:"at"`  // since the load began
	Do  string `json:"do"`  // see actions
	Who string `json:"who"` // a daemon, a zone, or pool/worker; a trailing * takes all that start so
	For string `json:"for"` // how long until it is undone; empty for not at all
}

// Schedule is a named list of faults, kept in the repo.
type Schedule struct {
	Note  string `json:"note"`
	For   string `json:"for"` // how long callers send
	Steps []Step `json:"steps"`
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
		for _, text := range []string{s.At, s.For} {
			if _, err := time.ParseDuration(text); text != "" && err != nil {
				return out, errs.Wrap(err, errs.Invalid, "step %d", i)
			}
		}
		if !isKnown(s.Do) {
			return out, errs.New(errs.Invalid, "step %d: no fault is called %q", i, s.Do)
		}
	}
	return out, nil
}

// actions cause a fault and give back what undoes it.
var actions = map[string]func(ctx context.Context, f *Fleet, who string) (undo func()){
	"kill": killAll,
	"stop": func(_ context.Context, f *Fleet, who string) func() { return f.each(who, (*Process).Stop, restart) },
	"freeze": func(_ context.Context, f *Fleet, who string) func() {
		return f.each(who, func(p *Process) { p.Signal(syscall.SIGSTOP) }, func(p *Process) { p.Signal(syscall.SIGCONT) })
	},
	"wipe": func(_ context.Context, f *Fleet, who string) func() {
		return f.each(who, func(p *Process) {
			p.Kill()
			_ = os.RemoveAll(filepath.Join(f.Dir, p.Name))
		}, restart)
	},
	"kill cell": func(ctx context.Context, f *Fleet, who string) func() {
		undo := []func(){killAll(ctx, f, "cell "+who)}
		for _, b := range f.Backends {
			if b.Zone == who {
				b.Stop()
				undo = append(undo, func() { f.back(b) })
			}
		}
		return func() {
			for _, u := range undo {
				u()
			}
		}
	},
	"cut cell": func(_ context.Context, f *Fleet, who string) func() {
		f.relays.set(who, true)
		return func() { f.relays.set(who, false) }
	},
	"fail":   behave(Fail),
	"crawl":  behave(Crawl),
	"cut":    behave(Cut),
	"lose":   behave(Lose),
	"stall":  behave(Stall),
	"vanish": vanish,
	"leave":  leave,
	"empty":  empty,
	"retire": func(ctx context.Context, f *Fleet, who string) func() {
		f.post(ctx, "/v1/stores/"+who+"/retire")
		return func() { f.post(ctx, "/v1/stores/"+who+"/restore") }
	},
	"upgrade":   func(_ context.Context, f *Fleet, who string) func() { return f.change(who, f.Bin) },
	"downgrade": func(_ context.Context, f *Fleet, who string) func() { return f.change(who, f.OldBin) },
	"scribble":  scribble,
	"edit":      func(ctx context.Context, f *Fleet, who string) func() { f.editConfig(ctx, who); return func() {} },
	"flood":     flood,
}

// change restarts daemons, one after another, as programs of another build.
func (f *Fleet) change(who, bin string) func() {
	if bin == "" {
		f.failed("there is no older build to run %s from", who)
		return func() {}
	}
	for _, p := range f.match(who) {
		p.Stop()
		p.bin = bin
		if err := p.Start(); err != nil {
			f.failed("%s: %v", p.Name, err)
		}
		pause(context.Background(), time.Second)
	}
	return func() {}
}

func restart(p *Process) { _ = p.Start() }

// match lists the daemons that who names: one, all of a prefix, all of a zone.
func (f *Fleet) match(who string) []*Process {
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

func (f *Fleet) each(who string, do, undo func(*Process)) func() {
	all := f.match(who)
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
	undo := f.each(who, (*Process).Kill, restart)
	for _, p := range f.match(who) {
		if p.Kind == "adapter" {
			f.History.AddLost(check.Window{Adapter: p.Name, From: from - lostWindow, Until: f.Now() + lostWindow})
		}
	}
	return undo
}

// lostWindow: a run that ended so shortly before or after its adapter was
// killed may be known to nobody; see docs/delivery.md.
const lostWindow = 50 * time.Millisecond

// post has an operator's call count as failed if no manager carries it out.
func (f *Fleet) post(ctx context.Context, path string) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := f.api.Post(ctx, path); err != nil {
		f.failed("%s: %v", path, err)
	}
}

func vanish(_ context.Context, f *Fleet, who string) func() {
	all := f.backends(who)
	for _, b := range all {
		b.Stop()
	}
	return func() {
		for _, b := range all {
			f.back(b)
		}
	}
}

// back has a stand-in come back where it was, cold.
func (f *Fleet) back(b *Backend) {
	from := f.Now()
	if err := b.Start(b.Addr); err != nil {
		f.failed("%s does not come back: %v", b.Key(), err)
		return
	}
	f.comesCold(b, from)
}

func (f *Fleet) backends(who string) []*Backend {
	out := []*Backend{}
	prefix, isPrefix := strings.CutSuffix(who, "*")
	for key, b := range f.Backends {
		if key == who || isPrefix && strings.HasPrefix(key, prefix) {
			out = append(out, b)
		}
	}
	return out
}

func behave(m Mode) func(context.Context, *Fleet, string) func() {
	return func(_ context.Context, f *Fleet, who string) func() {
		all := f.backends(who)
		met := int64(0)
		for _, b := range all {
			met -= b.met.Load()
			b.Behave(m)
		}
		return func() {
			for _, b := range all {
				b.Behave(Well)
				met += b.met.Load()
			}
			if met == 0 && !f.IsDrawn { // a drawn schedule may hurt a worker that another fault keeps idle
				f.failed("no run met %s while it behaved oddly", who)
			}
		}
	}
}
