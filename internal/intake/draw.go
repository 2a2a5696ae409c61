package intake

import (
	"math/rand/v2"
	"sync"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// placeDraws is how often a place is drawn again whose owner has a low weight.
const placeDraws = 4

// quiet has the stores that did not answer lately, and since when.
type quiet struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// saw notes how a try to have a message held went.
func (in *Intake) saw(name string, micros float64, isAnswered bool) {
	in.peers.Saw(name, micros, isAnswered)
	q := &in.quiet
	q.mu.Lock()
	defer q.mu.Unlock()
	if isAnswered {
		delete(q.since, name)
		return
	}
	if q.since == nil {
		q.since = map[string]time.Duration{}
	}
	q.since[name] = in.d.Now()
}

// isQuiet: the store did not answer a moment ago. After that it is tried again.
func (in *Intake) isQuiet(name string) bool {
	q := &in.quiet
	q.mu.Lock()
	defer q.mu.Unlock()
	at, isKnown := q.since[name]
	return isKnown && in.d.Now()-at < in.d.Bounds.Of(timing.Permit)
}

// drawPlace draws a place for a message that may go to any, as the paper draws
// targets: of those whose owner is known and answers, one in our own zone if
// there is one, since each byte between zones costs; by the owners' weights.
func (in *Intake) drawPlace() int64 {
	all := int64(in.d.Settings.Places)
	own, others := []int64{}, []int64{}
	for place := range all {
		who, isKnown := in.d.Membership.Owner(wire.PlaceGroup + place)
		switch {
		case !isKnown || in.isQuiet(who.Name):
		case who.Zone == in.d.Who.Zone:
			own = append(own, place)
		default:
			others = append(others, place)
		}
	}
	from := own
	if len(from) == 0 {
		from = others
	}
	if len(from) == 0 {
		return rand.Int64N(all)
	}
	place := int64(0)
	for range placeDraws {
		place = from[rand.IntN(len(from))]
		if who, _ := in.d.Membership.Owner(wire.PlaceGroup + place); rand.Float64() < max(weight.Least, in.peers.Of(who.Name)) {
			break
		}
	}
	return place
}
