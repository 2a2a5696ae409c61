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

// FaultMode is how a stand-in back end behaves.
type FaultMode int32

// The modes.
const (
	ModeHealthy    FaultMode = iota
	ModeFail                 // answers 500
	ModeSlow                 // takes twenty times as long
	ModeTruncate             // cuts its answers short
	ModeDropAnswer           // does the job and loses its answer
	ModeStall                // answers only long after a run's bound
)

const stallDelay = 4 * time.Second

// Backend is a stand-in worker or endpoint.
type Backend struct {
	Pool, Name, Zone string
	Addr             string
	MeanRunTime      time.Duration
	mode             atomic.Int32
	faultyRuns       atomic.Int64 // runs that met a mode other than Well
	history          *check.History
	now              func() time.Duration
	mu               sync.Mutex
	server           *http.Server
	inUse, maxInUse  int
}

// NewBackend starts a stand-in at a free port.
func NewBackend(pool, name, zone string, work time.Duration, h *check.History, now func() time.Duration) (*Backend, error) {
	b := &Backend{Pool: pool, Name: name, Zone: zone, MeanRunTime: work, history: h, now: now}
	return b, b.Start("127.0.0.1:0")
}

// RecordTo tells where to write runs down, and by which clock.
func (b *Backend) RecordTo(h *check.History, now func() time.Duration) { b.history, b.now = h, now }

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

// SetMode changes the mode.
func (b *Backend) SetMode(m FaultMode) { b.mode.Store(int32(m)) }

// Checksum is a checksum as the system gives it.
func Checksum(raw []byte) string {
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
		BodySum: Checksum(body), Start: start}
	if name, isNamed := strings.CutPrefix(r.UserAgent(), "caperwheel/"); isNamed {
		run.Adapter = name
	}
	run.Revision, _ = strconv.ParseInt(r.Header.Get("X-Charter-Stamp"), 10, 64)
	b.mu.Lock()
	b.inUse++
	b.maxInUse = max(b.maxInUse, b.inUse)
	b.mu.Unlock()
	for _, field := range []string{"X-Message-Id", "X-Attempt"} { // so that the answer tells whose it is
		if value := r.Header.Get(field); value != "" {
			w.Header().Set(field, value)
		}
	}
	mode, work := FaultMode(b.mode.Load()), b.MeanRunTime/2+time.Duration(rand.Int64N(int64(b.MeanRunTime)+1))
	switch mode {
	case ModeSlow:
		work *= 20
	case ModeStall:
		work += stallDelay
	}
	if mode != ModeHealthy {
		b.faultyRuns.Add(1)
	}
	time.Sleep(work) // the work itself
	answer, _ := json.Marshal(map[string]any{"token": check.AnswerOf(p.Token), "by": b.Name, "attempt": attempt})
	run.Status, run.AnswerSum = 200, Checksum(answer)
	switch {
	case p.Poison:
		run.Status = 422
	case mode == ModeFail:
		run.Status = 500
	}
	run.End = b.now()
	defer func() {
		b.mu.Lock()
		b.inUse--
		b.mu.Unlock()
		b.history.AddRun(run)
	}()
	switch mode {
	case ModeDropAnswer:
		if hj, isHj := w.(http.Hijacker); isHj {
			if conn, _, err := hj.Hijack(); err == nil {
				conn.Close()
			}
		}
		return
	case ModeTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.WriteHeader(run.Status)
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(run.Status)
	_, err = w.Write(answer)
	run.IsAnswerComplete = err == nil && r.Context().Err() == nil
}

// Backends is a set that can be found by name.
type Backends map[string]*Backend

// Key of a back end.
func (b *Backend) Key() string { return fmt.Sprintf("%s/%s", b.Pool, b.Name) }
