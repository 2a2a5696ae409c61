package standin

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/check"
)

// Probabilities and bounds of repeated submissions after the first one has ended.
const (
	repeatAfterUnknown = 0.7  // the outcome is unknown
	repeatAfterRefusal = 0.3  // it was refused
	repeatAfterAccept  = 0.08 // it was accepted
	repeatConcurrently = 0.03 // while the first submission is under way

	minRepeatDelay    = 20 * time.Millisecond
	maxRepeatDelay    = 30 * time.Second
	repeatWindow      = keyWindow - 10*time.Second // from the first submission to the last
	maxPendingRepeats = 500                        // waiting to be sent
	repeatProbability = 0.3                        // of a submission being a repeat, if one is due
)

// repeat is a message that will be submitted again through a front of another zone.
type repeat struct {
	message Message
	zone    string
	at      time.Duration
}

// repeats holds the messages that will be submitted again, at most maxPendingRepeats of them.
type repeats struct {
	mu      sync.Mutex
	pending []repeat
}

// put schedules a repeated submission of a message.
func (r *repeats) put(m Message, zone string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Operation != "" && len(r.pending) < maxPendingRepeats && at < m.firstSentAt+repeatWindow {
		r.pending = append(r.pending, repeat{m, zone, at})
	}
}

// take returns a message that is due for a repeated submission by a client of a zone.
func (r *repeats) take(zone string, now time.Duration) (Message, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = slices.DeleteFunc(r.pending, func(w repeat) bool { return now > w.message.firstSentAt+repeatWindow })
	i := slices.IndexFunc(r.pending, func(w repeat) bool { return w.at <= now && w.zone != zone })
	if i < 0 {
		return Message{}, false
	}
	m := r.pending[i].message
	r.pending = slices.Delete(r.pending, i, i+1)
	return m, true
}

// note draws whether a message is submitted again, depending on the outcome of its last submission.
func (r *repeats) note(m Message, zone string, outcome check.Outcome, now time.Duration, rng *rand.Rand) {
	share := map[check.Outcome]float64{check.Undecided: repeatAfterUnknown, check.NotTaken: repeatAfterRefusal, check.Taken: repeatAfterAccept}[outcome]
	if rng.Float64() < share {
		r.put(m, zone, now+drawLogUniform(minRepeatDelay, maxRepeatDelay, rng))
	}
}

// noteConcurrent draws whether a message is submitted a second time while the first submission is under way.
func (r *repeats) noteConcurrent(m Message, zone string, now time.Duration, rng *rand.Rand) {
	if rng.Float64() < repeatConcurrently {
		r.put(m, zone, now)
	}
}

// nextMessage returns the next message that a client of a zone submits: a repeat of an earlier one, or a new one.
func (s *Site) nextMessage(load Load, zone string, rng *rand.Rand) Message {
	if rng.Float64() < repeatProbability {
		if m, isFound := s.repeats.take(zone, s.Now()); isFound {
			return m
		}
	}
	m := load.message(rng)
	s.assignOwner(&m, rng)
	s.repeats.noteConcurrent(m, zone, s.Now(), rng)
	return m
}
