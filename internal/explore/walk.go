package explore

import "math/rand/v2"

// weights of the kinds of events in a random walk. Most events are deliveries and syncs, so that the group makes
// progress.
var weights = [kindCount]int{Deliver: 60, Duplicate: 4, Sync: 40, Timeout: 2, HeartbeatTick: 4, ClockJump: 1, Restart: 2, ReplaceDisk: 1,
	Propose: 5, Compact: 2, TransferOwnership: 1, AddLearner: 2, Promote: 4, RemoveMember: 1}

// Walk takes a random walk of up to steps events from the first state and stops at the first breach. The same seed
// takes the same walk.
func Walk(o *Options, seed uint64, steps int) Result {
	r := rand.New(rand.NewPCG(seed, 0))
	w, out := o.First(), Result{}
	for range steps {
		e, isAny := w.drawEvent(r)
		if !isAny {
			break
		}
		w = w.Next(e)
		out.Events++
		out.Trace = append(out.Trace, e)
		if w.firstBreach != "" {
			out.Breach = w.firstBreach
			break
		}
	}
	return out
}

// drawEvent draws a kind of enabled events by weight, and one of its events. It returns false if no event is enabled.
func (w *World) drawEvent(r *rand.Rand) (Event, bool) {
	byKind := [kindCount][]Event{}
	total := 0
	for _, e := range w.Enabled() {
		if len(byKind[e.Kind]) == 0 {
			total += weights[e.Kind]
		}
		byKind[e.Kind] = append(byKind[e.Kind], e)
	}
	if total == 0 {
		return Event{}, false
	}
	at := r.IntN(total)
	for k, list := range byKind {
		if len(list) == 0 {
			continue
		}
		if at -= weights[k]; at < 0 {
			return list[r.IntN(len(list))], true
		}
	}
	return Event{}, false
}

// largeCommandBytes is the size of a command of which a log keeps only a few after compaction.
const largeCommandBytes = 96 << 10

// UnrestrictedOptions returns the options of a walk in which every kind of event may happen any number of times. Odd
// seeds use large commands.
func UnrestrictedOptions(members, spares int, seed uint64) *Options {
	o := &Options{Members: members, SpareMachines: spares, MaxInFlight: 24, PaddingBytes: int(seed%2) * largeCommandBytes}
	for k := range o.MaxEvents {
		o.MaxEvents[k] = 1 << 30
	}
	return o
}
