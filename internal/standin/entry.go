package standin

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"caperwheel/internal/errs"
)

const maxFailedProbes = 2 // consecutive failed probes that take a front out of rotation

// entry stands in for the platform's load balancer: it assigns client connections to fronts whose readiness probes
// succeed.
type entry struct {
	site         *Site
	fronts       []*Machine
	client       *http.Client
	mu           sync.Mutex
	failedProbes map[*Machine]int
}

// newEntry returns an entry to the site's fronts; none is in rotation before its first successful probe.
func newEntry(s *Site) *entry {
	e := &entry{site: s, failedProbes: map[*Machine]int{}, client: &http.Client{Timeout: time.Second}}
	for _, m := range s.Machines {
		if m.Class == classFront {
			e.fronts = append(e.fronts, m)
			e.failedProbes[m] = maxFailedProbes
		}
	}
	return e
}

// probe sends a readiness probe to every front and counts consecutive failures.
func (e *entry) probe() {
	var wg sync.WaitGroup
	for _, m := range e.fronts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			response, err := e.client.Get("http://" + e.site.at(m.host, portReady) + "/v1/readiness")
			isReady := err == nil && response.StatusCode == 200
			if err == nil {
				response.Body.Close()
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.failedProbes[m]++; isReady {
				e.failedProbes[m] = 0
			}
		}()
	}
	wg.Wait()
}

// readyFronts returns the fronts in rotation.
func (e *entry) readyFronts() []*Machine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.fronts), func(m *Machine) bool { return e.failedProbes[m] >= maxFailedProbes })
}

// isEveryFrontReady reports whether all fronts are in rotation.
func (e *entry) isEveryFrontReady() bool { return len(e.readyFronts()) == len(e.fronts) }

// machinesInZone returns the machines of a zone.
func machinesInZone(list []*Machine, zone string) []*Machine {
	return slices.DeleteFunc(slices.Clone(list), func(m *Machine) bool { return m.Zone != zone })
}

// chooseFrontFor chooses the front for a client's connection: one of the client's zone, or else of the next zone that
// has a ready front. All fronts of the client's zone are candidates, ready or not, if no front is ready anywhere or
// less than half of that zone's are. A hash of the client's name selects the candidate; each retry selects the next
// one.
func chooseFrontFor(zones []string, fronts, ready []*Machine, zone, client string, try int) *Machine {
	firstZone := max(0, slices.Index(zones, zone))
	candidates := []*Machine{}
	for i := range zones {
		if candidates = machinesInZone(ready, zones[(firstZone+i)%len(zones)]); len(candidates) > 0 {
			break
		}
	}
	if zoneFronts := machinesInZone(fronts, zone); len(candidates) == 0 || candidates[0].Zone == zone && 2*len(candidates) < len(zoneFronts) {
		candidates = zoneFronts
	}
	if len(candidates) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(client))
	return candidates[(int(sum.Sum32()%1000)+try)%len(candidates)]
}

// dialer returns a dial function that connects one client to the front that the entry chooses for each try.
func (e *entry) dialer(zone, client string, try func() int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		m := chooseFrontFor(e.site.Zones, e.fronts, e.readyFronts(), zone, client, try())
		if m == nil {
			return nil, errs.New(errs.Lost, "cannot open a connection: no zone has a front")
		}
		return (&net.Dialer{}).DialContext(ctx, network, e.site.at(m.host, portFront))
	}
}

// transportTo returns a transport that connects to one given front, bypassing the load balancer.
func (e *entry) transportTo(m *Machine) http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, e.site.at(m.host, portFront))
	}}
}

// machineAt returns the machine that has an address; nil if there is none.
func (s *Site) machineAt(addr net.Addr) *Machine {
	host, _, _ := net.SplitHostPort(addr.String())
	for _, m := range s.Machines {
		if own, _, _ := net.SplitHostPort(s.at(m.host, 0)); own == host {
			return m
		}
	}
	return nil
}

// millis formats a duration as a number of milliseconds.
func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
