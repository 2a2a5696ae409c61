package timing

import (
	"context"
	"time"
)

// Clock measures deadlines and waits. Code that waits takes the clock from its context, so that the simulation can run
// it on simulated time.
type Clock interface {
	Within(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc)
	Wait(ctx context.Context, span time.Duration)
}

// clockKey is the context key of the clock.
type clockKey struct{}

// WithClock returns a context that carries a clock.
func WithClock(ctx context.Context, clock Clock) context.Context {
	return context.WithValue(ctx, clockKey{}, clock)
}

// Within returns a context that ends after a span by the clock of ctx, or with ctx.
func Within(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	if clock, isGiven := ctx.Value(clockKey{}).(Clock); isGiven {
		return clock.Within(ctx, span)
	}
	return context.WithTimeout(ctx, span)
}
