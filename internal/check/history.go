// Package check records the history of a test run (messages that callers sent, runs that back ends saw, statuses that
// the system reported) and checks it against the system's guarantees: no taken message is lost, no message that was not
// taken is run, ordering keys and rate caps hold, and so on. The simulation (internal/sim), the fleet (internal/fleet)
// and the stand-ins (internal/standin) record histories and call Check after each run.
package check

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome is what the answer to a caller said about the message that it sent.
type Outcome string

// Outcomes of sending a message.
const (
	Taken     Outcome = "taken"
	NotTaken  Outcome = "not taken"
	Undecided Outcome = "undecided" // also when there was no answer at all
)

// Sent is one message that a caller sent. Token is unique and part of the body, so that back ends can identify the
// message independently of the headers that the system sets.
type Sent struct {
	Token   string
	Lane    string
	Key     string        // ordering key; empty on an unordered lane
	BodySum string        // checksum of the body
	SentAt  time.Duration // this and all other times are on the clock of the test run
	// The message must not run before Delay, and must not expire before Patience, has passed since SentAt. 0 means no
	// such limit.
	Delay      time.Duration
	Patience   time.Duration
	AnsweredAt time.Duration
	Outcome    Outcome
	Id         string // message id; empty if the answer had none
	// Further content of the answer, empty if absent: the checksum of the body, the token inside the answer of the
	// proof, and whether the answer was truncated although it was read without an error.
	AnsweredBodySum string
	ProofToken      string
	IsTruncated     bool
	Revision        int64 // of the configuration under which it was answered; 0 if not given
}

// Run is one execution of a message at a back end, as the back end recorded it.
type Run struct {
	Token            string
	Id               string
	Attempt          int64
	Pool             string
	Worker           string
	BodySum          string // checksum of the body as it arrived
	Start            time.Duration
	End              time.Duration
	Status           int
	AnswerSum        string // checksum of the answer's body
	IsAnswerComplete bool   // the answer was written completely, as far as the back end could observe
	Adapter          string // name of the adapter that sent the run; empty if not given
	Revision         int64  // of the configuration under which it was sent; 0 if not given
}

// FinalState is the last status of a message that the system reported, with its proof if it has ended.
type FinalState struct {
	State      string
	Attempt    int64
	Worker     string
	AnswerSum  string // checksum of the answer in the proof
	BodySum    string // checksum of the body as read back; empty if it was not read
	CallbackId string // id of the call-back, if there is one
}

// Drain is a period in which a worker, or every worker of a zone, must get no new run once Grace has passed since From.
type Drain struct {
	Pool, Worker string // if Worker is empty, all workers of Zone
	Zone         string
	From, Until  time.Duration // Until 0: to the end of the history
	Grace        time.Duration // time until the drain must be effective
}

// StatusRead is the answer to a request for the status of a message while faults are in effect. Answers that report
// only that the message cannot be reached are not recorded.
type StatusRead struct {
	Id          string
	RequestedAt time.Duration
	AnsweredAt  time.Duration
	State       string // as reported; "unknown" if the message was not found
	Attempts    int64
	BodySum     string // checksum of the body; empty if it was not read
}

// Edit is a configuration as an operator sent it: when it was sent and acknowledged, which pools it allows each
// lane, and the rate cap of each pool.
type Edit struct {
	SentAt         time.Duration
	AcknowledgedAt time.Duration       // 0 if it was never acknowledged
	Revision       int64               // as acknowledged
	Pools          map[string][]string // lane -> allowed pools
	RateCaps       map[string]float64  // pool -> runs a second
}

// ColdStart is a worker that joined, or rejoined, without warm caches at time From and must be ramped up over the
// SlowStart period.
type ColdStart struct {
	Pool, Worker    string
	From, SlowStart time.Duration
}

// Outage is a time from which traffic must recover: within RecoveryTimeout, a quarter of each kind of traffic must be
// served again.
type Outage struct {
	Description string
	At          time.Duration
}

// History holds everything that was recorded in one test run. Its methods are safe for concurrent use; its fields are
// not.
type History struct {
	mu            sync.Mutex
	Sent          []Sent
	Runs          []Run
	Finals        map[string]FinalState // by message id
	Drains        []Drain
	LanePools     map[string][]string // lane -> allowed pools
	RateCaps      map[string]float64  // pool -> runs a second
	Zones         map[string]string   // pool/worker -> zone
	OrderedLanes  map[string]bool     // set of the lanes with ordering keys
	Kills         []KillWindow        // times at which an adapter was killed; runs in progress then may be repeated
	CallbackLanes map[string]string   // lane -> lane of its call-backs

	Reads             []StatusRead
	Edits             []Edit
	Colds             []ColdStart
	Outages           []Outage
	ExcusedRepeats    int // repeated runs in the last Check that the kill of an adapter explains
	CheckedRecoveries int // recoveries of a kind of traffic that the last Check had enough messages to check
}

// KillWindow is the span of time around the kill of an adapter in which runs of that adapter may be repeated.
type KillWindow struct {
	Adapter     string // empty: any adapter
	From, Until time.Duration
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{Finals: map[string]FinalState{}, LanePools: map[string][]string{}, RateCaps: map[string]float64{},
		Zones: map[string]string{}, OrderedLanes: map[string]bool{}, CallbackLanes: map[string]string{}}
}

// AddSent records a message that a caller sent.
func (h *History) AddSent(s Sent) { h.mu.Lock(); h.Sent = append(h.Sent, s); h.mu.Unlock() }

// AddRun records a run at a back end.
func (h *History) AddRun(r Run) { h.mu.Lock(); h.Runs = append(h.Runs, r); h.mu.Unlock() }

// AddDrain records that a worker or a zone is drained.
func (h *History) AddDrain(d Drain) { h.mu.Lock(); h.Drains = append(h.Drains, d); h.mu.Unlock() }

// AddKill records the kill of an adapter.
func (h *History) AddKill(w KillWindow) { h.mu.Lock(); h.Kills = append(h.Kills, w); h.mu.Unlock() }

// AddFinal records the last status that the system reported for a message, in place of an earlier one.
func (h *History) AddFinal(id string, e FinalState) { h.mu.Lock(); h.Finals[id] = e; h.mu.Unlock() }

// AddRead records a status read.
func (h *History) AddRead(s StatusRead) { h.mu.Lock(); h.Reads = append(h.Reads, s); h.mu.Unlock() }

// AddEdit records a configuration that an operator sent.
func (h *History) AddEdit(e Edit) { h.mu.Lock(); h.Edits = append(h.Edits, e); h.mu.Unlock() }

// AddCold records a worker that joined cold.
func (h *History) AddCold(c ColdStart) { h.mu.Lock(); h.Colds = append(h.Colds, c); h.mu.Unlock() }

// AddOutage records an outage that traffic must recover from.
func (h *History) AddOutage(o Outage) { h.mu.Lock(); h.Outages = append(h.Outages, o); h.mu.Unlock() }

// EndDrains sets the end of all drains for which isMatch returns true.
func (h *History) EndDrains(isMatch func(Drain) bool, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, d := range h.Drains {
		if isMatch(d) {
			h.Drains[i].Until = at
		}
	}
}

// Snapshot returns copies of what was recorded so far; back ends may still be recording.
func (h *History) Snapshot() (sent []Sent, runs []Run, ends map[string]FinalState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.Sent), slices.Clone(h.Runs), maps.Clone(h.Finals)
}
