package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// The environment of a place.

// Now is the simulated time.
func (s *simStore) Now() time.Duration { return s.w.now }

// After does work later, unless the store has ended by then.
func (s *simStore) After(span time.Duration, work func()) {
	generation := s.generation
	s.w.After(span, func() {
		if s.isUp && s.generation == generation {
			work()
			s.runPending()
		}
	})
}

// Bounds are the usual ones.
func (s *simStore) Bounds() timing.Bounds { return timing.Default }

// IsFresh follows the simulated control plane.
func (s *simStore) IsFresh() bool { return s.w.now-s.freshAt < timing.Default.Of(timing.ViewAgeLimit) }

// IsFull tells of a simulated full disk.
func (s *simStore) IsDiskFull() bool { return s.w.now < s.diskFullUntil }

// IsBusy tells of a disk with too much to write, which the simulation has none of.
func (s *simStore) IsDiskBusy() bool { return false }

// Compiled has the rules.
func (s *simStore) Compiled() *config.Compiled { return &config.Compiled{Rules: s.w.rules} }

// Find gives an adapter whose session stands, as this store knows.
func (s *simStore) Find(name string) (wire.Who, bool) {
	p, isKnown := s.membership[name]
	return p.who, isKnown && s.w.now-p.heardAt < timing.Default.Of(timing.SessionTimeout)
}

// Adapters are those whose sessions stand, in order.
func (s *simStore) Adapters() []wire.Who {
	out := []wire.Who{}
	for _, name := range sortedKeys(s.membership) {
		if who, isMember := s.Find(name); isMember {
			out = append(out, who)
		}
	}
	return out
}

// Post asks an adapter.
func (s *simStore) Post(who wire.Who, ask any, answer func(any, error)) error {
	for _, a := range s.w.adapters {
		if a.name == who.Name {
			generation := s.generation
			s.w.sendRequest(s.name, a, func() any { return a.serve(ask) }, func(reply any, err error) {
				if s.isUp && s.generation == generation {
					answer(reply, err)
					s.runPending()
				}
			})
			return nil
		}
	}
	return errs.New(errs.Lost, "no adapter %s", who.Name)
}

// SubmitToPlace is not used: no lane here has a call-back.
func (s *simStore) Notifier(string) (wire.Who, bool)            { return wire.Who{}, false }
func (s *simStore) SubmitToPlace(_ *wire.Take, tell func(bool)) { tell(false) }

// Release needs nothing: permits lapse.
func (s *simStore) Release(store.SlotGrant) {}

// Nudge needs nothing: dispatch goes at intervals.
func (s *simStore) Wake() {}

// PlaceOf is the one place.
func (s *simStore) PlaceOf(string) int64 { return 0 }

// ChildOf is not used.
func (s *simStore) ChildId(parent string) string { return parent + "c" }

// IsTight tells of too little memory, which the simulation never has.
func (s *simStore) IsMemoryLow() bool { return false }

// Fail must not happen.
func (s *simStore) Fail(err error) { panic(err) }
