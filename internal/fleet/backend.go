// Package fleet runs complete deployments on one machine: real daemons as separate processes, with callers that
// generate load and stand-in back ends. It injects faults by a schedule, and records a history that internal/check
// checks.
//
// The fleet command (cmd/fleet), internal/standin and tests use it; no program of the product does.
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

// FaultMode is the fault that a stand-in back end simulates.
type FaultMode int32

// Fault modes of a back end.
const (
	ModeHealthy    FaultMode = iota
	ModeFail                 // answers 500
	ModeSlow                 // runs take twenty times as long
	ModeTruncate             // answers are truncated
	ModeDropAnswer           // does the work and closes the connection without an answer
	ModeStall                // answers only after stallDelay, long after the timeout of a run
)

// stallDelay is added to the duration of each run in ModeStall.
const stallDelay = 4 * time.Second

// Backend is a stand-in for a worker or an endpoint: an HTTP server that records each run.
type Backend struct {
	Pool, Name, Zone string
	Addr             string
	MeanRunTime      time.Duration // runs take from half of it to one and a half times as long
	mode             atomic.Int32  // a FaultMode
	faultyRuns       atomic.Int64  // runs in a mode other than ModeHealthy
	history          *check.History
	now              func() time.Duration
	mu               sync.Mutex
	server           *http.Server
	inUse, maxInUse  int // runs in progress now, and at most so far
}

// NewBackend starts a stand-in at a free port.
func NewBackend(pool, name, zone string, meanRunTime time.Duration, h *check.History, now func() time.Duration) (*Backend, error) {
	b := &Backend{Pool: pool, Name: name, Zone: zone, MeanRunTime: meanRunTime, history: h, now: now}
	return b, b.Start("127.0.0.1:0")
}

// RecordTo sets the history to which runs are recorded, and the clock for their times.
func (b *Backend) RecordTo(h *check.History, now func() time.Duration) { b.history, b.now = h, now }

// Start starts the server at addr, also again after Stop. It does nothing if the server is running.
func (b *Backend) Start(addr string) error {
	b.mu.Lock()
	isUp := b.server != nil
	b.mu.Unlock()
	if isUp {
		return nil // the end of another fault has started it
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

// Stop closes the server and breaks all connections.
func (b *Backend) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = b.server.Close()
	}
	b.server = nil
}

// SetMode sets the fault mode of runs that begin from now on.
func (b *Backend) SetMode(m FaultMode) { b.mode.Store(int32(m)) }

// Checksum returns the SHA-256 checksum of raw in hex, as the system reports checksums.
func Checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// payload is the part of a message's body, and of an answer, that the stand-ins read. A poison message always fails.
type payload struct {
	Token  string `json:"token"`
	Poison bool   `json:"poison,omitempty"`
}

// ServeHTTP carries out one run as the fault mode says and records it.
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
	for _, field := range []string{"X-Message-Id", "X-Attempt"} { // so that the answer identifies its run
		if value := r.Header.Get(field); value != "" {
			w.Header().Set(field, value)
		}
	}
	mode, runTime := FaultMode(b.mode.Load()), b.MeanRunTime/2+time.Duration(rand.Int64N(int64(b.MeanRunTime)+1))
	switch mode {
	case ModeSlow:
		runTime *= 20
	case ModeStall:
		runTime += stallDelay
	}
	if mode != ModeHealthy {
		b.faultyRuns.Add(1)
	}
	time.Sleep(runTime) // simulates the work
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

// Backends holds back ends by Key.
type Backends map[string]*Backend

// Key returns the key of the back end in Backends: pool/name.
func (b *Backend) Key() string { return fmt.Sprintf("%s/%s", b.Pool, b.Name) }
