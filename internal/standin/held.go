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

// habit is how a held caller uses its connection.
type habit int

// The habits.
const (
	busy   habit = iota // hardly a pause between two requests
	idle                // a request just after the process was given a signal, and seldom one before
	pieces              // bodies come in two pieces
	habits              // how many there are
)

// Spans of held callers.
const (
	busyPause  = 40 * time.Millisecond  // the longest between two requests
	idlePause  = 4 * time.Second        // without a signal a request comes after so long
	afterwards = 30 * time.Millisecond  // the longest between a signal and the request that it is awaited for
	piecePause = 400 * time.Millisecond // the longest between two pieces
	heldAnswer = 30 * time.Second       // an answer is waited for so long
	emptyPause = 50 * time.Millisecond  // where there is nobody to call
)

// target is a door of a machine's process, and how it is asked.
type target struct {
	machine *Machine
	addr    string
	request func(draws *rand.Rand) (*http.Request, Sent, error)
	record  func(Sent)
}

// heldCaller keeps using each connection until its process has gone.
type heldCaller struct {
	site   *Site
	habit  habit
	draws  *rand.Rand
	choose func(draws *rand.Rand) (target, bool)
}

// run calls until ctx ends, one connection after another.
func (c *heldCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		t, isFound := c.choose(c.draws)
		if !isFound || !c.hold(ctx, t) {
			pause(ctx, emptyPause)
		}
	}
}

// hold uses one connection until it ends, and reports whether there was one.
func (c *heldCaller) hold(ctx context.Context, t target) bool {
	raw, err := net.DialTimeout("tcp", t.addr, heldAnswer)
	if err != nil {
		return false
	}
	defer raw.Close()
	defer context.AfterFunc(c.site.ctx, func() { _ = raw.Close() })()
	conn, answers := raw.(*net.TCPConn), bufio.NewReader(raw)
	for c.wait(ctx, t.machine) {
		if !c.exchange(conn, answers, t) {
			return true
		}
	}
	return true
}

// wait is the pause before a request; false once ctx has ended.
func (c *heldCaller) wait(ctx context.Context, m *Machine) bool {
	if c.habit != idle {
		return pause(ctx, time.Duration(c.draws.Int64N(int64(busyPause))))
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(c.draws.Int64N(int64(idlePause))))
	defer cancel()
	select {
	case <-m.nextSignal():
		return pause(ctx, time.Duration(c.draws.Int64N(int64(afterwards))))
	case <-bounded.Done():
		return ctx.Err() == nil
	}
}

// exchange sends a request and hears its answer. It reports whether the connection
// can be used again.
func (c *heldCaller) exchange(conn *net.TCPConn, answers *bufio.Reader, t target) (isOpen bool) {
	req, sent, err := t.request(c.draws)
	if err != nil {
		return false
	}
	sent.Daemon, sent.Life = t.machine.Short, t.machine.life.Load()
	raw := &bytes.Buffer{}
	if req.Write(raw) != nil {
		return false
	}
	sent.At = c.site.Now()
	if isWhole := c.send(conn, raw.Bytes()); !isWhole {
		sent.Told, sent.ToldAt = check.NotTaken, c.site.Now()
		t.record(sent)
		return false
	}
	_ = conn.SetReadDeadline(time.Now().Add(heldAnswer))
	answer, err := http.ReadResponse(answers, req)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
	}
	sent.ToldAt = c.site.Now()
	if err != nil {
		sent.IsBroken = !errors.Is(err, os.ErrDeadlineExceeded)
		sent.IsRead = sent.IsBroken && wasRead(conn, err)
	} else {
		sent.Code = answer.StatusCode
		sent.told(answer.Header)
	}
	t.record(sent)
	return err == nil && !answer.Close
}

// send writes a request, for some habits in two pieces, and reports whether all was
// written.
func (c *heldCaller) send(conn net.Conn, raw []byte) (isWhole bool) {
	_ = conn.SetWriteDeadline(time.Now().Add(heldAnswer))
	if c.habit == pieces {
		cut := 1 + c.draws.IntN(len(raw)-1)
		if _, err := conn.Write(raw[:cut]); err != nil {
			return false
		}
		pause(c.site.ctx, time.Duration(c.draws.Int64N(int64(piecePause))))
		raw = raw[cut:]
	}
	_, err := conn.Write(raw)
	return err == nil
}

// wasRead reports whether the process at the other end had read all that was sent
// when the connection ended: what is closed with bytes unread, or gets more of them
// later, is reset.
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

// HoldCalls has held callers of all habits call until ctx ends. The same seed draws
// the same calls for each caller.
func (s *Site) HoldCalls(ctx context.Context, seed uint64, count int) {
	var callers sync.WaitGroup
	for i := range count {
		c := &heldCaller{site: s, habit: habit(i) % habits, draws: rand.New(rand.NewPCG(seed, uint64(i)))}
		c.choose = s.chooseFront
		if i%doorShare == doorShare-1 {
			c.choose = s.chooseDoor
		}
		callers.Go(func() { c.run(ctx) })
	}
	callers.Wait()
}
