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

// Mode is how workers behave.
type Mode int32

// The modes of workers.
const (
	Well   Mode = iota
	Fail        // each attempt fails
	Crawl       // slow
	Lose        // the work is done and its answer lost
	Cut         // the answer ends early
	Silent      // no answer comes
	Full        // nothing is run
)

var modes = map[string]Mode{"fail": Fail, "crawl": Crawl, "lose": Lose, "cut": Cut, "silent": Silent, "full": Full}

const (
	crawlShare = 10
	poisonWord = "poison"
	failWord   = "once-fails" // 500 at the first attempt
)

// Worker is one life of a worker or endpoint.
type Worker struct {
	Id, Zone, Addr string
	Service        *Pool
	From           time.Duration
	ColdUntil      time.Duration
	mode           atomic.Int32
	met            atomic.Int64 // runs in an odd mode
	isLeaving      atomic.Bool
	waiting        atomic.Int64
	slots          chan struct{}
	server         *http.Server
}

// begin starts a life at an address.
func (w *Worker) begin(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.Addr = listener.Addr().String()
	w.slots = make(chan struct{}, w.Service.Slots)
	w.server = &http.Server{Handler: w, IdleTimeout: idleSpan}
	go func() { _ = w.server.Serve(&fewConns{Listener: listener, most: int64(w.Service.Conns)}) }()
	return nil
}

// end breaks everything off.
func (w *Worker) end() { _ = w.server.Close() }

const idleSpan = 8 * time.Second

// lineOf is what a worker must get as the client sent it.
func lineOf(r *http.Request) string {
	return r.Method + " " + r.URL.RequestURI() + " " + r.Header.Get(orderKey)
}

// reject answers what did not run.
func reject(out http.ResponseWriter, code int) int {
	if code != 421 {
		out.Header().Set(notRun, "1")
	}
	out.Header().Set("Content-Length", "0")
	out.WriteHeader(code)
	return code
}

// ServeHTTP meets one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	p := w.Service
	now := p.site.Now()
	out.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(idleSpan/time.Second)))
	if p.TellsLoad {
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
	met := Met{Service: p.Name, Worker: w.Id, Zone: w.Zone, At: now, IsCold: now < w.ColdUntil}
	met.Code = w.meet(out, r, body)
	if met.Code != 421 {
		p.site.History.Add(func() { p.site.History.Met = append(p.site.History.Met, met) })
	}
}

func (w *Worker) health(out http.ResponseWriter, r *http.Request) {
	select {
	case w.slots <- struct{}{}:
		<-w.slots
	case <-r.Context().Done():
		return
	}
	out.Header().Set(instanceId, w.Id)
	if w.isLeaving.Load() || Mode(w.mode.Load()) == Fail {
		out.WriteHeader(503)
	}
}

// meet gives the status of the answer; 0 where none was given.
func (w *Worker) meet(out http.ResponseWriter, r *http.Request, body []byte) int {
	p, id, mode := w.Service, r.Header.Get(attemptId), Mode(w.mode.Load())
	out.Header().Set(attemptId, id)
	if expected := r.Header.Get(expect); expected != "" && expected != w.Id {
		return reject(out, 421)
	}
	if id == "" {
		return reject(out, 400)
	}
	if !p.pass(p.site.Now()) {
		return reject(out, 429)
	}
	if mode == Full {
		w.met.Add(1)
		return reject(out, 503)
	}
	seal, isRunning := p.claim(id)
	if isRunning {
		return reject(out, 409)
	}
	if seal != "" { // the first success again
		return w.tell(out, 200, seal)
	}
	if w.waiting.Add(1) > int64(p.Queue) {
		w.waiting.Add(-1)
		p.settle(id, "")
		return reject(out, 503)
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		w.waiting.Add(-1)
		p.settle(id, "")
		return 0
	}
	w.waiting.Add(-1)
	defer func() { <-w.slots }()
	return w.run(out, r, body, mode)
}

// run does the work of one message, and records it.
func (w *Worker) run(out http.ResponseWriter, r *http.Request, body []byte, mode Mode) int {
	p, id := w.Service, r.Header.Get(attemptId)
	start := p.site.Now()
	spare, _ := strconv.ParseFloat(r.Header.Get(remaining), 64)
	deadline := time.Duration(spare * float64(time.Millisecond))
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	run := Run{Run: check.Run{Token: id, Id: id, Pool: p.Name, Worker: w.Id, Sum: fleet.Sum(body), Start: start}, Line: lineOf(r),
		Tenant: r.Header.Get(tenantName), KeyIn: keyIn(r)}
	defer func() {
		if run.End == 0 { // else it ended before its answer was sent: whoever has that may begin the next
			run.End = p.site.Now()
		}
		p.settle(id, run.Seal)
		p.site.History.Add(func() { p.site.History.Runs = append(p.site.History.Runs, run) })
	}()
	work := p.Work/2 + time.Duration(rand.Int64N(int64(p.Work)+1))
	if mode != Well {
		w.met.Add(1)
	}
	switch mode {
	case Crawl:
		work *= crawlShare
	case Silent:
		<-r.Context().Done()
		return 0
	}
	if !pause(ctx, work) {
		if r.Context().Err() == nil {
			run.Status = 504
			return w.tell(out, 504, "")
		}
		return 0 // it drops what nobody waits for
	}
	switch {
	case strings.Contains(string(body), poisonWord):
		run.Status = 422
	case mode == Fail || strings.Contains(string(body), failWord) && p.isFirst(id):
		run.Status = 500
	default:
		run.Status, run.Seal = 200, fmt.Sprintf("%x.%s.%d", rand.Uint64(), w.Id, start)
	}
	run.End = p.site.Now()
	if mode == Lose || mode == Cut {
		breakOff(out, mode == Cut)
		return 0
	}
	code := w.tell(out, run.Status, run.Seal)
	run.IsWhole, run.Spare = code != 0 && r.Context().Err() == nil, deadline-(p.site.Now()-start)
	return run.Status
}

// tell answers whole; 0 if nobody heard it. Each message has its own form of answer.
func (w *Worker) tell(out http.ResponseWriter, code int, seal string) int {
	form := formOf(out.Header().Get(attemptId))
	if seal != "" {
		out.Header().Set(serverSeal, seal)
	}
	if !form.isChunked {
		out.Header().Set("Content-Length", strconv.Itoa(form.size))
	}
	out.WriteHeader(code)
	if form.write(out) != nil || http.NewResponseController(out).Flush() != nil {
		return 0
	}
	return code
}

// breakOff ends a session without an answer, or within one.
func breakOff(out http.ResponseWriter, isWithin bool) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	if isWithin {
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n" + serverSeal + ": never.whole\r\n\r\nhalf"))
	}
	conn.Close()
}
