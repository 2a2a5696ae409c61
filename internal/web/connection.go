package web

import (
	"net"
	"net/http"
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// phase is the state of a client connection.
type phase int

// The states. A connection goes from phaseBusy to phaseAnswered or phaseIdle, from phaseAnswered to
// phaseIdle, from phaseIdle to phaseBusy, and from each to phaseClosed.
const (
	phaseBusy     phase = iota // carries a request
	phaseAnswered              // the reply was complete, and the reader has not returned to Read yet
	phaseIdle                  // the reader waits, and nothing has arrived since the reply
	phaseClosed                // never used again
)

// connection is a net.Conn that tracks what arrives on it, and when. After a reply, net/http's reader calls
// Read again only if no bytes are left over: a connection with leftover or unsolicited bytes never becomes
// idle.
//
// Invariant: it is in its client's list of idle connections only while it is idle.
type connection struct {
	net.Conn
	client     *Client
	address    string
	clientConn *http.ClientConn
	requests   int  // sent on it; used by the goroutine that holds the connection
	isPlain    bool // no TLS, which exchanges bytes of its own at any time

	mu             sync.Mutex
	phase          phase
	isReading      bool
	isWriting      bool
	isSealed       bool          // no further writes
	written        int64         // bytes of the current request
	hasEarlyBytes  bool          // bytes arrived before any byte of the current request was written
	readerReturned chan struct{} // closed once the reader of an answered connection is back in Read, or has ended
	expiry         *time.Timer
}

// Read reads for net/http and tracks whether its reader waits and when bytes arrive.
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
		c.phase = phaseClosed // from now on nobody acquires it
	}
	c.mu.Unlock()
	if wasIdle {
		c.client.removeIdle(c)
		_ = c.Close()
	}
	return n, err
}

// Write writes for net/http and counts the bytes.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, errs.New(errs.Lost, "the request was withdrawn before it was written")
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

// exchange sends a request and reads its complete reply.
func (c *connection) exchange(r *http.Request, t SendOptions) (*Reply, error) {
	raw, err := c.clientConn.RoundTrip(r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Lost, "exchange failed without a reply")
	}
	if c.receivedEarlyBytes() {
		_ = raw.Body.Close()
		return nil, errs.New(errs.Truncated, "reply arrived before its request was sent")
	}
	reply := &Reply{Response: raw, IsFirstOnConnection: c.requests == 1}
	if err := reply.read(t); err != nil {
		return nil, err
	}
	return reply, nil
}

// receivedEarlyBytes reports whether bytes arrived before any byte of the current request was written.
func (c *connection) receivedEarlyBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasEarlyBytes
}

// begin takes an idle connection into use; it returns false if the connection is no longer idle.
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

// clear discards the count of the bytes that were written to open the connection.
func (c *connection) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = 0
}

// withdraw prevents further writes and reports whether no byte of the request was written.
func (c *connection) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isSealed = true
	return c.written == 0 && !c.isWriting
}

// makeReusable makes the connection idle after a complete reply. If the reader is not back in Read yet, it
// waits until the reader is back or has ended, either of which happens as soon as the reader is scheduled.
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
	returned := c.readerReturned
	c.mu.Unlock()
	if returned != nil {
		<-returned
	}
}

// signalReaderReturned wakes makeReusable. The caller holds mu.
func (c *connection) signalReaderReturned() {
	if c.readerReturned != nil {
		close(c.readerReturned)
		c.readerReturned = nil
	}
}

// Close ends the use of the connection. net/http calls it when its reader ends.
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

// becomeIdle puts the connection into the client's idle list, or closes it if that is full. The caller
// holds mu; the reader waits after a reply.
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

// expire closes a connection that has been idle for IdleTimeout.
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

// closeSocket closes the socket, which ends net/http's goroutines for it. The caller holds mu.
func (c *connection) closeSocket() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	c.signalReaderReturned()
	_ = c.Conn.Close()
}
