package sim

import (
	"context"
	"maps"
	"slices"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/manager"
)

// Herds are troubles of many daemons, of the links or of the operators' answers.
// Each tells for how long it lasts.
var Herds = map[string]func(d *Deployment) time.Duration{
	"lost answers": func(d *Deployment) time.Duration {
		d.LostTells = 700
		d.After(10*time.Second, func() { d.LostTells = 0 })
		return 0 // of no concern to the daemons
	},
	"resets": func(d *Deployment) time.Duration {
		here := d.here()
		d.net.reset(here[d.Rand.IntN(len(here))].addr)
		return 0
	},
	"power loss of all": func(d *Deployment) time.Duration {
		d.Note("all lose power")
		for _, m := range d.here() {
			if m.store.isUp { // else it is away as it is
				m.stop(true)
				d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, m.start)
			}
		}
		return time.Second
	},
	"kill of all": func(d *Deployment) time.Duration {
		d.Note("all are killed")
		for _, m := range d.here() {
			if m.store.isUp {
				m.stop(false)
				d.After(time.Duration(d.Rand.IntN(1000))*time.Millisecond, m.start)
			}
		}
		return time.Second
	},
	"slow links": func(d *Deployment) time.Duration {
		d.Slow = 200 * time.Millisecond
		d.After(3*time.Second, func() { d.Slow = 5 * time.Millisecond })
		return 3 * time.Second
	},
	"stuck messages": func(d *Deployment) time.Duration {
		d.Stuck = 30
		d.After(3*time.Second, func() { d.Stuck = 0 })
		return 13 * time.Second
	},
	"lost messages": func(d *Deployment) time.Duration {
		d.Loss = 100
		d.After(3*time.Second, func() { d.Loss = 0 })
		return 3 * time.Second
	},
}

// herd brings troubles beside the losses until the given time.
func (d *Deployment) herd(names []string, end time.Duration) {
	d.Go(nil, func(_ context.Context, t *task) {
		t.pause(5 * time.Second)
		for len(names) > 0 && d.now < end {
			name := names[d.Rand.IntN(len(names))]
			d.Note("trouble: %s", name)
			d.troubles.herdUntil = max(d.troubles.herdUntil, d.now+Herds[name](d))
			t.pause(time.Duration(2000+d.Rand.IntN(10000)) * time.Millisecond)
		}
	})
}

// retire retires one machine after another, whatever else goes on: a new one
// comes first, and the old one goes with its disk as soon as it is told done.
func (d *Deployment) retire(end time.Duration) {
	d.Go(nil, func(ctx context.Context, t *task) {
		for {
			t.pause(time.Duration(7000+d.Rand.IntN(8000)) * time.Millisecond)
			if d.now >= end {
				return
			}
			here := d.here()
			m := here[d.Rand.IntN(len(here))]
			if m == d.troubles.lost || !d.mayGo(m) {
				continue
			}
			d.troubles.leaving = m
			name := nextName(d)
			d.add(name, name, m.zone).start()
			t.pause(time.Duration(d.Rand.Int64N(int64(CatchUp))))
			isDone := d.retireOne(ctx, t, m)
			d.troubles.leaving = nil
			if isDone {
				d.Retired++
				d.remove(m)
			}
		}
	})
}

func nextName(d *Deployment) string {
	d.serial++
	return "n" + string(rune('a'+d.serial%26)) + string(rune('a'+d.serial/26%26)) + string(rune('a'+d.serial/676%26))
}

// retireOne asks for a retirement until it is taken, and then until it is done.
func (d *Deployment) retireOne(ctx context.Context, t *task, m *machine) bool {
	for range 400 {
		if m.isGone || d.isCalm {
			return false
		}
		err, isTold := d.ask(ctx, func(ctx context.Context, o *manager.Operators) any {
			_, err := o.RetireStore(ctx, "operator", m.name, time.Minute)
			return &told{err}
		}).(*told)
		if isTold && errs.Is(err.err, errs.Rejected) || isTold && errs.Is(err.err, errs.Unknown) {
			d.breach("the retirement of %s is refused: %v", m.name, err.err)
			return false
		}
		if isTold && err.err == nil {
			break
		}
		t.pause(100 * time.Millisecond)
	}
	d.Note("%s is to retire", m.name)
	for range 400 {
		if d.isCalm {
			return false
		}
		got, isTold := d.ask(ctx, func(ctx context.Context, o *manager.Operators) any {
			state, err := o.RetirementProgress(ctx, m.name)
			return &progress{state, err}
		}).(*progress)
		if d.mutant == EarlyLeave || isTold && got.err == nil && got.state.IsDone && got.state.IsRetired {
			d.Note("%s is told retired", m.name)
			d.checkLeft(m)
			return true
		}
		t.pause(200 * time.Millisecond)
	}
	return false
}

type told struct{ err error }

type progress struct {
	state manager.RetirementProgress
	err   error
}

// checkLeft judges that a retired machine may go: no group needs it.
func (d *Deployment) checkLeft(m *machine) {
	for _, id := range groupIds() {
		_, members := d.seats(id)
		if slices.Contains(members, m.store.member()) {
			d.breach("%s is told retired and still stands in group %d: %v", m.name, id, members)
		}
	}
}

func namesOf[F any](all map[string]F, only []string) []string {
	out := []string{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(only) == 0 || slices.Contains(only, name) {
			out = append(out, name)
		}
	}
	return out
}
