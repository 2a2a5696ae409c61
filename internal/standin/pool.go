package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// The platform's names, as its workers, clients and operators write them.
const (
	attemptId  = "X-Attempt-Id"
	orderKey   = "X-Order-Key"
	notBefore  = "X-Not-Before"
	remaining  = "X-Deadline-Remaining"
	callback   = "X-Callback-Url"
	givenName  = "X-Message-Name"
	expect     = "X-Expect-Instance"
	instanceId = "X-Instance-Id"
	serverSeal = "X-Server-Seal"
	serverLoad = "X-Server-Load"
	notRun     = "X-Not-Run"
	basedOn    = "X-Based-On-Version"
	retryAfter = "Retry-After"
	tenantName = "X-Tenant"
	bearer     = "Bearer "

	operationKey  = "X-Operation-Key"
	authorization = "Authorization"

	healthPath = "/soundness"
)

// Plan of a service.
type Plan struct {
	Name                string
	Slots, Queue, Conns int
	Work                time.Duration
	Count               int // workers in each zone; 0 for an endpoint
	IsShared            bool
	TellsLoad           bool
	Rate, ColdRate      float64
	ColdFor             time.Duration
	Listed              int // further workers on the list, which one process serves at addresses of their own
}

// Pool is a service with its workers, or its one endpoint.
type Pool struct {
	Plan
	site *Site

	mu      sync.Mutex
	workers []*Worker
	lives   int
	passed  []time.Duration   // arrivals within the last second, under a rate
	claimed map[string]bool   // ids that run now
	seals   map[string]string // first successes, by id
	failed  map[string]bool   // ids that have failed once as they were told to
}

func newPool(site *Site, plan Plan) *Pool {
	return &Pool{Plan: plan, site: site, claimed: map[string]bool{}, seals: map[string]string{}, failed: map[string]bool{}}
}

// pass takes an arrival under the rate.
func (p *Pool) pass(now time.Duration) bool {
	if p.Rate == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passed = slices.DeleteFunc(p.passed, func(at time.Duration) bool { return at <= now-ceilingSpan })
	p.passed = append(p.passed, now)
	return float64(len(p.passed)) <= p.Rate*ceilingSpan.Seconds()*ceilingShare+ceilingMore
}

// claim looks an id up in the table that a service's workers share.
func (p *Pool) claim(id string) (seal string, isRunning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.IsShared {
		return "", false
	}
	if seal = p.seals[id]; seal != "" || p.claimed[id] {
		return seal, seal == ""
	}
	p.claimed[id] = true
	return "", false
}

func (p *Pool) settle(id, seal string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, id)
	if p.IsShared && seal != "" {
		p.seals[id] = seal
	}
}

// isFirst is true once for each id.
func (p *Pool) isFirst(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.failed[id]
	p.failed[id] = true
	return !was
}

// add begins a new life in a zone, at addr.
func (p *Pool) add(zone, addr string, isCold bool) (*Worker, error) {
	now := p.site.Now()
	w := &Worker{Service: p, Zone: zone, From: now}
	if isCold {
		w.ColdUntil = now + p.ColdFor
	}
	p.mu.Lock()
	p.lives++
	w.Id = identifierOf(p.Name, zone, p.lives)
	p.mu.Unlock()
	if err := w.begin(addr); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	p.site.History.Add(func() { p.site.History.Zones[p.Name+"/"+w.Id] = zone })
	return w, nil
}

// identifierOf names a life of a worker: one life in three by where it runs, longer than a name.
func identifierOf(service, zone string, life int) string {
	short := fmt.Sprintf("%s-%d-%x", service, life, rand.Uint32())
	if life%3 != 0 {
		return short
	}
	return "region/" + zone + "/" + service + "/rack-" + strings.Repeat("0", longIdentifier) + "/" + short
}

// longIdentifier is how many characters a long identifier has at least.
const longIdentifier = 64

// drop takes a life off the list.
func (p *Pool) drop(w *Worker) {
	p.mu.Lock()
	p.workers = slices.DeleteFunc(p.workers, func(other *Worker) bool { return other == w })
	p.mu.Unlock()
}

// all lists the lives that go on.
func (p *Pool) all() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.workers)
}

// lay gives a service its first workers, spread over the zones.
func (p *Pool) lay() error {
	zones, count := p.site.Zones, p.Count*len(p.site.Zones)
	if p.Count == 0 {
		count = 1
	}
	for i := range count {
		zone := zones[i%len(zones)]
		if p.Count == 0 {
			zone = ""
		}
		if _, err := p.add(zone, p.site.nextAddr(), false); err != nil {
			return err
		}
	}
	return nil
}

// nextAddr gives an address of its own to a worker or whatever else stands in.
func (s *Site) nextAddr() string {
	return s.at(int(s.hosts.Add(1)), 0)
}
