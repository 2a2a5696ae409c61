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

const maxFailedProbes = 2 // so many in a row take a daemon out

// entry passes clients' sessions to fronts that say they are ready.
type entry struct {
	site         *Site
	fronts       []*Machine
	client       *http.Client
	mu           sync.Mutex
	failedProbes map[*Machine]int
}

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

// probe asks every front whether it is ready.
func (e *entry) probe() {
	var wg sync.WaitGroup
	for _, m := range e.fronts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answer, err := e.client.Get("http://" + e.site.at(m.host, portReady) + "/v1/readiness")
			isReady := err == nil && answer.StatusCode == 200
			if err == nil {
				answer.Body.Close()
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

func (e *entry) readyFronts() []*Machine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(e.fronts), func(m *Machine) bool { return e.failedProbes[m] >= maxFailedProbes })
}

func (e *entry) isEveryFrontReady() bool { return len(e.readyFronts()) == len(e.fronts) }

func machinesInZone(list []*Machine, zone string) []*Machine {
	return slices.DeleteFunc(slices.Clone(list), func(m *Machine) bool { return m.Zone != zone })
}

// chooseFrontFor gives a client's session a front: of its zone, or else of the next
// zone that has any; by a hash, and another one for each further try.
func chooseFrontFor(zones []string, fronts, in []*Machine, zone, client string, try int) *Machine {
	from := max(0, slices.Index(zones, zone))
	list := []*Machine{}
	for i := range zones {
		if list = machinesInZone(in, zones[(from+i)%len(zones)]); len(list) > 0 {
			break
		}
	}
	if own := machinesInZone(fronts, zone); len(list) == 0 || list[0].Zone == zone && 2*len(list) < len(own) {
		list = own
	}
	if len(list) == 0 {
		return nil
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(client))
	return list[(int(sum.Sum32()%1000)+try)%len(list)]
}

// dialer opens sessions of one client, which are passed on.
func (e *entry) dialer(zone, client string, try func() int) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		m := chooseFrontFor(e.site.Zones, e.fronts, e.readyFronts(), zone, client, try())
		if m == nil {
			return nil, errs.New(errs.Lost, "there is no front")
		}
		return (&net.Dialer{}).DialContext(ctx, network, e.site.at(m.host, portFront))
	}
}

// transportTo opens sessions with one front, past the choice.
func (e *entry) transportTo(m *Machine) http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, e.site.at(m.host, portFront))
	}}
}

// machineAt reports whose address it is.
func (s *Site) machineAt(addr net.Addr) *Machine {
	host, _, _ := net.SplitHostPort(addr.String())
	for _, m := range s.Machines {
		if own, _, _ := net.SplitHostPort(s.at(m.host, 0)); own == host {
			return m
		}
	}
	return nil
}

func millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
