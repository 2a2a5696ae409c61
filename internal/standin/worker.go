package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// Mode is the behaviour of a worker or receiver.
type Mode int32

// The modes of workers.
const (
	Healthy      Mode = iota
	Fail              // each run fails
	Slow              // runs take slowFactor times as long
	LoseResponse      // the work is done but the connection closes without a response
	CutResponse       // the work is done but the response is incomplete
	Silent            // there is no response
	Overloaded        // every request is rejected
)

// faultModes maps the names of faults to the modes of workers.
var faultModes = map[string]Mode{"fail": Fail, "crawl": Slow, "lose": LoseResponse, "cut": CutResponse, "silent": Silent, "full": Overloaded}

const (
	slowFactor   = 10
	poisonText   = "poison"
	failOnceText = "once-fails" // status 500 at the first run
)

// Worker is one instance of a worker or endpoint.
type Worker struct {
	Id, Zone, Addr string
	Service        *Pool
	From           time.Duration
	ColdUntil      time.Duration
	mode           atomic.Int32
	faultyRequests atomic.Int64 // requests handled in a mode other than Healthy
	isDraining     atomic.Bool
	waiting        atomic.Int64
	slots          chan struct{}
	server         *http.Server
}

// listen starts the instance at an address.
func (w *Worker) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.Addr = listener.Addr().String()
	w.slots = make(chan struct{}, w.Service.Slots)
	w.server = &http.Server{Handler: w, IdleTimeout: idleTimeout}
	go func() { _ = w.server.Serve(&limitedListener{Listener: listener, maxOpen: int64(w.Service.MaxConns)}) }()
	return nil
}

// shutDown closes the listener and all connections.
func (w *Worker) shutDown() { _ = w.server.Close() }

// idleTimeout is the keep-alive timeout of workers, which they announce in a Keep-Alive header.
const idleTimeout = 8 * time.Second

// requestLine is the part of a request that must reach the worker unchanged: method, URI and order key.
func requestLine(r *http.Request) string {
	return r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(orderKey)
}

// reject responds to a request that is not run.
func reject(out http.ResponseWriter, code int) int {
	if code != 421 {
		out.Header().Set(notRun, "1")
	}
	out.Header().Set("Content-Length", "0")
	out.WriteHeader(code)
	return code
}

// ServeHTTP handles one request and records the arrival.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	p := w.Service
	now := p.site.Now()
	out.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleTimeout/time.Second)))
	if p.ReportsLoad {
		out.Header().Set(serverLoad, fmt.Sprintf("%d,%d,%d", len(w.slots), w.waiting.Load(), p.Slots))
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		w.health(out, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrival := Arrival{Service: p.Name, Worker: w.Id, Zone: w.Zone, At: now, IsCold: now < w.ColdUntil}
	arrival.Code = w.handle(out, r, body)
	if arrival.Code != 421 {
		p.site.History.WithLock(func() { p.site.History.Arrivals = append(p.site.History.Arrivals, arrival) })
	}
}

// health responds to a health check once a slot is free. It fails if the worker is draining or in mode Fail.
func (w *Worker) health(out http.ResponseWriter, r *http.Request) {
	select {
	case w.slots <- struct{}{}:
		<-w.slots
	case <-r.Context().Done():
		return
	}
	out.Header().Set(instanceId, w.Id)
	if w.isDraining.Load() || Mode(w.mode.Load()) == Fail {
		out.WriteHeader(503)
	}
}

// handle admits, rejects or runs a request and returns the status of the response; 0 if there was none.
func (w *Worker) handle(out http.ResponseWriter, r *http.Request, body []byte) int {
	p, id, mode := w.Service, r.Header.Get(attemptId), Mode(w.mode.Load())
	out.Header().Set(attemptId, id)
	if expected := r.Header.Get(expect); expected != "" && expected != w.Id {
		return reject(out, 421)
	}
	if id == "" {
		return reject(out, 400)
	}
	if !p.admit(p.site.Now()) {
		return reject(out, 429)
	}
	if mode == Overloaded {
		w.faultyRequests.Add(1)
		return reject(out, 503)
	}
	stamp, isRunning := p.claim(id)
	if isRunning {
		return reject(out, 409)
	}
	if stamp != "" { // the stamp of the first success is repeated
		return w.respond(out, 200, stamp)
	}
	if w.waiting.Add(1) > int64(p.Queue) {
		w.waiting.Add(-1)
		p.releaseClaim(id, "")
		return reject(out, 503)
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.waiting.Add(-1)
		p.releaseClaim(id, "")
		return 0
	}
	w.waiting.Add(-1)
	defer func() { <-w.slots }()
	return w.run(out, r, body, mode)
}

// run does the work of one message, and records the run.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, body []byte, mode Mode) int {
	p, id := w.Service, r.Header.Get(attemptId)
	start := p.site.Now()
	timeLeftMs, _ := strconv.ParseFloat(r.Header.Get(remaining), 64)
	deadline := time.Duration(timeLeftMs * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	run := Run{Run: check.Run{Token: id, Id: id, Pool: p.Name, Worker: w.Id, BodySum: fleet.Checksum(body), Start: start}, RequestLine: requestLine(r),
		Tenant: r.Header.Get(tenantName), KeyField: apiKeyField(r)}
	defer func() {
		// After a response, End is the time before it was written: a client that has read it may start the next message.
		if run.End == 0 {
			run.End = p.site.Now()
		}
		p.releaseClaim(id, run.Stamp)
		p.site.History.WithLock(func() { p.site.History.Runs = append(p.site.History.Runs, run) })
	}()
	work := p.Work/2 + time.Duration(rand.Int64N(int64(p.Work)+1))
	if mode != Healthy {
		w.faultyRequests.Add(1)
	}
	switch mode {
	case Slow:
		work *= slowFactor
	case Silent:
		<-r.Context().Done()
		return 0
	}
	if !sleep(ctx, work) {
		if r.Context().Err() == nil {
			run.Status = 504
			return w.respond(out, 504, "")
		}
		return 0 // the client has gone, so the work is dropped
	}
	switch {
	case strings.Contains(string(body), poisonText):
		run.Status = 422
	case mode == Fail || strings.Contains(string(body), failOnceText) && p.isFirstFailure(id):
		run.Status = 500
	default:
		run.Status, run.Stamp = 200, fmt.Sprintf("%x.%s.%d", rand.Uint64(), w.Id, start)
	}
	run.End = p.site.Now()
	if mode == LoseResponse || mode == CutResponse {
		breakConnection(out, mode == CutResponse)
		return 0
	}
	code := w.respond(out, run.Status, run.Stamp)
	run.IsAnswerComplete, run.TimeLeft = code != 0 && r.Context().Err() == nil, deadline-(p.site.Now()-start)
	return run.Status
}

// respond writes a complete response and returns its status; 0 if that failed. The size and framing depend on the
// message.
func (w *Worker) respond(out http.ResponseWriter, code int, stamp string) int {
	shape := responseShapeOf(out.Header().Get(attemptId))
	if stamp != "" {
		out.Header().Set(serverStamp, stamp)
	}
	if !shape.isChunked {
		out.Header().Set("Content-Length", strconv.Itoa(shape.size))
	}
	out.WriteHeader(code)
	if shape.write(out) != nil || http.NewResponseController(out).Flush() != nil {
		return 0
	}
	return code
}

// breakConnection closes a connection without a response, or within one.
func breakConnection(out http.ResponseWriter, isWithin bool) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if isWithin {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n" + serverStamp + ": never.whole\r\n\r\nhalf"))
	}
	conn.Close()
}
