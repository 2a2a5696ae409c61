package fleet

import (
	"context"
	"os"
	"strings"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
)

// leave marks a worker as leaving in the live list; undone, it is live again.
func leave(ctx context.Context, f *Fleet, who string) func() {
	set := func(state string) {
		for _, b := range f.backends(who) {
			patch := config.Workers{Workers: []config.Worker{{Name: b.Name, Address: b.Addr, Zone: b.Zone, State: state}}}
			if err := f.api.patchWorkers(ctx, b.Pool, patch); err != nil {
				f.failed("%s is not set to %s: %v", b.Key(), state, err)
			}
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
	f.post(ctx, "/v1/cells/"+who+"/empty")
	at := f.Now()
	f.History.AddMark(check.Mark{Zone: who, From: at, Bound: 5 * time.Second})
	return func() {
		f.History.EndMarks(func(m check.Mark) bool { return m.From == at }, f.Now())
		f.post(ctx, "/v1/cells/"+who+"/restore")
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

// scribble breaks daemons' settings files under them, each in another way;
// undone, they are as they were.
func scribble(_ context.Context, f *Fleet, who string) func() {
	undo := []func(){}
	note := func(p *Process, err error) {
		if err != nil {
			f.failed("settings of %s: %v", p.Name, err)
		}
	}
	for i, p := range f.match(who) {
		raw, err := os.ReadFile(p.file)
		note(p, err)
		switch i % 3 {
		case 0: // half written
			note(p, os.WriteFile(p.file, raw[:len(raw)/2], 0o644))
		case 1: // swapped for another daemon's
			other := strings.Replace(string(raw), `"name":"`+p.Name+`"`, `"name":"other"`, 1)
			note(p, os.WriteFile(p.file+".new", []byte(other), 0o644))
			note(p, os.Rename(p.file+".new", p.file))
		case 2:
			note(p, os.Remove(p.file))
		}
		undo = append(undo, func() { note(p, os.WriteFile(p.file, raw, 0o644)) })
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}
