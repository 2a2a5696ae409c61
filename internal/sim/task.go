package sim

import (
	"context"
	"iter"
	"time"

	"caperwheel/internal/timing"
)

// task runs blocking code, such as the operators' interface, in the simulation. It is a coroutine that
// yields to the event loop whenever it blocks. Either the event loop or exactly one task runs at any time,
// so a seed replays exactly.
//
// Invariant: a task is resumed by the event loop only, never from within another task.
type task struct {
	w          *World
	owner      *lifecycle // process that the task runs in; nil for an operator's task
	generation int        // of the owner, when the task was started; the task ends with it
	next       func() (registerResume, bool)
	stop       func()
	yield      func(registerResume) bool
}

// registerResume arranges that resume is called once the awaited event has occurred.
type registerResume func(resume func())

// taskEnded is the panic value that unwinds a task whose process has stopped.
type taskEnded struct{}

// Go starts a task. A task of a frozen process continues when the freeze ends.
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

// step runs the task until it blocks again. It ends a task whose process has stopped, and defers one whose
// process is frozen.
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

// suspend yields to the event loop until the registered callback is called.
func (t *task) suspend(register registerResume) {
	if !t.yield(register) {
		panic(taskEnded{})
	}
}

// sleep blocks the task for a span of simulated time.
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

// maxTime is later than any time of a run.
const maxTime = time.Duration(1 << 62)

// taskContext is a context whose deadline is in simulated time.
type taskContext struct {
	context.Context
	t          *task
	deadline   time.Duration
	isCanceled bool
}

// Err returns the reason for which the context has ended, or nil.
func (c *taskContext) Err() error {
	switch {
	case c.isCanceled:
		return context.Canceled
	case c.t.w.now >= c.deadline:
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// simulatedContext returns the innermost taskContext of a task's context.
func simulatedContext(ctx context.Context) *taskContext {
	c, isOurs := ctx.Value(simulatedContextKey{}).(*taskContext)
	if !isOurs {
		panic("the context does not belong to a simulated task")
	}
	return c
}

// simulatedContextKey is the key under which a taskContext returns itself.
type simulatedContextKey struct{}

// Value returns the context itself for the key that simulatedContext looks up.
func (c *taskContext) Value(key any) any {
	if key == (simulatedContextKey{}) {
		return c
	}
	return c.Context.Value(key)
}

// taskClock implements timing.Clock for a task.
type taskClock struct{ t *task }

// Within returns a context with a deadline in simulated time.
func (c *taskClock) Within(ctx context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	out := &taskContext{Context: ctx, t: c.t, deadline: min(simulatedContext(ctx).deadline, c.t.w.now+span)}
	return out, func() { out.isCanceled = true }
}

// Wait blocks for a span of simulated time, at most until the context's deadline.
func (c *taskClock) Wait(ctx context.Context, span time.Duration) {
	c.t.sleep(max(0, min(span, simulatedContext(ctx).deadline-c.t.w.now)))
}
