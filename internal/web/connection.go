package web

import (
	"net"
	"net/http"
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// phase is the state of a connection.
type phase int

// The states. A connection goes from busy to answered or idle, from answered to
// idle, from idle to busy, and from each to spent.
const (
	phaseBusy     phase = iota // a request is on it
	phaseAnswered              // its answer was whole, and its reader is on its way back
	phaseIdle                  // its reader waits, and nothing has come since the answer
	phaseClosed                // never used again
)

// connection is a net.Conn that knows what came on it, and when. The library's
// reader reads again after an answer only if nothing is left over of it: what is
// left over, or comes unasked, never leads to the state idle.
//
// Invariant: it is in its client's list only while it is idle.
type connection struct {
	net.Conn
	client     *Client
	address    string
	clientConn *http.ClientConn
	requests   int  // by the goroutine that has it
	isPlain    bool // no TLS, whose own bytes come and go at any time

	mu             sync.Mutex
	phase          phase
	isReading      bool
	isWriting      bool
	isSealed       bool          // nothing more is written
	written        int64         // bytes of the request that is on it
	hasEarlyBytes  bool          // bytes came before any of that request was written
	readerReturned chan struct{} // closed once the reader of an answered connection is back, or has ended
	expiry         *time.Timer
}

// Read notes whether its caller waits, and what it gets.
func (c *connection) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.isReading = true
	if c.phase == phaseAnswered {
		c.becomeIdle()
	}
	c.signalReaderReturned()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.isReading = false
	if c.phase == phaseBusy && n > 0 && c.written == 0 && !c.isWriting && c.isPlain {
		c.hasEarlyBytes = true
	}
	wasIdle := c.phase == phaseIdle
	if wasIdle {
		c.phase = phaseClosed // from now on nobody takes it into use
	}
	c.mu.Unlock()
	if wasIdle {
		c.client.removeIdle(c)
		_ = c.Close()
	}
	return n, err
}

// Write counts what is written.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, errs.New(errs.Lost, "the request was withdrawn")
	}
	c.isWriting = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.isWriting = false
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// exchange sends a request and reads its answer whole.
func (c *connection) exchange(r *http.Request, t SendOptions) (*Reply, error) {
	raw, err := c.clientConn.RoundTrip(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Lost, "no answer")
	}
	if c.receivedEarlyBytes() {
		_ = raw.Body.Close()
		return nil, errs.New(errs.Truncated, "an answer came before its request was sent")
	}
	reply := &Reply{Response: raw, IsFirstOnConnection: c.requests == 1}
	if err := reply.read(t); err != nil {
		return nil, err
	}
	return reply, nil
}

func (c *connection) receivedEarlyBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasEarlyBytes
}

// requestBegun takes an idle connection into use.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseIdle {
		return false
	}
	c.expiry.Stop()
	c.phase, c.written = phaseBusy, 0
	c.requests++
	return true
}

// clear forgets what was written to make the connection.
func (c *connection) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
}

// withdraw reports whether nothing of the request was written, and sees to it
// that nothing will be.
func (c *connection) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSealed = true
	return c.written == 0 && !c.isWriting
}

// makeReusable lets the connection be used again if its reader comes back to wait, which
// it does, or ends, as soon as it is scheduled.
func (c *connection) makeReusable() {
	c.mu.Lock()
	switch {
	case !c.isPlain || c.phase == phaseClosed:
		c.phase = phaseClosed
		c.closeSocket()
	case c.isReading:
		c.becomeIdle()
	default:
		c.phase, c.readerReturned = phaseAnswered, make(chan struct{})
	}
	back := c.readerReturned
	c.mu.Unlock()
	if back != nil {
		<-back
	}
}

// signalReaderReturned is called with mu held.
func (c *connection) signalReaderReturned() {
	if c.readerReturned != nil {
		close(c.readerReturned)
		c.readerReturned = nil
	}
}

// Close is called by the library when its reader ends.
func (c *connection) Close() error {
	c.mu.Lock()
	wasIdle := c.phase == phaseIdle
	c.phase = phaseClosed
	c.closeSocket()
	c.mu.Unlock()
	if wasIdle {
		c.client.removeIdle(c)
	}
	return nil
}

// becomeIdle is called with mu held, when the reader waits after an answer.
func (c *connection) becomeIdle() {
	c.phase = phaseIdle
	if c.expiry == nil {
		c.expiry = time.AfterFunc(c.client.options.IdleTimeout, c.expire)
	} else {
		c.expiry.Reset(c.client.options.IdleTimeout)
	}
	if !c.client.putIdle(c) {
		c.phase = phaseClosed
		c.closeSocket()
	}
}

// expire ends a connection that nobody has used for long.
func (c *connection) expire() {
	c.mu.Lock()
	isIdle := c.phase == phaseIdle
	if isIdle {
		c.phase = phaseClosed
	}
	c.mu.Unlock()
	if isIdle {
		c.client.removeIdle(c)
		_ = c.Close()
	}
}

// closeSocket closes the socket, which ends the library's goroutines of it. Called
// with mu held.
func (c *connection) closeSocket() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.signalReaderReturned()
	_ = c.Conn.Close()
}
