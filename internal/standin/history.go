// Package standin emulates the platform on which the service runs: its entry (load balancer), clients, workers, list
// of worker instances, operator and call-back receivers, all on loopback addresses. It starts real daemons as a Site,
// sends load, injects scheduled faults, records what is visible from outside in a History, and judges that History by
// the platform's rules. cmd/fleet and the tests of this package call it. Besides platform/, this package is the only
// place that contains the platform's names.
package standin

import (
	"sync"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/linearize"
)

// Submission is one HTTP request by which a client submits a message; a message may have several.
type Submission struct {
	check.Sent                // Token is the attempt id, Lane the name of the route
	RequestLine        string // method, path and order key as sent
	Code               int    // status; 0: no complete response
	Daemon             string // to which the entry assigned the connection
	Incarnation        int64  // of the daemon's machine, counted by its starts
	IsConnectionBroken bool   // the daemon closed the connection without a complete response
	IsFullyRead        bool   // as IsConnectionBroken, and the daemon had read the whole request
	IsNotified         bool
	Tenant             string // tenant of the client; empty on a public route
	ApiKey             string // as sent; empty for none
	Operation          string // operation key, shared by all submissions of a message
	RetryAfter         string // header of the response
}

// Run is one run of a message by a worker.
type Run struct {
	check.Run   // Pool is the service, Worker the worker's identifier
	RequestLine string
	Stamp       string
	TimeLeft    time.Duration // time left before the deadline when the response was written
	Tenant      string        // in the request to the worker
	KeyField    string        // where the request to the worker had an API key; empty if nowhere
}

// Arrival is one request that arrived at a worker or endpoint, whether it was run or rejected.
type Arrival struct {
	Service, Worker, Zone string
	At                    time.Duration
	Code                  int
	IsCold                bool
}

// Callback is a call-back as a receiver recorded it.
type Callback struct {
	Token, State, Stamp string
	At                  time.Duration
}

// FinalState is the state of a message as the service reports it after the run.
type FinalState struct {
	State, Stamp string // State is empty without a response, and "unknown" for status 404
	BodySum      string // empty if the body was not returned
	At           time.Duration
}

// CrossTenantQuery is a query for a message of one tenant with an API key of another tenant, or with none.
type CrossTenantQuery struct {
	Token, Tenant string // of the message
	ApiKey        string // sent with the query
	Code          int
}

// Edit is a configuration that the operator sent.
type Edit struct {
	check.Edit    // Revision is the version; Pools maps routes to their services
	Base          int64
	RequestDigest string // identifies the request; equal for a repetition
	Document      []byte // complete configuration that the request results in
	Code          int    // status of the last conclusive response; 0 for none
	IsInvalid     bool
	Tenants       []tenant
	Public        []string // routes that need no API key
}

// Command is a request of the operator that must be acknowledged within a bound.
type Command struct {
	Text      string
	At, AckAt time.Duration
	GivenUpAt time.Duration // when the operator gave up without an acknowledgement
}

// Disruption is a span in which a daemon was stopped, killed or frozen. A planned one is a graceful stop.
type Disruption struct {
	Daemon      string
	From, Until time.Duration // Until is 0 if it never ended
	IsPlanned   bool
	IsPermanent bool // the daemon is never started again
}

// Route holds the properties of a route that the judge needs.
type Route struct {
	Service          string
	IsOrdered        bool
	Timeout          time.Duration
	MaxAttempts      int
	Retention        time.Duration
	IsPublic         bool
	HasDeduplication bool // its service deduplicates by message id
}

// Service holds the rate limits of a service that the judge needs.
type Service struct{ Rate, ColdRate float64 }

// ReadBack is the configuration as the operator read it at the end.
type ReadBack struct {
	Code int
	Doc  []byte
}

// History is everything that was recorded from outside the service during a run.
type History struct {
	mu                 sync.Mutex
	Sent               []Submission
	Runs               []Run
	Arrivals           []Arrival
	Callbacks          []Callback
	FinalStates        map[string]FinalState // by token
	Observations       []check.StatusRead    // states and bodies read during the run
	Edits              []Edit
	Commands           []Command
	Calls              []linearize.Operation // of the operators, each with its retries
	Marks              []check.Drain         // drains of workers and evacuations of zones
	Zones              map[string]string     // "service/worker" -> zone
	Disruptions        []Disruption
	Outages            []check.Outage // from which recovery is judged
	AdminRequests      []Submission   // requests to admin endpoints
	CrossTenantQueries []CrossTenantQuery
	Routes             map[string]Route   // all routes ever sent in a configuration
	Services           map[string]Service // by name
	Read               ReadBack
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{FinalStates: map[string]FinalState{}, Zones: map[string]string{}, Routes: map[string]Route{}, Services: map[string]Service{}}
}

// WithLock calls record with the mutex held. record must be short and must not call WithLock.
func (h *History) WithLock(record func()) { h.mu.Lock(); defer h.mu.Unlock(); record() }

// beginDisruption records the start of a daemon's disruption and returns the function that records its end.
func (h *History) beginDisruption(daemon string, at time.Duration, isPlanned bool) (end func(at time.Duration)) {
	i := 0
	h.WithLock(func() {
		i = len(h.Disruptions)
		h.Disruptions = append(h.Disruptions, Disruption{Daemon: daemon, From: at, IsPlanned: isPlanned})
	})
	return func(at time.Duration) { h.WithLock(func() { h.Disruptions[i].Until = at }) }
}

// isQuiet reports whether no disruption that isRelevant selects overlaps the span from first to last.
func (h *History) isQuiet(first, last time.Duration, isRelevant func(Disruption) bool) bool {
	for _, t := range h.Disruptions {
		if t.From <= last && (t.Until == 0 || t.Until >= first) && isRelevant(t) {
			return false
		}
	}
	return true
}

// longestUndisrupted returns the longest part of the span from first to last that is free of disruptions selected by
// isRelevant and does not begin within contactBound after one.
func (h *History) longestUndisrupted(first, last time.Duration, isRelevant func(Disruption) bool) (longest time.Duration) {
	starts := []time.Duration{first}
	for _, t := range h.Disruptions {
		if isRelevant(t) && t.Until > 0 {
			starts = append(starts, t.Until+contactBound)
		}
	}
	for _, start := range starts {
		end := last
		for _, t := range h.Disruptions {
			if !isRelevant(t) || t.Until > 0 && t.Until+contactBound <= start {
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

// anyKind selects all disruptions.
func anyKind(Disruption) bool { return true }

// isUnplanned selects disruptions other than graceful stops.
func isUnplanned(t Disruption) bool { return !t.IsPlanned }

// isSettled reports whether the rules with time bounds apply at a moment: nothing was disrupted in the contactBound
// before it.
func (h *History) isSettled(at time.Duration) bool { return h.isQuiet(at-contactBound, at, anyKind) }
