package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/charter"
	"caperwheel/internal/check"
	"caperwheel/internal/mishap"
)

// Step is one fault of a schedule, or its end.
type Step struct {
	At  string `json:"at"`  // since the load began
	Do  string `json:"do"`  // see doers
	Who string `json:"who"` // a daemon, a cell, or pool/worker; a trailing * takes all that start so
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
	var out Schedule
	raw, err := os.ReadFile(file)
	if err != nil {
		return out, mishap.Wrap(err, mishap.Invalid, "schedule")
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, mishap.Wrap(err, mishap.Invalid, "schedule")
	}
	for i, s := range out.Steps {
		for _, text := range []string{s.At, s.For} {
			if _, err := time.ParseDuration(text); text != "" && err != nil {
				return out, mishap.Wrap(err, mishap.Invalid, "step %d", i)
			}
		}
		if doers[s.Do] == nil {
			return out, mishap.New(mishap.Invalid, "step %d: no fault is called %q", i, s.Do)
		}
	}
	return out, nil
}

// doers cause a fault and give back what undoes it.
var doers = map[string]func(ctx context.Context, f *Fleet, who string) (undo func()){
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
			if b.Cell == who {
				b.Stop()
				undo = append(undo, func() { _ = b.Start(b.Addr) })
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
	"fail":  behave(Fail),
	"crawl": behave(Crawl),
	"cut":   behave(Cut),
	"lose":  behave(Lose),
	"vanish": func(_ context.Context, f *Fleet, who string) func() {
		all := f.backends(who)
		for _, b := range all {
			b.Stop()
		}
		return func() {
			for _, b := range all {
				_ = b.Start(b.Addr)
			}
		}
	},
	"leave": leave,
	"empty": empty,
	"retire": func(ctx context.Context, f *Fleet, who string) func() {
		_ = f.api.Post(ctx, "/v1/stores/"+who+"/retire")
		return func() { _ = f.api.Post(ctx, "/v1/stores/"+who+"/restore") }
	},
	"edit":  func(ctx context.Context, f *Fleet, who string) func() { f.editCharter(ctx, who); return func() {} },
	"flood": flood,
}

func restart(p *Process) { _ = p.Start() }

// match lists the daemons that who names: one, all of a prefix, all of a cell.
func (f *Fleet) match(who string) []*Process {
	out := []*Process{}
	for _, p := range f.All() {
		cell, isCell := strings.CutPrefix(who, "cell ")
		prefix, isPrefix := strings.CutSuffix(who, "*")
		if p.Name == who || isPrefix && strings.HasPrefix(p.Name, prefix) || isCell && p.Cell == cell {
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
	hitsAdapter := false
	for _, p := range f.match(who) {
		hitsAdapter = hitsAdapter || p.Kind == "adapter"
	}
	undo := f.each(who, (*Process).Kill, restart)
	if hitsAdapter {
		f.History.AddLost(check.Window{From: from - 50*time.Millisecond, Until: f.Now() + 50*time.Millisecond})
	}
	return undo
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
		for _, b := range all {
			b.Behave(m)
		}
		return func() {
			for _, b := range all {
				b.Behave(Well)
			}
		}
	}
}

// leave marks a worker as leaving in the live list; undone, it is live again.
func leave(ctx context.Context, f *Fleet, who string) func() {
	set := func(state string) {
		for _, b := range f.backends(who) {
			patch := charter.Workers{Workers: []charter.Worker{{Name: b.Name, Address: b.Addr, Cell: b.Cell, State: state}}}
			_ = f.api.patchWorkers(ctx, b.Pool, patch)
		}
	}
	set("leaving")
	at := f.Now()
	all := f.backends(who)
	undone := false
	for _, b := range all {
		f.History.AddMark(check.Mark{Pool: b.Pool, Worker: b.Name, From: at, Bound: 3 * time.Second})
	}
	return func() {
		if undone {
			return
		}
		undone = true
		f.History.EndMarks(func(m check.Mark) bool { return m.From == at }, f.Now())
		set("live")
	}
}

func empty(ctx context.Context, f *Fleet, who string) func() {
	if err := f.api.Post(ctx, "/v1/cells/"+who+"/empty"); err != nil {
		fmt.Fprintln(os.Stderr, "fleet: Empty failed:", err)
	}
	at := f.Now()
	f.History.AddMark(check.Mark{Cell: who, From: at, Bound: 5 * time.Second})
	return func() {
		f.History.EndMarks(func(m check.Mark) bool { return m.From == at }, f.Now())
		_ = f.api.Post(ctx, "/v1/cells/"+who+"/restore")
	}
}

// flood sends messages that can never succeed to a lane, until undone.
func flood(ctx context.Context, f *Fleet, who string) func() {
	ctx, cancel := context.WithCancel(ctx)
	callers := f.callers
	go func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			go callers.Send(who, "", 100, true)
		}
	}()
	return cancel
}
