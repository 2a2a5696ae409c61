package sim

import (
	"context"
	"iter"
	"time"

	"caperwheel/internal/timing"
)

// task runs blocking code, such as the operators' own, in the simulation: a
// coroutine that gives the world its turn whenever it waits. Only one of world
// and tasks ever runs, so a seed replays exactly.
//
// Invariant: a step is taken only by the world's queue, never inside another.
type task struct {
	w    *World
	of   *lifecycle // whose work it is: it never goes on in another life; nil for a client's
	life int
	next func() (wait, bool)
	stop func()
	turn func(wait) bool
}

// wait has resume called once what is waited for has come.
type wait func(resume func())

// ended unwinds a task whose daemon is no more.
type ended struct{}

// Go starts a task. A frozen daemon's task goes on when it thaws.
func (w *World) Go(of *lifecycle, work func(ctx context.Context, t *task)) {
	t := &task{w: w, of: of}
	if of != nil {
		t.life = of.life
	}
	t.next, t.stop = iter.Pull(func(yield func(wait) bool) {
		defer func() {
			if r := recover(); r != nil && r != any(ended{}) {
				panic(r)
			}
		}()
		t.turn = yield
		work(timing.WithClock(&taskContext{Context: context.Background(), t: t, until: forever}, &taskClock{t}), t)
	})
	w.tasks = append(w.tasks, t)
	w.After(0, t.step)
}

// step lets the task go on until it waits again.
func (t *task) step() {
	if t.of != nil && (!t.of.isUp || t.of.life != t.life) {
		t.stop()
		return
	}
	if t.of != nil && t.w.now < t.of.frozen {
		t.w.After(t.of.frozen-t.w.now, t.step)
		return
	}
	register, isMore := t.next()
	if !isMore {
		return
	}
	isResumed := false
	register(func() {
		if !isResumed {
			isResumed = true
			t.w.After(0, t.step)
		}
	})
}

// wait returns the world its turn.
func (t *task) wait(register wait) {
	if !t.turn(register) {
		panic(ended{})
	}
}

// pause lets time pass.
func (t *task) pause(span time.Duration) {
	t.wait(func(resume func()) { t.w.After(span, resume) })
}

// stopTasks ends all tasks at the end of a run.
func (w *World) stopTasks() {
	for _, t := range w.tasks {
		t.stop()
	}
	w.tasks = nil
}

const forever = time.Duration(1 << 62)

// taskContext ends by simulated time.
type taskContext struct {
	context.Context
	t          *task
	until      time.Duration
	isCanceled bool
}

// Err reports whether the context has ended.
func (c *taskContext) Err() error {
	switch {
	case c.isCanceled:
		return context.Canceled
	case c.t.w.now >= c.until:
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// simulated gives the innermost simulated context of a task's context.
func simulated(ctx context.Context) *taskContext {
	c, isOurs := ctx.Value(simulatedKey{}).(*taskContext)
	if !isOurs {
		panic("not a context of the simulation")
	}
	return c
}

type simulatedKey struct{}

// Value gives the context itself to simulated.
func (c *taskContext) Value(key any) any {
	if key == (simulatedKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// taskClock is a task's timing.Clock.
type taskClock struct{ t *task }

// Within returns a context that ends by simulated time.
func (c *taskClock) Within(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	out := &taskContext{Context: ctx, t: c.t, until: min(simulated(ctx).until, c.t.w.now+span)}
	return out, func() { out.isCanceled = true }
}

// Wait lets simulated time pass, at most until the context ends.
func (c *taskClock) Wait(ctx context.Context, span time.Duration) {
	c.t.pause(max(0, min(span, simulated(ctx).until-c.t.w.now)))
}
