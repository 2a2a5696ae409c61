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
	service Plan
	site    *Site
	port    int

	mu      sync.Mutex
	leaving map[int]bool
	told    *rows      // the entries of the list; nil where they have changed
	first   *sync.Once // of the first run
	began   chan struct{}
}

// Their addresses: 127.sharedNet+.*.*, one after another.
const (
	sharedNet   = 64
	sharedHosts = 250
)

// addShared begins the workers of a service that one process serves.
func (s *Site) addShared(plan Plan) error {
	listener, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "workers of %s", plan.Name)
	}
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	number, err := strconv.Atoi(port)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "port of the workers of %s", plan.Name)
	}
	c := &manyWorkers{service: plan, site: s, port: number, leaving: map[int]bool{}, first: &sync.Once{}, began: make(chan struct{})}
	s.List.shared = append(s.List.shared, c)
	server := &http.Server{Handler: c}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// rows are the entries of the list.
func (c *manyWorkers) rows() *rows {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.told != nil {
		return c.told
	}
	out := make([]instance, 0, c.service.Listed)
	for i := range c.service.Listed {
		state := "ready"
		if c.leaving[i] {
			state = "draining"
		}
		host := fmt.Sprintf("127.%d.%d.%d", sharedNet+i/sharedHosts/sharedHosts, i/sharedHosts%sharedHosts, 1+i%sharedHosts)
		out = append(out, instance{Identifier: c.id(i), Service: c.service.Name, Address: net.JoinHostPort(host, strconv.Itoa(c.port)),
			Zone: c.site.Zones[i%len(c.site.Zones)], Version: "v1", Slots: c.service.Slots, State: state})
	}
	c.told = newRows(out)
	return c.told
}

func (c *manyWorkers) id(i int) string { return fmt.Sprintf("shared-%d", i) }

// leave has one worker leave.
func (c *manyWorkers) leave(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[i], c.told = true, nil
}

// ServeHTTP runs a message, whichever worker it is for.
func (c *manyWorkers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath {
		c.first.Do(func() { close(c.began) })
	}
	w.Header().Set(attemptId, r.Header.Get(attemptId))
	w.Header().Set(instanceId, r.Header.Get(expect))
	w.Header().Set(serverSeal, "shared."+r.Header.Get(attemptId))
	w.WriteHeader(http.StatusOK)
}
