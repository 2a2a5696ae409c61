package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// fewConns resets the sessions that are too many.
type fewConns struct {
	net.Listener
	most, open int64
}

func (l *fewConns) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.most == 0 || atomic.AddInt64(&l.open, 1) <= l.most {
			return &counted{Conn: conn, end: sync.OnceFunc(func() { atomic.AddInt64(&l.open, -1) })}, nil
		}
		atomic.AddInt64(&l.open, -1)
		if tcp, isTcp := conn.(*net.TCPConn); isTcp {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

type counted struct {
	net.Conn
	end func()
}

func (c *counted) Close() error { c.end(); return c.Conn.Close() }
