package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workTime   = 20 * time.Millisecond
	healthPath = "/health"
	drain      = 3 * time.Second // drain_ms
	slotsEach  = 6
)

// run is one run of a message at a worker.
type run struct {
	id, tenant, service, worker, version, seal string
	start, answered                            time.Time // answered: the whole answer was written
	size                                       int       // bytes of the answer's body
	// isRead: the whole answer was taken in. The sender ended the connection in order, which a system does
	// only where nothing that came was left unread, or sent another request on it.
	isRead bool
}

// worker is one life of a worker. It answers each message with success.
type worker struct {
	Identifier string `json:"identifier"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"concurrency_slots"`
	State      string `json:"state"`
	ColdFor    int    `json:"cold_remaining_ms"`

	answer   int // bytes of an answer's body
	fleet    *workers
	listener net.Listener
	conns    map[net.Conn]bool // under the fleet's mu
	isGone   bool              // the same
}

// workers are those of all services, and the platform's list of them.
type workers struct {
	mu     sync.Mutex
	listed []*worker
	runs   []*run
}

// add begins a worker's life at its address and lists it.
func (f *workers) add(w worker) (*worker, error) {
	listener, err := net.Listen("tcp", w.Address)
	if err != nil {
		return nil, err
	}
	w.Slots, w.State, w.fleet, w.listener, w.conns = slotsEach, "ready", f, listener, map[net.Conn]bool{}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed = append(f.listed, &w)
	go w.accept()
	return &w, nil
}

// drain shows a worker as leaving, and ends it once its time and a second more have passed.
func (f *workers) drain(w *worker) {
	f.mu.Lock()
	w.State = "draining"
	f.mu.Unlock()
	time.AfterFunc(drain+time.Second, func() { f.end(w, 0) })
}

// end ends a worker's life and all its connections. The list shows it for a while longer.
func (f *workers) end(w *worker, shown time.Duration) {
	w.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	w.isGone = true
	for conn := range w.conns {
		conn.Close()
	}
	time.AfterFunc(shown, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, other := range f.listed {
			if other == w {
				f.listed = append(f.listed[:i:i], f.listed[i+1:]...)
				break
			}
		}
	})
}

// ServeHTTP is the platform's list, on one page.
func (f *workers) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	zone, page := r.URL.Query().Get("zone"), []worker{}
	f.mu.Lock()
	for _, w := range f.listed {
		if zone == "" || zone == w.Zone {
			page = append(page, worker{Identifier: w.Identifier, Service: w.Service, Address: w.Address, Zone: w.Zone, Version: w.Version,
				Slots: w.Slots, State: w.State})
		}
	}
	f.mu.Unlock()
	raw, err := json.Marshal(map[string]any{"instances": page, "next_page_token": nil})
	if err != nil || r.URL.Path != "/instances" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(raw)
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.fleet.mu.Lock()
		w.conns[conn] = true
		isGone := w.isGone
		w.fleet.mu.Unlock()
		if isGone {
			conn.Close()
			return
		}
		go w.serve(conn)
	}
}

// serve answers one request after another on a connection.
func (w *worker) serve(conn net.Conn) {
	f := w.fleet
	defer func() {
		conn.Close()
		f.mu.Lock()
		delete(w.conns, conn)
		f.mu.Unlock()
	}()
	in, last := bufio.NewReader(conn), (*run)(nil)
	for {
		r, err := http.ReadRequest(in)
		if last != nil && (err == nil || errors.Is(err, io.EOF)) {
			f.mu.Lock()
			last.isRead = true
			f.mu.Unlock()
		}
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if last, err = w.meet(conn, r); err != nil {
			return
		}
	}
}

// meet answers one request. The run is nil where nothing was run.
func (w *worker) meet(conn net.Conn, r *http.Request) (*run, error) {
	id, expected := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Expect-Instance")
	head := "X-Attempt-Id: " + id + "\r\nKeep-Alive: timeout=8\r\n"
	switch {
	case r.URL.Path == healthPath:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.Identifier)
		return nil, err
	case expected != "" && expected != w.Identifier:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return nil, err
	}
	f := w.fleet
	one := &run{id: id, tenant: r.Header.Get("X-Tenant"), service: w.Service, worker: w.Identifier, version: w.Version, start: time.Now(), size: w.answer}
	f.mu.Lock()
	one.seal = fmt.Sprintf("%x.%d", time.Now().UnixNano()&0xffffff, len(f.runs))
	f.runs = append(f.runs, one)
	f.mu.Unlock()
	time.Sleep(workTime)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", head, one.seal, w.answer, strings.Repeat("q", w.answer))
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	one.answered = time.Now()
	f.mu.Unlock()
	return one, nil
}
