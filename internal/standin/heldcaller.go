package standin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"caperwheel/internal/check"
)

// connectionUse is how a held caller uses its connection.
type connectionUse int

// The ways in which held callers use their connections.
const (
	busy           connectionUse = iota // requests follow each other with hardly a pause
	idle                                // a request follows a signal to the process, and is rare otherwise
	inPieces                            // a request is sent in two pieces
	connectionUses                      // number of ways
)

// Durations for held callers.
const (
	maxBusyPause    = 40 * time.Millisecond  // longest pause between two requests
	maxIdlePause    = 4 * time.Second        // longest wait for a signal before a request
	maxSignalDelay  = 30 * time.Millisecond  // longest pause between a signal and the request after it
	maxPiecePause   = 400 * time.Millisecond // longest pause between two pieces of a request
	responseTimeout = 30 * time.Second       // for dialing, sending and receiving
	noTargetPause   = 50 * time.Millisecond  // when no target is running
)

// callTarget is an endpoint of a machine, with functions that build a request for it and record the outcome.
type callTarget struct {
	machine *Machine
	addr    string
	request func(rng *rand.Rand) (*http.Request, Submission, error)
	record  func(Submission)
}

// heldCaller keeps using a connection until the process at the other end has closed it, and then opens another.
type heldCaller struct {
	site          *Site
	connectionUse connectionUse
	rng           *rand.Rand
	choose        func(rng *rand.Rand) (callTarget, bool)
}

// run uses one connection after another until ctx ends.
func (c *heldCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		t, isFound := c.choose(c.rng)
		if !isFound || !c.useConnection(ctx, t) {
			sleep(ctx, noTargetPause)
		}
	}
}

// useConnection sends requests on one connection until it closes or ctx ends, and reports whether it could be opened.
func (c *heldCaller) useConnection(ctx context.Context, t callTarget) bool {
	raw, err := net.DialTimeout("tcp", t.addr, responseTimeout)
	if err != nil {
		return false
	}
	defer raw.Close()
	defer context.AfterFunc(c.site.ctx, func() { _ = raw.Close() })()
	conn, responses := raw.(*net.TCPConn), bufio.NewReader(raw)
	for c.waitBeforeRequest(ctx, t.machine) {
		if !c.exchange(conn, responses, t) {
			return true
		}
	}
	return true
}

// waitBeforeRequest waits as the connection use demands before the next request. It returns false once ctx has ended.
func (c *heldCaller) waitBeforeRequest(ctx context.Context, m *Machine) bool {
	if c.connectionUse != idle {
		return sleep(ctx, time.Duration(c.rng.Int64N(int64(maxBusyPause))))
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, time.Duration(c.rng.Int64N(int64(maxIdlePause))))
	defer cancel()
	select {
	case <-m.nextSignal():
		return sleep(ctx, time.Duration(c.rng.Int64N(int64(maxSignalDelay))))
	case <-timeoutCtx.Done():
		return ctx.Err() == nil
	}
}

// exchange sends a request, reads its response and records the outcome. It reports whether the connection can be used
// again.
func (c *heldCaller) exchange(conn *net.TCPConn, responses *bufio.Reader, t callTarget) (isOpen bool) {
	req, sent, err := t.request(c.rng)
	if err != nil {
		return false
	}
	sent.Daemon, sent.Incarnation = t.machine.ShortName, t.machine.incarnation.Load()
	raw := &bytes.Buffer{}
	if req.Write(raw) != nil {
		return false
	}
	sent.SentAt = c.site.Now()
	if isWhole := c.send(conn, raw.Bytes()); !isWhole {
		sent.Outcome, sent.AnsweredAt = check.NotTaken, c.site.Now()
		t.record(sent)
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(responseTimeout))
	response, err := http.ReadResponse(responses, req)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	sent.AnsweredAt = c.site.Now()
	if err != nil {
		sent.IsConnectionBroken = !errors.Is(err, os.ErrDeadlineExceeded)
		sent.IsFullyRead = sent.IsConnectionBroken && wasRead(conn, err)
	} else {
		sent.Code = response.StatusCode
		sent.applyResponse(response.Header)
	}
	t.record(sent)
	return err == nil && !response.Close
}

// send writes a request, in two pieces if the connection use is inPieces, and reports whether it was written
// completely.
func (c *heldCaller) send(conn net.Conn, raw []byte) (isWhole bool) {
	_ = conn.SetWriteDeadline(time.Now().Add(responseTimeout))
	if c.connectionUse == inPieces {
		splitAt := 1 + c.rng.IntN(len(raw)-1)
		if _, err := conn.Write(raw[:splitAt]); err != nil {
			return false
		}
		sleep(c.site.ctx, time.Duration(c.rng.Int64N(int64(maxPiecePause))))
		raw = raw[splitAt:]
	}
	_, err := conn.Write(raw)
	return err == nil
}

// wasRead reports whether the process at the other end had read everything that was sent before it closed the
// connection. The kernel resets a connection that is closed with unread bytes, or that receives bytes after it was
// closed.
func wasRead(conn *net.TCPConn, err error) bool {
	isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	raw, rawErr := conn.SyscallConn()
	if !isEnd || rawErr != nil {
		return false
	}
	code := 0
	if raw.Control(func(fd uintptr) { code, rawErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) }) != nil {
		return false
	}
	return rawErr == nil && code == 0
}

// RunHeldCallers runs count held callers with all connection uses until ctx ends. The same seed draws the same
// requests for each caller.
func (s *Site) RunHeldCallers(ctx context.Context, seed uint64, count int) {
	var callers sync.WaitGroup
	for i := range count {
		c := &heldCaller{site: s, connectionUse: connectionUse(i) % connectionUses, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		c.choose = s.chooseFront
		if i%adminCallerEvery == adminCallerEvery-1 {
			c.choose = s.chooseAdminEndpoint
		}
		callers.Go(func() { c.run(ctx) })
	}
	callers.Wait()
}
