// Package fleet runs whole deployments on one machine as separate processes,
// with stand-in callers and back ends, and causes faults. It is the proof
// tool: no product program uses it.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/check"
)

// Mode is how a stand-in back end behaves.
type Mode int32

// The modes.
const (
	Well  Mode = iota
	Fail       // answers 500
	Crawl      // takes twenty times as long
	Cut        // cuts its answers short
	Lose       // does the job and loses its answer
	Stall      // answers only long after a run's bound
)

const stallFor = 4 * time.Second

// Backend is a stand-in worker or endpoint.
type Backend struct {
	Pool, Name, Zone string
	Addr             string
	Work             time.Duration
	mode             atomic.Int32
	met              atomic.Int64 // runs that met a mode other than Well
	h                *check.History
	now              func() time.Duration
	mu               sync.Mutex
	server           *http.Server
	inUse, most      int
}

// NewBackend starts a stand-in at a free port.
func NewBackend(pool, name, zone string, work time.Duration, h *check.History, now func() time.Duration) (*Backend, error) {
	b := &Backend{Pool: pool, Name: name, Zone: zone, Work: work, h: h, now: now}
	return b, b.Start("127.0.0.1:0")
}

// Record tells where to write runs down, and by which clock.
func (b *Backend) Record(h *check.History, now func() time.Duration) { b.h, b.now = h, now }

// Start listens; also after a stop, at the same address.
func (b *Backend) Start(addr string) error {
	b.mu.Lock()
	isUp := b.server != nil
	b.mu.Unlock()
	if isUp {
		return nil // another fault's end has started it
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.Addr = listener.Addr().String()
	server := &http.Server{Handler: b}
	b.mu.Lock()
	b.server = server
	b.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// Stop vanishes: connections break.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = b.server.Close()
	}
	b.server = nil
}

// Behave changes the mode.
func (b *Backend) Behave(m Mode) { b.mode.Store(int32(m)) }

// Sum is a checksum as the system gives it.
func Sum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

type payload struct {
	Token  string `json:"token"`
	Poison bool   `json:"poison,omitempty"`
}

// ServeHTTP does one run and records it.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := b.now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var p payload
	_ = json.Unmarshal(body, &p)
	attempt, _ := strconv.ParseInt(r.Header.Get("X-Attempt"), 10, 64)
	run := check.Run{Token: p.Token, Id: r.Header.Get("X-Message-Id"), Attempt: attempt, Pool: b.Pool, Worker: b.Name,
		Sum: Sum(body), Start: start}
	if name, isNamed := strings.CutPrefix(r.UserAgent(), "caperwheel/"); isNamed {
		run.Adapter = name
	}
	run.Revision, _ = strconv.ParseInt(r.Header.Get("X-Charter-Stamp"), 10, 64)
	b.mu.Lock()
	b.inUse++
	b.most = max(b.most, b.inUse)
	b.mu.Unlock()
	for _, field := range []string{"X-Message-Id", "X-Attempt"} { // so that the answer tells whose it is
		if value := r.Header.Get(field); value != "" {
			w.Header().Set(field, value)
		}
	}
	mode, work := Mode(b.mode.Load()), b.Work/2+time.Duration(rand.Int64N(int64(b.Work)+1))
	switch mode {
	case Crawl:
		work *= 20
	case Stall:
		work += stallFor
	}
	if mode != Well {
		b.met.Add(1)
	}
	time.Sleep(work) // the work itself
	answer, _ := json.Marshal(map[string]any{"token": check.AnswerOf(p.Token), "by": b.Name, "attempt": attempt})
	run.Status, run.Answer = 200, Sum(answer)
	switch {
	case p.Poison:
		run.Status = 422
	case mode == Fail:
		run.Status = 500
	}
	run.End = b.now()
	defer func() {
		b.mu.Lock()
		b.inUse--
		b.mu.Unlock()
		b.h.AddRun(run)
	}()
	switch mode {
	case Lose:
		if hj, isHj := w.(http.Hijacker); isHj {
			if conn, _, err := hj.Hijack(); err == nil {
				conn.Close()
			}
		}
		return
	case Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.WriteHeader(run.Status)
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(run.Status)
	_, err = w.Write(answer)
	run.IsWhole = err == nil && r.Context().Err() == nil
}

// Backends is a set that can be found by name.
type Backends map[string]*Backend

// Key of a back end.
func (b *Backend) Key() string { return fmt.Sprintf("%s/%s", b.Pool, b.Name) }
