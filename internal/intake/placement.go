package intake

import (
	"math/rand/v2"
	"sync"
	"time"

	"caperwheel/internal/timing"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// placeDrawAttempts bounds the draws of a place: a drawn place is rejected with a probability that falls with its
// owner's weight.
const placeDrawAttempts = 4

// unresponsiveStores has the stores whose last request went unanswered, and since when.
type unresponsiveStores struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// recordAttempt records whether and how fast a store answered a request to hold a message.
func (in *Intake) recordAttempt(name string, micros float64, isAnswered bool) {
	in.peers.Record(name, micros, isAnswered)
	q := &in.unresponsive
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

// isUnresponsive reports whether a store did not answer a moment ago. After that it is tried again.
func (in *Intake) isUnresponsive(name string) bool {
	q := &in.unresponsive
	q.mu.Lock()
	defer q.mu.Unlock()
	at, isKnown := q.since[name]
	return isKnown && in.d.Now()-at < in.d.Bounds.Of(timing.Permit)
}

// choosePlace draws a place for a message that may go to any: among places whose owner is known and responsive, those
// owned in this adapter's zone if there are any, since traffic between zones costs; at random by the owners' weights.
func (in *Intake) choosePlace() int64 {
	all := int64(in.d.Settings.Places)
	own, others := []int64{}, []int64{}
	for place := range all {
		who, isKnown := in.d.Membership.Owner(wire.FirstPlaceGroup + place)
		switch {
		case !isKnown || in.isUnresponsive(who.Name):
		case who.Zone == in.d.Who.Zone:
			own = append(own, place)
		default:
			others = append(others, place)
		}
	}
	candidates := own
	if len(candidates) == 0 {
		candidates = others
	}
	if len(candidates) == 0 {
		return rand.Int64N(all)
	}
	place := int64(0)
	for range placeDrawAttempts {
		place = candidates[rand.IntN(len(candidates))]
		if who, _ := in.d.Membership.Owner(wire.FirstPlaceGroup + place); rand.Float64() < max(weight.WeightFloor, in.peers.Weight(who.Name)) {
			break
		}
	}
	return place
}
