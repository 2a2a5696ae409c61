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

// Submission is one try of a client.
type Submission struct {
	check.Sent                // Token is the try's id, Lane the route's name
	RequestLine        string // method, path and key as they were sent
	Code               int    // 0: no whole answer came
	Daemon             string // that the entry gave the session to
	Incarnation        int64  // of the daemon
	IsConnectionBroken bool   // the daemon broke the session off, the message read or not
	IsFullyRead        bool   // the process had read all that was sent when it ended the session without a whole answer
	IsNotified         bool
	Tenant             string // whose client it is; empty on a public route
	ApiKey             string // that it sent; empty for none
	Operation          string // key of the operation, which all tries of a message have in common
	RetryAfter         string // as it was answered
}

// Run is one run that a worker began.
type Run struct {
	check.Run   // Pool is the service, Worker the life's identifier
	RequestLine string
	Stamp       string
	TimeLeft    time.Duration // what was left of its time when its answer was written
	Tenant      string        // that the worker was told
	KeyField    string        // the field in which it got an API key; empty for none
}

// Met is one arrival at a worker or endpoint, run or not.
type Arrival struct {
	Service, Worker, Zone string
	At                    time.Duration
	Code                  int
	IsCold                bool
}

// Tell is a call-back as a receiver got it.
type Callback struct {
	Token, State, Stamp string
	At                  time.Duration
}

// FinalState is what the system says of a message at last.
type FinalState struct {
	State, Stamp string // State empty: no answer came; "unknown": a 404
	BodySum      string // empty: the bytes did not come
	At           time.Duration
}

// CrossTenantQuery is a question for a message of one tenant with a key of another, or with none.
type CrossTenantQuery struct {
	Token, Tenant string // of the message
	ApiKey        string // the key
	Code          int
}

// Edit is a configuration that was sent.
type Edit struct {
	check.Edit    // Revision is the version, Pools are routes and their services
	Base          int64
	RequestDigest string // names it, also when it is sent again
	Document      []byte // the configuration that it makes
	Code          int    // the last clear answer; 0 for none
	IsInvalid     bool
	Tenants       []tenant
	Public        []string // routes that need no key
}

// Order is any call of the operator that must be acknowledged in time.
type Command struct {
	Text      string
	At, AckAt time.Duration
	GivenUpAt time.Duration // when the operator stopped sending one that was not acknowledged
}

// Disruption is a span in which daemons were hurt; planned ones were asked to go.
type Disruption struct {
	Daemon      string
	From, Until time.Duration // Until 0: to the end
	IsPlanned   bool
	IsPermanent bool // the daemon never comes back
}

// Route is what judges must know of one.
type Route struct {
	Service          string
	IsOrdered        bool
	Timeout          time.Duration
	MaxAttempts      int
	Retention        time.Duration
	IsPublic         bool
	HasDeduplication bool // its service keeps a record of the ids that it has run
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
	mu                 sync.Mutex
	Sent               []Submission
	Runs               []Run
	Arrivals           []Arrival
	Callbacks          []Callback
	FinalStates        map[string]FinalState // by token
	Observations       []check.StatusRead    // what was told of messages meanwhile
	Edits              []Edit
	Commands           []Command
	Calls              []linearize.Operation // of the operators, with all tries
	Marks              []check.Drain
	Zones              map[string]string // service/worker -> zone
	Disruptions        []Disruption
	Outages            []check.Outage
	AdminRequests      []Submission // what was asked of daemons that takes no message in
	CrossTenantQueries []CrossTenantQuery
	Routes             map[string]Route // every one that was ever sent
	Services           map[string]Service
	Read               ReadBack
}

// NewHistory gives an empty one.
func NewHistory() *History {
	return &History{FinalStates: map[string]FinalState{}, Zones: map[string]string{}, Routes: map[string]Route{}, Services: map[string]Service{}}
}

// WithLock records something; record must do no more than append.
func (h *History) WithLock(record func()) { h.mu.Lock(); defer h.mu.Unlock(); record() }

// begin records a daemon's trouble and gives what ends it.
func (h *History) beginDisruption(daemon string, at time.Duration, isPlanned bool) (end func(at time.Duration)) {
	i := 0
	h.WithLock(func() {
		i = len(h.Disruptions)
		h.Disruptions = append(h.Disruptions, Disruption{Daemon: daemon, From: at, IsPlanned: isPlanned})
	})
	return func(at time.Duration) { h.WithLock(func() { h.Disruptions[i].Until = at }) }
}

// isQuiet reports whether nothing was hurt from first to last.
func (h *History) isQuiet(first, last time.Duration, isMeant func(Disruption) bool) bool {
	for _, t := range h.Disruptions {
		if t.From <= last && (t.Until == 0 || t.Until >= first) && isMeant(t) {
			return false
		}
	}
	return true
}

// longestUndisrupted returns the longest stretch from first to last in which nothing was hurt, nor in the contact before.
func (h *History) longestUndisrupted(first, last time.Duration, isMeant func(Disruption) bool) (longest time.Duration) {
	starts := []time.Duration{first}
	for _, t := range h.Disruptions {
		if isMeant(t) && t.Until > 0 {
			starts = append(starts, t.Until+contactBound)
		}
	}
	for _, start := range starts {
		end := last
		for _, t := range h.Disruptions {
			if !isMeant(t) || t.Until > 0 && t.Until+contactBound <= start {
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

func anyKind(Disruption) bool       { return true }
func isUnplanned(t Disruption) bool { return !t.IsPlanned }

// isSettled reports whether rules that are bound by time hold at a moment.
func (h *History) isSettled(at time.Duration) bool { return h.isQuiet(at-contactBound, at, anyKind) }
