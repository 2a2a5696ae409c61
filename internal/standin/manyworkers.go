package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"

	"caperwheel/internal/errs"
)

// manyWorkers emulates a very large number of workers of a service: each has its own address and identifier, and one
// HTTP server behind all the addresses responds to every request.
type manyWorkers struct {
	service ServicePlan
	site    *Site
	port    int

	mu           sync.Mutex
	draining     map[int]bool
	cachedRows   *rows      // entries of the list; nil after a change
	firstRunOnce *sync.Once // closes firstRunSeen
	firstRunSeen chan struct{}
}

// The workers' addresses are 127.n.x.y, in order, with n from firstSharedNetwork on.
const (
	firstSharedNetwork  = 64
	sharedHostsPerOctet = 250
)

// addManyWorkers starts the workers of a service that share one server.
func (s *Site) addManyWorkers(plan ServicePlan) error {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "listen for the workers of service %s", plan.Name)
	}
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "parse the port of the workers of service %s", plan.Name)
	}
	c := &manyWorkers{service: plan, site: s, port: number, draining: map[int]bool{}, firstRunOnce: &sync.Once{}, firstRunSeen: make(chan struct{})}
	s.List.sharedWorkers = append(s.List.sharedWorkers, c)
	server := &http.Server{Handler: c}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// rows returns the workers' entries of the list.
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

// id returns the identifier of a worker.
func (c *manyWorkers) id(i int) string { return fmt.Sprintf("shared-%d", i) }

// drain marks a worker as draining on the list.
func (c *manyWorkers) drain(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[i], c.cachedRows = true, nil
}

// ServeHTTP responds with success to a message for any of the workers.
func (c *manyWorkers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		c.firstRunOnce.Do(func() { close(c.firstRunSeen) })
	}
	w.Header().Set(attemptId, r.Header.Get(attemptId))
	w.Header().Set(instanceId, r.Header.Get(expect))
	w.Header().Set(serverStamp, "shared."+r.Header.Get(attemptId))
	w.WriteHeader(http.StatusOK)
}
