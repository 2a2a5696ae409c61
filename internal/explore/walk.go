package explore

import "math/rand/v2"

// weights of the kinds of event in a random walk: most of what happens is that
// messages come and writes are synced, so that a group gets somewhere.
var weights = [kinds]int{Deliver: 60, Repeat: 4, Sync: 40, Timeout: 2, Pulse: 4, Lapse: 1, Restart: 2, Wipe: 1,
	Propose: 5, Compact: 2, HandOver: 1, Learn: 2, Promote: 4, Drop: 1}

// Walk takes one random way of so many steps from the first state. The same
// seed takes the same way.
func Walk(o *Options, seed uint64, steps int) Result {
	draw := rand.New(rand.NewPCG(seed, 0))
	w, out := o.First(), Result{}
	for range steps {
		e, isAny := w.draw(draw)
		if !isAny {
			break
		}
		w = w.Next(e)
		out.Events++
		out.Trace = append(out.Trace, e)
		if w.broken != "" {
			out.Broken = w.broken
			break
		}
	}
	return out
}

// draw picks a kind by weight and one of its events.
func (w *World) draw(draw *rand.Rand) (Event, bool) {
	byKind := [kinds][]Event{}
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
	at := draw.IntN(total)
	for k, list := range byKind {
		if len(list) == 0 {
			continue
		}
		if at -= weights[k]; at < 0 {
			return list[draw.IntN(len(list))], true
		}
	}
	return Event{}, false
}

// large is a command of which few fit into a log beside its image.
const large = 96 << 10

// Free gives the options of a walk that may do everything, as often as it will.
// Every other seed has large commands.
func Free(members, spares int, seed uint64) *Options {
	o := &Options{Members: members, Spares: spares, UnderWay: 24, Padding: int(seed%2) * large}
	for k := range o.Limits {
		o.Limits[k] = 1 << 30
	}
	return o
}
