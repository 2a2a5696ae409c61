package explore

import (
	"slices"
	"strings"

	"caperwheel/internal/group"
)

// Options bound a search.
type Options struct {
	Members  int                 // founding members
	Spares   int                 // blank machines that may be learned
	Limits   [kinds]int          // how often an event of each kind may happen; Deliver and Sync always may
	Padding  int                 // bytes of a command beyond its word; logs of many bytes give way to images
	UnderWay int                 // messages under way at once; the oldest are lost beyond it. 0 is no limit
	Set      func(*World) *World // brings the first state about; nil starts as founded
}

// isAllowed reports whether the budget has room for another event.
func (w *World) isAllowed(k Kind) bool {
	return k == Deliver || k == Sync || w.spent[k] < w.options.Limits[k]
}

// Enabled gives all events that may come next, in a fixed order.
func (w *World) Enabled() []Event {
	out := []Event{}
	for _, m := range w.sent {
		if at := w.at(m.To); at >= 0 && w.replicas[at].name != w.down {
			out = append(out, Event{Kind: Deliver, At: at, Message: m})
			if w.isAllowed(Repeat) {
				out = append(out, Event{Kind: Repeat, At: at, Message: m})
			}
		}
	}
	for at, r := range w.replicas {
		if r.name == w.down {
			continue
		}
		if len(r.unsynced) > 0 {
			out = append(out, Event{Kind: Sync, At: at})
		}
		v := r.machine.View()
		for _, k := range []Kind{Timeout, Pulse, Lapse, Propose, Compact, Wipe} {
			if w.isAllowed(k) && w.isApt(k, r, v) {
				out = append(out, Event{Kind: k, At: at})
			}
		}
		for keep := 0; w.isAllowed(Restart) && keep <= len(r.unsynced); keep++ {
			out = append(out, Event{Kind: Restart, At: at, Keep: keep})
		}
		if v.Role == group.Owner {
			out = w.ownerEvents(out, at, r, v)
		}
	}
	return out
}

// isApt leaves out events that could not change anything.
func (w *World) isApt(k Kind, r *replica, v group.View) bool {
	switch k {
	case Timeout:
		return v.Role != group.Owner && slices.Contains(v.Roster, r.id)
	case Pulse, Lapse, Propose:
		return v.Role == group.Owner
	case Compact:
		return r.applied > v.Last-int64(r.held())
	case Wipe:
		return w.isRepaired()
	}
	return false
}

// held is the length of a replica's log.
func (r *replica) held() int {
	_, log := r.machine.DurableState()
	return len(log)
}

// isRepaired reports whether every disk of the committed roster is there and has
// all that was committed: only then may another be lost.
func (w *World) isRepaired() bool {
	for _, m := range group.Voters(w.ghost.roster) {
		at := w.at(m)
		if at < 0 || w.replicas[at].id != m || !w.holdsChosen(w.replicas[at].disk.base(), w.replicas[at].disk.log) {
			return false
		}
	}
	return true
}

// ownerEvents adds what only an owner may be asked for.
func (w *World) ownerEvents(out []Event, at int, r *replica, v group.View) []Event {
	for _, other := range w.replicas {
		isIn, isLearner := slices.Contains(v.Roster, other.id), slices.Contains(v.Roster, "~"+other.id)
		if w.isAllowed(HandOver) && isIn && other.id != r.id {
			out = append(out, Event{Kind: HandOver, At: at, Member: other.id})
		}
		if w.isAllowed(Learn) && !isIn && !isLearner {
			out = append(out, Event{Kind: Learn, At: at, Member: other.id})
		}
		if w.isAllowed(Promote) && isLearner {
			out = append(out, Event{Kind: Promote, At: at, Member: other.id})
		}
	}
	for _, m := range v.Roster {
		if w.isAllowed(Drop) && len(group.Voters(v.Roster)) > 1 {
			out = append(out, Event{Kind: Drop, At: at, Member: strings.TrimPrefix(m, "~")})
		}
	}
	return out
}
