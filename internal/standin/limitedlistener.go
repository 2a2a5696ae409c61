package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener resets connections beyond a maximum number; 0 means no maximum.
type limitedListener struct {
	net.Listener
	maxOpen, open int64
}

// Accept returns the next connection within the maximum.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.maxOpen == 0 || atomic.AddInt64(&l.open, 1) <= l.maxOpen {
			return &countedConn{Conn: conn, onClose: sync.OnceFunc(func() { atomic.AddInt64(&l.open, -1) })}, nil
		}
		atomic.AddInt64(&l.open, -1)
		if tcp, isTcp := conn.(*net.TCPConn); isTcp {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// countedConn calls onClose when it is closed.
type countedConn struct {
	net.Conn
	onClose func()
}

// Close calls onClose and closes the connection.
func (c *countedConn) Close() error { c.onClose(); return c.Conn.Close() }
