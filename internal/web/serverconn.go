package web

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// informationalPrefix is how an answer begins that leaves its request under way.
var informationalPrefix = []byte("HTTP/1.1 1")

// trackingListener gives each connection its record.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. Once the server ends, any error is its last.
func (a *trackingListener) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		a.server.mu.Lock()
		defer a.server.mu.Unlock()
		if a.server.isStopping { // a deadline's error is otherwise one to try again after
			return nil, net.ErrClosed
		}
		return nil, err
	}
	conn := &serverConn{Conn: raw, server: a.server}
	if a.server.add(conn) {
		conn.startClosing()
	}
	return conn, nil
}

// serverConn is a caller's connection that knows whether a request has begun on it.
// The server ends it by having its reader, if it waits for a request, read once
// more for a last while and then find the end of the stream.
//
// Invariant: a read deadline of ours is in force only while no request has begun.
type serverConn struct {
	net.Conn
	server *Server

	mu              sync.Mutex
	hasRequest      bool      // bytes came since the last answer, or at all
	isClosing       bool      // never false again
	libraryDeadline time.Time // the library's own read deadline; zero for none
}

// Read reads as the library asks. On a connection that ends it returns io.EOF
// where nothing of a request has come.
func (c *serverConn) Read(p []byte) (int, error) {
	for {
		isFinal := c.beginFinalRead()
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.requestBegun()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isOwnDeadline() {
			return n, err
		}
		if isFinal {
			return 0, io.EOF
		}
	}
}

// beginFinalRead bounds this read if the connection ends and nothing has begun.
func (c *serverConn) beginFinalRead() (isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosing || c.hasRequest {
		return false
	}
	at := time.Now().Add(c.server.finalReadTimeout)
	if !c.libraryDeadline.IsZero() && c.libraryDeadline.Before(at) {
		at = c.libraryDeadline
	}
	_ = c.Conn.SetReadDeadline(at)
	return true
}

// requestBegun notes that a request has begun; only the library's deadline bounds it.
func (c *serverConn) requestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest = true
	if c.isClosing {
		_ = c.Conn.SetReadDeadline(c.libraryDeadline)
	}
}

// isOwnDeadline reports whether a deadline that has passed was ours and not the library's.
func (c *serverConn) isOwnDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing && !c.hasRequest && (c.libraryDeadline.IsZero() || time.Now().Before(c.libraryDeadline))
}

// end wakes the reader if it waits for a request. What has come meanwhile is
// read all the same.
func (c *serverConn) startClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if !c.hasRequest {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Write begins or goes on with an answer: bytes that come after it belong to the
// next request.
func (c *serverConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, informationalPrefix) {
		c.mu.Lock()
		c.hasRequest = false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// SetReadDeadline notes the library's deadline.
func (c *serverConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.libraryDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline is that of net.Conn.
func (c *serverConn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(at)
}

// Close is called by the library once it has read the connection to its end.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}
