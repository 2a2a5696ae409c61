package fleet

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// interval is the time in which a step of a schedule is in effect, since the start of the load.
type interval struct{ from, until time.Duration }

// interval returns when the step begins and ends.
func (s Step) interval() interval {
	from, _ := time.ParseDuration(s.At)
	length, _ := time.ParseDuration(s.Duration)
	return interval{from, from + length}
}

// requiresRecovery reports whether traffic must recover after the end of the step.
func (s Step) requiresRecovery() bool {
	switch s.Action {
	case "edit", "leave", "flood", "retire", "empty":
		return false
	}
	return s.Duration != ""
}

// isSurvivable reports whether traffic must recover while the step is still in effect.
func (s Step) isSurvivable() bool {
	switch s.Action {
	case "kill cell", "cut cell":
		return true
	case "kill", "stop", "wipe", "freeze":
		return !strings.HasSuffix(s.Target, "*")
	}
	return false
}

// Outages returns the times from which recovery is checked: the ends of steps that require recovery and the beginnings
// of survivable ones, if callers still send for check.RecoveryTimeout and no other step is in effect meanwhile.
func (s Schedule) Outages() []check.Outage {
	end, _ := time.ParseDuration(s.Duration)
	out := []check.Outage{}
	for i, step := range s.Steps {
		times := map[string]time.Duration{}
		if step.requiresRecovery() {
			times["end of "] = step.interval().until
		}
		if step.isSurvivable() {
			times[""] = step.interval().from
		}
		for prefix, at := range times {
			isClear := at+check.RecoveryTimeout <= end
			for j, other := range s.Steps {
				o := other.interval()
				isEdit := other.Action == "edit" && !strings.Contains(other.Target, " ")
				isClear = isClear && (i == j || isEdit || o.until < at || o.from > at+check.RecoveryTimeout)
			}
			if isClear {
				out = append(out, check.Outage{Description: prefix + step.Action + " " + step.Target, At: at})
			}
		}
	}
	return out
}

// RunSchedule runs a schedule from now on and returns once all steps are done. When ctx ends, steps in effect are
// undone at once. It records the outages of the schedule in the history.
func (f *Fleet) RunSchedule(ctx context.Context, s Schedule) {
	beganAt := f.Now()
	for _, o := range s.Outages() {
		o.At += beganAt
		f.History.AddOutage(o)
	}
	s.Run(ctx, func(ctx context.Context, step Step) func() { return actions[step.Action](ctx, f, step.Target) }, f.recordFailure)
}

// Run applies each step at its time, undoes it after its duration, and returns once all steps are done. When ctx ends,
// steps in effect are undone at once, and steps that have not begun are reported to recordFailure.
func (s Schedule) Run(ctx context.Context, apply func(context.Context, Step) (undo func()), recordFailure func(string, ...any)) {
	began := time.Now()
	done := make(chan struct{})
	for _, step := range s.Steps {
		go func() {
			defer func() { done <- struct{}{} }()
			sleep(ctx, step.interval().from-time.Since(began))
			if ctx.Err() != nil {
				recordFailure("step %s %s was not started before the end of the run", step.Action, step.Target)
				return
			}
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs start of %s %s.\n", time.Since(began).Seconds(), step.Action, step.Target)
			undo := apply(context.WithoutCancel(ctx), step)
			if step.Duration == "" {
				return
			}
			sleep(ctx, step.interval().until-step.interval().from)
			undo()
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs end of %s %s.\n", time.Since(began).Seconds(), step.Action, step.Target)
		}()
	}
	for range s.Steps {
		<-done
	}
}
