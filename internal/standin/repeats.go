package standin

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/check"
)

// Repeats of messages whose sending has ended, by shares of them.
const (
	afterFailure = 0.7  // nothing is known of it
	afterPromise = 0.3  // it was not taken
	afterAccept  = 0.08 // it was accepted
	atOnce       = 0.03 // while the first is still being sent

	leastRepeatPause = 20 * time.Millisecond
	mostRepeatPause  = 30 * time.Second
	repeatSpan       = keyWindow - 10*time.Second // from the first send to the last
	mostRepeats      = 500                        // that wait
	repeatShare      = 0.3                        // of sends that are repeats, while any waits
)

// repeat is a message that is to be sent again, through a front of another zone.
type repeat struct {
	message Message
	zone    string
	at      time.Duration
}

// repeats holds the messages that are to be sent again, at most mostRepeats of them.
type repeats struct {
	mu   sync.Mutex
	wait []repeat
}

// put has a message sent again after a moment.
func (r *repeats) put(m Message, zone string, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Operation != "" && len(r.wait) < mostRepeats && at < m.first+repeatSpan {
		r.wait = append(r.wait, repeat{m, zone, at})
	}
}

// take returns a message whose time to be sent again has come, for a client of a zone.
func (r *repeats) take(zone string, now time.Duration) (Message, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wait = slices.DeleteFunc(r.wait, func(w repeat) bool { return now > w.message.first+repeatSpan })
	i := slices.IndexFunc(r.wait, func(w repeat) bool { return w.at <= now && w.zone != zone })
	if i < 0 {
		return Message{}, false
	}
	m := r.wait[i].message
	r.wait = slices.Delete(r.wait, i, i+1)
	return m, true
}

// note draws whether a message is sent again, after what its last try was told.
func (r *repeats) note(m Message, zone string, told check.Told, now time.Duration, draws *rand.Rand) {
	share := map[check.Told]float64{check.Undecided: afterFailure, check.NotTaken: afterPromise, check.Taken: afterAccept}[told]
	if draws.Float64() < share {
		r.put(m, zone, now+spread(leastRepeatPause, mostRepeatPause, draws))
	}
}

// twin draws whether a message is sent a second time while the first is still being sent.
func (r *repeats) twin(m Message, zone string, now time.Duration, draws *rand.Rand) {
	if draws.Float64() < atOnce {
		r.put(m, zone, now)
	}
}

// nextMessage is the next one that a client of a zone sends: a repeat of an earlier one, or a new one.
func (s *Site) nextMessage(load Load, zone string, draws *rand.Rand) Message {
	if draws.Float64() < repeatShare {
		if m, isThere := s.repeats.take(zone, s.Now()); isThere {
			return m
		}
	}
	m := load.message(draws)
	s.own(&m, draws)
	s.repeats.twin(m, zone, s.Now(), draws)
	return m
}
