package fleet

import (
	"context"
	"time"

	"caperwheel/internal/charter"
	"caperwheel/internal/check"
)

// leave marks a worker as leaving in the live list; undone, it is live again.
func leave(ctx context.Context, f *Fleet, who string) func() {
	set := func(state string) {
		for _, b := range f.backends(who) {
			patch := charter.Workers{Workers: []charter.Worker{{Name: b.Name, Address: b.Addr, Cell: b.Cell, State: state}}}
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
	f.History.AddMark(check.Mark{Cell: who, From: at, Bound: 5 * time.Second})
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
