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
	w          *World
	owner      *lifecycle // whose work it is: it never goes on in another life; nil for a client's
	generation int
	next       func() (registerResume, bool)
	stop       func()
	yield      func(registerResume) bool
}

// wait has resume called once what is waited for has come.
type registerResume func(resume func())

// taskEnded unwinds a task whose daemon is no more.
type taskEnded struct{}

// Go starts a task. A frozen daemon's task goes on when it thaws.
func (w *World) Go(owner *lifecycle, work func(ctx context.Context, t *task)) {
	t := &task{w: w, owner: owner}
	if owner != nil {
		t.generation = owner.generation
	}
	t.next, t.stop = iter.Pull(func(yield func(registerResume) bool) {
		defer func() {
			if r := recover(); r != nil && r != any(taskEnded{}) {
				panic(r)
			}
		}()
		t.yield = yield
		work(timing.WithClock(&taskContext{Context: context.Background(), t: t, deadline: maxTime}, &taskClock{t}), t)
	})
	w.tasks = append(w.tasks, t)
	w.After(0, t.step)
}

// step lets the task go on until it waits again.
func (t *task) step() {
	if t.owner != nil && (!t.owner.isUp || t.owner.generation != t.generation) {
		t.stop()
		return
	}
	if t.owner != nil && t.w.now < t.owner.frozenUntil {
		t.w.After(t.owner.frozenUntil-t.w.now, t.step)
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
func (t *task) suspend(register registerResume) {
	if !t.yield(register) {
		panic(taskEnded{})
	}
}

// sleep lets time pass.
func (t *task) sleep(span time.Duration) {
	t.suspend(func(resume func()) { t.w.After(span, resume) })
}

// stopTasks ends all tasks at the end of a run.
func (w *World) stopTasks() {
	for _, t := range w.tasks {
		t.stop()
	}
	w.tasks = nil
}

const maxTime = time.Duration(1 << 62)

// taskContext ends by simulated time.
type taskContext struct {
	context.Context
	t          *task
	deadline   time.Duration
	isCanceled bool
}

// Err reports whether the context has ended.
func (c *taskContext) Err() error {
	switch {
	case c.isCanceled:
		return context.Canceled
	case c.t.w.now >= c.deadline:
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// simulatedContext gives the innermost simulated context of a task's context.
func simulatedContext(ctx context.Context) *taskContext {
	c, isOurs := ctx.Value(simulatedContextKey{}).(*taskContext)
	if !isOurs {
		panic("not a context of the simulation")
	}
	return c
}

type simulatedContextKey struct{}

// Value gives the context itself to simulated.
func (c *taskContext) Value(key any) any {
	if key == (simulatedContextKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// taskClock is a task's timing.Clock.
type taskClock struct{ t *task }

// Within returns a context that ends by simulated time.
func (c *taskClock) Within(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	out := &taskContext{Context: ctx, t: c.t, deadline: min(simulatedContext(ctx).deadline, c.t.w.now+span)}
	return out, func() { out.isCanceled = true }
}

// Wait lets simulated time pass, at most until the context ends.
func (c *taskClock) Wait(ctx context.Context, span time.Duration) {
	c.t.sleep(max(0, min(span, simulatedContext(ctx).deadline-c.t.w.now)))
}
