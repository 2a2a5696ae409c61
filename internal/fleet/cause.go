package fleet

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Cause carries a schedule out, from now on, until ctx ends. What is not undone
// by then is undone at the end.
func (f *Fleet) Cause(ctx context.Context, s Schedule) {
	began := time.Now()
	done := make(chan struct{})
	for _, step := range s.Steps {
		go func() {
			defer func() { done <- struct{}{} }()
			at, _ := time.ParseDuration(step.At)
			pause(ctx, at-time.Since(began))
			if ctx.Err() != nil {
				return
			}
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs %s %s.\n", time.Since(began).Seconds(), step.Do, step.Who)
			undo := doers[step.Do](context.WithoutCancel(ctx), f, step.Who)
			if step.For == "" {
				return
			}
			length, _ := time.ParseDuration(step.For)
			pause(ctx, length)
			undo()
			fmt.Fprintf(os.Stderr, "fleet: %6.1fs end of %s %s.\n", time.Since(began).Seconds(), step.Do, step.Who)
		}()
	}
	for range s.Steps {
		<-done
	}
}
