package fleet

import (
	"context"
	"os"
	"strings"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
)

// drainWorkers sets workers to leaving in the worker list of their pool; undone, they are live again.
func drainWorkers(ctx context.Context, f *Fleet, target string) func() {
	setState := func(state string) {
		for _, b := range f.matchBackends(target) {
			patch := config.Workers{Workers: []config.Worker{{Name: b.Name, Address: b.Addr, Zone: b.Zone, State: state}}}
			if err := f.api.patchWorkers(ctx, b.Pool, patch); err != nil {
				f.recordFailure("set worker %s to %s: %v", b.Key(), state, err)
			}
		}
	}
	setState("leaving")
	at := f.Now()
	all := f.matchBackends(target)
	isUndone := false
	for _, b := range all {
		f.History.AddDrain(check.Drain{Pool: b.Pool, Worker: b.Name, From: at, Grace: 3 * time.Second})
	}
	return func() {
		if isUndone {
			return
		}
		isUndone = true
		f.History.EndDrains(func(d check.Drain) bool { return d.From == at }, f.Now())
		setState("live")
	}
}

// evacuateZone evacuates a zone through the managers' API; undone, the evacuation is ended.
func evacuateZone(ctx context.Context, f *Fleet, zone string) func() {
	f.postOrFail(ctx, "/v1/cells/"+zone+"/empty")
	at := f.Now()
	f.History.AddDrain(check.Drain{Zone: zone, From: at, Grace: 5 * time.Second})
	return func() {
		f.History.EndDrains(func(d check.Drain) bool { return d.From == at }, f.Now())
		f.postOrFail(ctx, "/v1/cells/"+zone+"/restore")
	}
}

// floodLane sends poison messages, which never succeed, to a lane until it is undone.
func floodLane(ctx context.Context, f *Fleet, lane string) func() {
	ctx, cancel := context.WithCancel(ctx)
	callers := f.callers
	go func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for ctx.Err() == nil {
			<-ticker.C
			go callers.Send(lane, "", 100, true)
		}
	}()
	return cancel
}

// corruptSettings damages the settings files of running daemons: it truncates, replaces or removes them by turns.
// Undone, the files have their former content.
func corruptSettings(_ context.Context, f *Fleet, target string) func() {
	undo := []func(){}
	recordError := func(p *Process, err error) {
		if err != nil {
			f.recordFailure("change settings file of %s: %v", p.Name, err)
		}
	}
	for i, p := range f.matchProcesses(target) {
		raw, err := os.ReadFile(p.settingsFile)
		recordError(p, err)
		switch i % 3 {
		case 0: // truncated
			recordError(p, os.WriteFile(p.settingsFile, raw[:len(raw)/2], 0o644))
		case 1: // replaced by the settings of another daemon
			other := strings.Replace(string(raw), `"name":"`+p.Name+`"`, `"name":"other"`, 1)
			recordError(p, os.WriteFile(p.settingsFile+".new", []byte(other), 0o644))
			recordError(p, os.Rename(p.settingsFile+".new", p.settingsFile))
		case 2:
			recordError(p, os.Remove(p.settingsFile))
		}
		undo = append(undo, func() { recordError(p, os.WriteFile(p.settingsFile, raw, 0o644)) })
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}
