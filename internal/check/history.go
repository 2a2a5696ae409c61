// Package check holds a recorded history of callers, back ends and the system
// against the rules that must never be broken. The simulation and the fleet
// both use it.
package check

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome is what a caller was told of one message that it sent.
type Outcome string

// What a caller may be told.
const (
	Taken     Outcome = "taken"
	NotTaken  Outcome = "not taken"
	Undecided Outcome = "undecided" // also: no answer at all
)

// Sent is one message of a caller. Token is unique and within the body, so
// that back ends can tell messages apart whatever the system says.
type Sent struct {
	Token   string
	Lane    string
	Key     string
	BodySum string
	SentAt  time.Duration // when it was sent
	// It must not run before Delay, nor be expired before Patience has passed since it
	// was sent; 0: it may.
	Delay      time.Duration
	Patience   time.Duration
	AnsweredAt time.Duration
	Outcome    Outcome
	Id         string
	// What else the answer said, when it said it: the checksum of the message's
	// bytes, the token within the proof's answer, and whether an answer that
	// looked whole was not.
	AnsweredBodySum string
	ProofToken      string
	IsTruncated     bool
	Revision        int64 // of the configuration under which it was answered; 0 if not told
}

// Run is one run that a back end saw.
type Run struct {
	Token            string
	Id               string
	Attempt          int64
	Pool             string
	Worker           string
	BodySum          string
	Start            time.Duration
	End              time.Duration
	Status           int
	AnswerSum        string // checksum of the answer
	IsAnswerComplete bool   // the answer was written whole, as far as the back end could tell
	Adapter          string // who sent it; empty if it did not say
	Revision         int64  // of the configuration under which it was sent; 0 if it did not say
}

// FinalState is what the system says of a message at last.
type FinalState struct {
	State      string
	Attempt    int64
	Worker     string
	AnswerSum  string // of the answer in the proof
	BodySum    string // of the bytes as asked for; empty if not asked
	CallbackId string // id of the call-back, if there is one
}

// Drain is a moment from which a worker, or all of a zone, must get no new run.
type Drain struct {
	Pool, Worker string // empty Worker: all of the zone
	Zone         string
	From, Until  time.Duration // Until 0: to the end
	Grace        time.Duration
}

// StatusRead is what somebody was told who asked for a message while things failed.
// Answers that say no more than "cannot be reached" are not sights.
type StatusRead struct {
	Id          string
	RequestedAt time.Duration // when it was asked
	AnsweredAt  time.Duration
	State       string
	Attempts    int64
	BodySum     string // empty if the bytes were not asked for
}

// Edit is a configuration as an operator sent it, and what it allows.
type Edit struct {
	SentAt         time.Duration // when it was sent
	AcknowledgedAt time.Duration // when it was acknowledged; 0 for never
	Revision       int64         // as acknowledged
	Pools          map[string][]string
	RateCaps       map[string]float64
}

// ColdStart is a worker that came, or came back, cold at a moment.
type ColdStart struct {
	Pool, Worker    string
	From, SlowStart time.Duration
}

// Outage is a moment from which a quarter of each kind of traffic must be
// served again within the bound.
type Outage struct {
	Description string
	At          time.Duration
}

// History is all that was recorded of one run.
type History struct {
	mu            sync.Mutex
	Sent          []Sent
	Runs          []Run
	Finals        map[string]FinalState // by id
	Drains        []Drain
	LanePools     map[string][]string // lane -> allowed pools
	RateCaps      map[string]float64  // pool -> runs a second
	Zones         map[string]string   // pool/worker -> zone
	OrderedLanes  map[string]bool     // lanes that are ordered
	Kills         []KillWindow        // times at which an adapter was killed: its open runs may be run again
	CallbackLanes map[string]string   // lane -> lane of its call-backs

	Reads             []StatusRead
	Edits             []Edit
	Colds             []ColdStart
	Outages           []Outage
	ExcusedRepeats    int // doubled runs that a killed adapter excuses, as the last Check counted
	CheckedRecoveries int // lanes after outages that were judged
}

// KillWindow is a span of time around the end of an adapter's life.
type KillWindow struct {
	Adapter     string // empty: any
	From, Until time.Duration
}

// NewHistory gives an empty one.
func NewHistory() *History {
	return &History{Finals: map[string]FinalState{}, LanePools: map[string][]string{}, RateCaps: map[string]float64{},
		Zones: map[string]string{}, OrderedLanes: map[string]bool{}, CallbackLanes: map[string]string{}}
}

// AddSent records a message.
func (h *History) AddSent(s Sent) { h.mu.Lock(); h.Sent = append(h.Sent, s); h.mu.Unlock() }

// AddRun records a run.
func (h *History) AddRun(r Run) { h.mu.Lock(); h.Runs = append(h.Runs, r); h.mu.Unlock() }

// AddDrain records a mark.
func (h *History) AddDrain(m Drain) { h.mu.Lock(); h.Drains = append(h.Drains, m); h.mu.Unlock() }

// AddKill records when an adapter was killed.
func (h *History) AddKill(w KillWindow) { h.mu.Lock(); h.Kills = append(h.Kills, w); h.mu.Unlock() }

// AddFinal records what the system says of a message.
func (h *History) AddFinal(id string, e FinalState) { h.mu.Lock(); h.Finals[id] = e; h.mu.Unlock() }

// AddRead records what a question was answered.
func (h *History) AddRead(s StatusRead) { h.mu.Lock(); h.Reads = append(h.Reads, s); h.mu.Unlock() }

// AddEdit records a configuration as sent.
func (h *History) AddEdit(e Edit) { h.mu.Lock(); h.Edits = append(h.Edits, e); h.mu.Unlock() }

// AddCold records a worker that came cold.
func (h *History) AddCold(c ColdStart) { h.mu.Lock(); h.Colds = append(h.Colds, c); h.mu.Unlock() }

// AddOutage records a moment to recover from.
func (h *History) AddOutage(o Outage) { h.mu.Lock(); h.Outages = append(h.Outages, o); h.mu.Unlock() }

// EndDrains ends the marks that are meant.
func (h *History) EndDrains(isMatch func(Drain) bool, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, m := range h.Drains {
		if isMatch(m) {
			h.Drains[i].Until = at
		}
	}
}

// Snapshot gives what was recorded so far; back ends may still be recording.
func (h *History) Snapshot() (sent []Sent, runs []Run, ends map[string]FinalState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.Sent), slices.Clone(h.Runs), maps.Clone(h.Finals)
}
