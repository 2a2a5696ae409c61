package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Header fields and paths of the platform, as its workers, clients and operators send them.
const (
	attemptId   = "X-Attempt-Id"
	orderKey    = "X-Order-Key"
	notBefore   = "X-Not-Before"
	remaining   = "X-Deadline-Remaining"
	callback    = "X-Callback-Url"
	messageName = "X-Message-Name"
	expect      = "X-Expect-Instance"
	instanceId  = "X-Instance-Id"
	serverStamp = "X-Server-Seal"
	serverLoad  = "X-Server-Load"
	notRun      = "X-Not-Run"
	basedOn     = "X-Based-On-Version"
	retryAfter  = "Retry-After"
	tenantName  = "X-Tenant"
	bearer      = "Bearer "

	operationKey  = "X-Operation-Key"
	authorization = "Authorization"

	healthPath = "/soundness"
)

// ServicePlan describes a service and its workers.
type ServicePlan struct {
	Name                   string
	Slots, Queue, MaxConns int
	Work                   time.Duration
	Count                  int // workers per zone; 0 for an endpoint
	HasDeduplication       bool
	ReportsLoad            bool
	Rate, ColdRate         float64
	ColdFor                time.Duration
	Listed                 int // further workers on the list, served by one process at separate addresses
}

// Pool is a service with its workers, or its one endpoint.
type Pool struct {
	ServicePlan
	site *Site

	mu             sync.Mutex
	workers        []*Worker
	startedWorkers int
	recentArrivals []time.Duration   // within ceilingWindow, if the service has a rate
	claimed        map[string]bool   // ids that are running
	stamps         map[string]string // stamp of the first success, by id
	failed         map[string]bool   // ids whose requested first failure has happened
}

// newPool returns a pool without workers.
func newPool(site *Site, plan ServicePlan) *Pool {
	return &Pool{ServicePlan: plan, site: site, claimed: map[string]bool{}, stamps: map[string]string{}, failed: map[string]bool{}}
}

// admit counts an arrival and reports whether it is within the service's rate.
func (p *Pool) admit(now time.Duration) bool {
	if p.Rate == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recentArrivals = slices.DeleteFunc(p.recentArrivals, func(at time.Duration) bool { return at <= now-ceilingWindow })
	p.recentArrivals = append(p.recentArrivals, now)
	return float64(len(p.recentArrivals)) <= p.Rate*ceilingWindow.Seconds()*ceilingOvershoot+ceilingSlack
}

// claim looks up an id in the deduplication table that the service's workers share. It returns the stamp of an
// earlier success, or whether the id is running, or else claims the id.
func (p *Pool) claim(id string) (stamp string, isRunning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.HasDeduplication {
		return "", false
	}
	if stamp = p.stamps[id]; stamp != "" || p.claimed[id] {
		return stamp, stamp == ""
	}
	p.claimed[id] = true
	return "", false
}

// releaseClaim ends the claim of an id and records the stamp of its success, if any.
func (p *Pool) releaseClaim(id, stamp string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimed, id)
	if p.HasDeduplication && stamp != "" {
		p.stamps[id] = stamp
	}
}

// isFirstFailure returns true once for each id.
func (p *Pool) isFirstFailure(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.failed[id]
	p.failed[id] = true
	return !was
}

// add starts a new worker in a zone at addr.
func (p *Pool) add(zone, addr string, isCold bool) (*Worker, error) {
	now := p.site.Now()
	w := &Worker{Service: p, Zone: zone, From: now}
	if isCold {
		w.ColdUntil = now + p.ColdFor
	}
	p.mu.Lock()
	p.startedWorkers++
	w.Id = identifierOf(p.Name, zone, p.startedWorkers)
	p.mu.Unlock()
	if err := w.listen(addr); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.workers = append(p.workers, w)
	p.mu.Unlock()
	p.site.History.WithLock(func() { p.site.History.Zones[p.Name+"/"+w.Id] = zone })
	return w, nil
}

// identifierOf returns the identifier of a service's worker with that number. One in three is a long path that
// contains its location, longer than names may be.
func identifierOf(service, zone string, number int) string {
	name := fmt.Sprintf("%s-%d-%x", service, number, rand.Uint32())
	if number%3 != 0 {
		return name
	}
	return "region/" + zone + "/" + service + "/rack-" + strings.Repeat("0", longIdentifierPadding) + "/" + name
}

// longIdentifierPadding is the number of padding characters in a long identifier.
const longIdentifierPadding = 64

// remove removes a worker from the list.
func (p *Pool) remove(w *Worker) {
	p.mu.Lock()
	p.workers = slices.DeleteFunc(p.workers, func(other *Worker) bool { return other == w })
	p.mu.Unlock()
}

// all lists the current workers.
func (p *Pool) all() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.workers)
}

// startWorkers starts a service's first workers, spread over the zones.
func (p *Pool) startWorkers() error {
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

// nextAddr returns an unused address.
func (s *Site) nextAddr() string {
	return s.at(int(s.hosts.Add(1)), 0)
}
