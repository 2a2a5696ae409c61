// Package standin stands in for the platform that the service runs on: its
// entry, clients, workers, list, operator and receivers of call-backs, all on
// loopback. What they saw is judged by the platform's rules. Besides platform/,
// only this package knows the platform's names.
package standin

import (
	"sync"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/linearize"
)

// Sent is one try of a client.
type Sent struct {
	check.Sent        // Token is the try's id, Lane the route's name
	Line       string // method, path and key as they were sent
	Code       int    // 0: no whole answer came
	Daemon     string // that the entry gave the session to
	Life       int64  // of the daemon
	IsBroken   bool   // the daemon broke the session off, the message read or not
	IsRead     bool   // the process had read all that was sent when it ended the session without a whole answer
	IsNotified bool
	Tenant     string // whose client it is; empty on a public route
	ApiKey     string // that it sent; empty for none
	Operation  string // key of the operation, which all tries of a message have in common
	RetryAfter string // as it was answered
}

// Run is one run that a worker began.
type Run struct {
	check.Run // Pool is the service, Worker the life's identifier
	Line      string
	Seal      string
	Spare     time.Duration // what was left of its time when its answer was written
	Tenant    string        // that the worker was told
	KeyIn     string        // the field in which it got an API key; empty for none
}

// Met is one arrival at a worker or endpoint, run or not.
type Met struct {
	Service, Worker, Zone string
	At                    time.Duration
	Code                  int
	IsCold                bool
}

// Tell is a call-back as a receiver got it.
type Tell struct {
	Token, State, Seal string
	At                 time.Duration
}

// End is what the system says of a message at last.
type End struct {
	State, Seal string // State empty: no answer came; "unknown": a 404
	BodySum     string // empty: the bytes did not come
	At          time.Duration
}

// Pry is a question for a message of one tenant with a key of another, or with none.
type Pry struct {
	Token, Tenant string // of the message
	With          string // the key
	Code          int
}

// Edit is a configuration that was sent.
type Edit struct {
	check.Edit // Revision is the version, Pools are routes and their services
	Base       int64
	Order      string // names it, also when it is sent again
	Whole      []byte // the configuration that it makes
	Code       int    // the last clear answer; 0 for none
	IsInvalid  bool
	Tenants    []tenant
	Public     []string // routes that need no key
}

// Order is any call of the operator that must be acknowledged in time.
type Order struct {
	Text      string
	At, AckAt time.Duration
	Until     time.Duration // when the operator stopped sending one that was not acknowledged
}

// Trouble is a span in which daemons were hurt; planned ones were asked to go.
type Trouble struct {
	Daemon      string
	From, Until time.Duration // Until 0: to the end
	IsPlanned   bool
	IsForGood   bool // the daemon never comes back
}

// Route is what judges must know of one.
type Route struct {
	Service   string
	IsOrdered bool
	Bound     time.Duration
	Attempts  int
	Retention time.Duration
	IsPublic  bool
	IsShared  bool // its service keeps a record of the ids that it has run
}

// Service is what judges must know of one.
type Service struct{ Rate, ColdRate float64 }

// ReadBack is a configuration as the operator read it at the end.
type ReadBack struct {
	Code int
	Doc  []byte
}

// History is all that was seen from outside.
type History struct {
	mu       sync.Mutex
	Sent     []Sent
	Runs     []Run
	Met      []Met
	Tells    []Tell
	Ends     map[string]End // by token
	Sights   []check.Sight  // what was told of messages meanwhile
	Edits    []Edit
	Orders   []Order
	Calls    []linearize.Operation // of the operators, with all tries
	Marks    []check.Mark
	Zones    map[string]string // service/worker -> zone
	Troubles []Trouble
	Outages  []check.Outage
	Doors    []Sent // what was asked of daemons that takes no message in
	Pries    []Pry
	Routes   map[string]Route // every one that was ever sent
	Services map[string]Service
	Read     ReadBack
}

// NewHistory gives an empty one.
func NewHistory() *History {
	return &History{Ends: map[string]End{}, Zones: map[string]string{}, Routes: map[string]Route{}, Services: map[string]Service{}}
}

// Add records something; record must do no more than append.
func (h *History) Add(record func()) { h.mu.Lock(); defer h.mu.Unlock(); record() }

// begin records a daemon's trouble and gives what ends it.
func (h *History) begin(daemon string, at time.Duration, isPlanned bool) (end func(at time.Duration)) {
	i := 0
	h.Add(func() {
		i = len(h.Troubles)
		h.Troubles = append(h.Troubles, Trouble{Daemon: daemon, From: at, IsPlanned: isPlanned})
	})
	return func(at time.Duration) { h.Add(func() { h.Troubles[i].Until = at }) }
}

// isCalm reports whether nothing was hurt from first to last.
func (h *History) isCalm(first, last time.Duration, isMeant func(Trouble) bool) bool {
	for _, t := range h.Troubles {
		if t.From <= last && (t.Until == 0 || t.Until >= first) && isMeant(t) {
			return false
		}
	}
	return true
}

// calmStretch returns the longest stretch from first to last in which nothing was hurt, nor in the contact before.
func (h *History) calmStretch(first, last time.Duration, isMeant func(Trouble) bool) (longest time.Duration) {
	starts := []time.Duration{first}
	for _, t := range h.Troubles {
		if isMeant(t) && t.Until > 0 {
			starts = append(starts, t.Until+contact)
		}
	}
	for _, start := range starts {
		end := last
		for _, t := range h.Troubles {
			if !isMeant(t) || t.Until > 0 && t.Until+contact <= start {
				continue
			}
			end = min(end, max(start, t.From))
		}
		if start >= first {
			longest = max(longest, end-start)
		}
	}
	return longest
}

func anyTrouble(Trouble) bool  { return true }
func unplanned(t Trouble) bool { return !t.IsPlanned }

// inTouch reports whether rules that are bound by time hold at a moment.
func (h *History) inTouch(at time.Duration) bool { return h.isCalm(at-contact, at, anyTrouble) }
