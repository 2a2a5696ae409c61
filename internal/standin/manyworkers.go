package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"

	"caperwheel/internal/errs"
)

// manyWorkers is very many workers of a service in one process: each has an address and an identifier of
// its own, and one server behind all addresses runs what comes.
type manyWorkers struct {
	service ServicePlan
	site    *Site
	port    int

	mu           sync.Mutex
	draining     map[int]bool
	cachedRows   *rows      // the entries of the list; nil where they have changed
	firstRunOnce *sync.Once // of the first run
	firstRunSeen chan struct{}
}

// Their addresses: 127.firstSharedNetwork+.*.*, one after another.
const (
	firstSharedNetwork  = 64
	sharedHostsPerOctet = 250
)

// addManyWorkers begins the workers of a service that one process serves.
func (s *Site) addManyWorkers(plan ServicePlan) error {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "workers of %s", plan.Name)
	}
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "port of the workers of %s", plan.Name)
	}
	c := &manyWorkers{service: plan, site: s, port: number, draining: map[int]bool{}, firstRunOnce: &sync.Once{}, firstRunSeen: make(chan struct{})}
	s.List.sharedWorkers = append(s.List.sharedWorkers, c)
	server := &http.Server{Handler: c}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// rows are the entries of the list.
func (c *manyWorkers) rows() *rows {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cachedRows != nil {
		return c.cachedRows
	}
	out := make([]instance, 0, c.service.Listed)
	for i := range c.service.Listed {
		state := "ready"
		if c.draining[i] {
			state = "draining"
		}
		host := fmt.Sprintf("127.%d.%d.%d", firstSharedNetwork+i/sharedHostsPerOctet/sharedHostsPerOctet, i/sharedHostsPerOctet%sharedHostsPerOctet, 1+i%sharedHostsPerOctet)
		out = append(out, instance{Identifier: c.id(i), Service: c.service.Name, Address: net.JoinHostPort(host, strconv.Itoa(c.port)),
			Zone: c.site.Zones[i%len(c.site.Zones)], Version: "v1", Slots: c.service.Slots, State: state})
	}
	c.cachedRows = newRows(out)
	return c.cachedRows
}

func (c *manyWorkers) id(i int) string { return fmt.Sprintf("shared-%d", i) }

// leave has one worker leave.
func (c *manyWorkers) drain(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[i], c.cachedRows = true, nil
}

// ServeHTTP runs a message, whichever worker it is for.
func (c *manyWorkers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		c.firstRunOnce.Do(func() { close(c.firstRunSeen) })
	}
	w.Header().Set(attemptId, r.Header.Get(attemptId))
	w.Header().Set(instanceId, r.Header.Get(expect))
	w.Header().Set(serverStamp, "shared."+r.Header.Get(attemptId))
	w.WriteHeader(http.StatusOK)
}
