package fleet

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// span is the time for which a step of a schedule lasts, since the load began.
type span struct{ from, until time.Duration }

func (s Step) span() span {
	from, _ := time.ParseDuration(s.At)
	length, _ := time.ParseDuration(s.For)
	return span{from, from + length}
}

// isOutage tells steps after whose end traffic must come back, and isSurvivable
// those through which it must go on.
func (s Step) isOutage() bool {
	switch s.Do {
	case "edit", "leave", "flood", "retire", "empty":
		return false
	}
	return s.For != ""
}

func (s Step) isSurvivable() bool {
	switch s.Do {
	case "kill cell", "cut cell":
		return true
	case "kill", "stop", "wipe", "freeze":
		return !strings.HasSuffix(s.Who, "*")
	}
	return false
}

// Outages lists the moments from which recovery is judged: those after which
// no other step stands in the way, and callers still send.
func (s Schedule) Outages() []check.Outage {
	end, _ := time.ParseDuration(s.For)
	out := []check.Outage{}
	for i, step := range s.Steps {
		moments := map[string]time.Duration{}
		if step.isOutage() {
			moments["end of "] = step.span().until
		}
		if step.isSurvivable() {
			moments[""] = step.span().from
		}
		for prefix, at := range moments {
			isClear := at+check.RecoverIn <= end
			for j, other := range s.Steps {
				o := other.span()
				isEdit := other.Do == "edit" && !strings.Contains(other.Who, " ")
				isClear = isClear && (i == j || isEdit || o.until < at || o.from > at+check.RecoverIn)
			}
			if isClear {
				out = append(out, check.Outage{Text: prefix + step.Do + " " + step.Who, At: at})
			}
		}
	}
	return out
}

// Cause carries a schedule out, from now on, until ctx ends. What is not undone
// by then is undone at the end.
func (f *Fleet) Cause(ctx context.Context, s Schedule) {
	beganAt := f.Now()
	for _, o := range s.Outages() {
		o.At += beganAt
		f.History.AddOutage(o)
	}
	s.Carry(ctx, func(ctx context.Context, step Step) func() { return actions[step.Do](ctx, f, step.Who) }, f.failed)
}

// Carry has do cause each step at its time, and undoes it.
func (s Schedule) Carry(ctx context.Context, do func(context.Context, Step) (undo func()), failed func(string, ...any)) {
	began := time.Now()
	done := make(chan struct{})
	for _, step := range s.Steps {
		go func() {
			defer func() { done <- struct{}{} }()
			pause(ctx, step.span().from-time.Since(began))
			if ctx.Err() != nil {
				failed("%s %s was not begun", step.Do, step.Who)
				return
			}
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs %s %s.\n", time.Since(began).Seconds(), step.Do, step.Who)
			undo := do(context.WithoutCancel(ctx), step)
			if step.For == "" {
				return
			}
			pause(ctx, step.span().until-step.span().from)
			undo()
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs end of %s %s.\n", time.Since(began).Seconds(), step.Do, step.Who)
		}()
	}
	for range s.Steps {
		<-done
	}
}
