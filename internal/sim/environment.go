package sim

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// simStore implements store.Environment for its place.

// Now returns the simulated time.
func (s *simStore) Now() time.Duration { return s.w.now }

// After runs work after a time, if the store is still in the same generation.
func (s *simStore) After(span time.Duration, work func()) {
	generation := s.generation
	s.w.After(span, func() {
		if s.isUp && s.generation == generation {
			work()
			s.runPending()
		}
	})
}

// Bounds returns the default bounds.
func (s *simStore) Bounds() timing.Bounds { return timing.Default }

// IsFresh reports whether the simulated control plane has confirmed the view recently enough for the store to act.
func (s *simStore) IsFresh() bool { return s.w.now-s.freshAt < timing.Default.Of(timing.ViewAgeLimit) }

// IsDiskFull reports a simulated full disk.
func (s *simStore) IsDiskFull() bool { return s.w.now < s.diskFullUntil }

// IsDiskBusy is always false: the simulation has no write backlog.
func (s *simStore) IsDiskBusy() bool { return false }

// Compiled returns the rules of the simulation.
func (s *simStore) Compiled() *config.Compiled { return &config.Compiled{Rules: s.w.rules} }

// Find returns an adapter and whether its session at this store is valid.
func (s *simStore) Find(name string) (wire.Who, bool) {
	p, isKnown := s.membership[name]
	return p.who, isKnown && s.w.now-p.heardAt < timing.Default.Of(timing.SessionTimeout)
}

// Adapters returns the adapters with valid sessions, ordered by name.
func (s *simStore) Adapters() []wire.Who {
	out := []wire.Who{}
	for _, name := range sortedKeys(s.membership) {
		if who, isMember := s.Find(name); isMember {
			out = append(out, who)
		}
	}
	return out
}

// HasOlderAdapters is the fault of a cluster whose adapters are of several builds.
func (s *simStore) HasOlderAdapters() bool { return s.w.hasOlderAdapters }

// Post sends a request to an adapter.
func (s *simStore) Post(who wire.Who, request any, answer func(any, error)) error {
	for _, a := range s.w.adapters {
		if a.name == who.Name {
			generation := s.generation
			s.w.sendRequest(s.name, a, func() any { return a.serve(request) }, func(reply any, err error) {
				if s.isUp && s.generation == generation {
					answer(reply, err)
					s.runPending()
				}
			})
			return nil
		}
	}
	return errs.New(errs.Lost, "no adapter named %s", who.Name)
}

// Notifier and SubmitToPlace are not used: no lane of the simulation has a callback.
func (s *simStore) Notifier(string) (wire.Who, bool)            { return wire.Who{}, false }
func (s *simStore) SubmitToPlace(_ *wire.Take, done func(bool)) { done(false) }

// Release does nothing: permits expire.
func (s *simStore) Release(store.SlotGrant) {}

// Wake does nothing: dispatch runs at intervals.
func (s *simStore) Wake() {}

// PlaceOf returns the only place.
func (s *simStore) PlaceOf(string) int64 { return 0 }

// ChildId is not used.
func (s *simStore) ChildId(parent string) string { return parent + "c" }

// IsMemoryLow is always false: the simulation has no memory limit.
func (s *simStore) IsMemoryLow() bool { return false }

// Fail panics: no failure of a group is expected.
func (s *simStore) Fail(err error) { panic(err) }
