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

// Told is what a caller was told of one message that it sent.
type Told string

// What a caller may be told.
const (
	Taken     Told = "taken"
	NotTaken  Told = "not taken"
	Undecided Told = "undecided" // also: no answer at all
)

// Sent is one message of a caller. Token is unique and within the body, so
// that back ends can tell messages apart whatever the system says.
type Sent struct {
	Token string
	Lane  string
	Key   string
	Sum   string
	At    time.Duration // when it was sent
	// It must not run before Delay, nor be expired before Patience has passed since it
	// was sent; 0: it may.
	Delay    time.Duration
	Patience time.Duration
	ToldAt   time.Duration
	Told     Told
	Id       string
	// What else the answer said, when it said it: the checksum of the message's
	// bytes, the token within the proof's answer, and whether an answer that
	// looked whole was not.
	GotSum   string
	GotToken string
	IsShort  bool
	Revision int64 // of the configuration under which it was answered; 0 if not told
}

// Run is one run that a back end saw.
type Run struct {
	Token    string
	Id       string
	Attempt  int64
	Pool     string
	Worker   string
	Sum      string
	Start    time.Duration
	End      time.Duration
	Status   int
	Answer   string // checksum of the answer
	IsWhole  bool   // the answer was written whole, as far as the back end could tell
	Adapter  string // who sent it; empty if it did not say
	Revision int64  // of the configuration under which it was sent; 0 if it did not say
}

// End is what the system says of a message at last.
type End struct {
	State   string
	Attempt int64
	Worker  string
	Sum     string // of the answer in the proof
	BodySum string // of the bytes as asked for; empty if not asked
	Child   string // id of the call-back, if there is one
}

// Mark is a moment from which a worker, or all of a zone, must get no new run.
type Mark struct {
	Pool, Worker string // empty Worker: all of the zone
	Zone         string
	From, Until  time.Duration // Until 0: to the end
	Bound        time.Duration
}

// Sight is what somebody was told who asked for a message while things failed.
// Answers that say no more than "cannot be reached" are not sights.
type Sight struct {
	Id       string
	At       time.Duration // when it was asked
	ToldAt   time.Duration
	State    string
	Attempts int64
	BodySum  string // empty if the bytes were not asked for
}

// Edit is a configuration as an operator sent it, and what it allows.
type Edit struct {
	At       time.Duration // when it was sent
	AckAt    time.Duration // when it was acknowledged; 0 for never
	Revision int64         // as acknowledged
	Pools    map[string][]string
	Caps     map[string]float64
}

// Cold is a worker that came, or came back, cold at a moment.
type Cold struct {
	Pool, Worker string
	From, Ease   time.Duration
}

// Outage is a moment from which a quarter of each kind of traffic must be
// served again within the bound.
type Outage struct {
	Text string
	At   time.Duration
}

// History is all that was recorded of one run.
type History struct {
	mu    sync.Mutex
	Sent  []Sent
	Runs  []Run
	Ends  map[string]End // by id
	Marks []Mark
	Pools map[string][]string // lane -> allowed pools
	Caps  map[string]float64  // pool -> runs a second
	Zones map[string]string   // pool/worker -> zone
	Order map[string]bool     // lanes that are ordered
	Lost  []Window            // times at which an adapter was killed: its open runs may be run again
	Backs map[string]string   // lane -> lane of its call-backs

	Sights  []Sight
	Edits   []Edit
	Colds   []Cold
	Outages []Outage
	Spared  int // doubled runs that a killed adapter excuses, as the last Check counted
	Judged  int // lanes after outages that were judged
}

// Window is a span of time around the end of an adapter's life.
type Window struct {
	Adapter     string // empty: any
	From, Until time.Duration
}

// NewHistory gives an empty one.
func NewHistory() *History {
	return &History{Ends: map[string]End{}, Pools: map[string][]string{}, Caps: map[string]float64{},
		Zones: map[string]string{}, Order: map[string]bool{}, Backs: map[string]string{}}
}

// AddSent records a message.
func (h *History) AddSent(s Sent) { h.mu.Lock(); h.Sent = append(h.Sent, s); h.mu.Unlock() }

// AddRun records a run.
func (h *History) AddRun(r Run) { h.mu.Lock(); h.Runs = append(h.Runs, r); h.mu.Unlock() }

// AddMark records a mark.
func (h *History) AddMark(m Mark) { h.mu.Lock(); h.Marks = append(h.Marks, m); h.mu.Unlock() }

// AddLost records when an adapter was killed.
func (h *History) AddLost(w Window) { h.mu.Lock(); h.Lost = append(h.Lost, w); h.mu.Unlock() }

// AddEnd records what the system says of a message.
func (h *History) AddEnd(id string, e End) { h.mu.Lock(); h.Ends[id] = e; h.mu.Unlock() }

// AddSight records what a question was answered.
func (h *History) AddSight(s Sight) { h.mu.Lock(); h.Sights = append(h.Sights, s); h.mu.Unlock() }

// AddEdit records a configuration as sent.
func (h *History) AddEdit(e Edit) { h.mu.Lock(); h.Edits = append(h.Edits, e); h.mu.Unlock() }

// AddCold records a worker that came cold.
func (h *History) AddCold(c Cold) { h.mu.Lock(); h.Colds = append(h.Colds, c); h.mu.Unlock() }

// AddOutage records a moment to recover from.
func (h *History) AddOutage(o Outage) { h.mu.Lock(); h.Outages = append(h.Outages, o); h.mu.Unlock() }

// EndMarks ends the marks that are meant.
func (h *History) EndMarks(isMeant func(Mark) bool, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, m := range h.Marks {
		if isMeant(m) {
			h.Marks[i].Until = at
		}
	}
}

// Copies gives what was recorded so far; back ends may still be recording.
func (h *History) Copies() (sent []Sent, runs []Run, ends map[string]End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.Sent), slices.Clone(h.Runs), maps.Clone(h.Ends)
}
