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

// informationalPrefix is the start of a 1xx reply, after which the final reply to the request still
// follows.
var informationalPrefix = []byte("HTTP/1.1 1")

// trackingListener wraps each accepted connection in a serverConn and registers it with the server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. Once the server stops, any error is final.
func (a *trackingListener) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		a.server.mu.Lock()
		defer a.server.mu.Unlock()
		if a.server.isStopping { // net/http would retry after the listener's own deadline error
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

// serverConn is a caller's connection that tracks whether a request has begun on it. To close it, the
// server lets the reader, if it waits for a request, read once more for finalReadTimeout and then return
// the end of the stream.
//
// Invariant: a read deadline set by this type is in force only while no request has begun.
type serverConn struct {
	net.Conn
	server *Server

	mu              sync.Mutex
	hasRequest      bool      // bytes have arrived since the last reply, or since the connection was opened
	isClosing       bool      // never reset
	libraryDeadline time.Time // read deadline set by net/http; zero for none
}

// Read reads for net/http. On a connection that is closing it returns io.EOF if no request has begun.
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

// beginFinalRead limits the duration of this read if the connection is closing and no request has begun.
func (c *serverConn) beginFinalRead() (isFinal bool) {
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

// requestBegun records that a request has begun; from now on only net/http's deadline applies.
func (c *serverConn) requestBegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRequest = true
	if c.isClosing {
		_ = c.Conn.SetReadDeadline(c.libraryDeadline)
	}
}

// isOwnDeadline reports whether an expired deadline was set by this type and not by net/http.
func (c *serverConn) isOwnDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing && !c.hasRequest && (c.libraryDeadline.IsZero() || time.Now().Before(c.libraryDeadline))
}

// startClosing wakes the reader if it waits for a request. Bytes that have arrived meanwhile are still
// read.
func (c *serverConn) startClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	if !c.hasRequest {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Write writes a part of a reply. Bytes that arrive after it belong to the next request.
func (c *serverConn) Write(p []byte) (int, error) {
	if !bytes.HasPrefix(p, informationalPrefix) {
		c.mu.Lock()
		c.hasRequest = false
		c.mu.Unlock()
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn and records net/http's deadline.
func (c *serverConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.libraryDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *serverConn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(at)
}

// Close implements net.Conn. net/http calls it once it has read the connection to its end.
func (c *serverConn) Close() error {
	err := c.Conn.Close()
	c.server.remove(c)
	return err
}
