package web

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/errs"
)

// Limits of a caller's connection.
const (
	headerTimeout  = 10 * time.Second // for the head of a request, from its first byte on
	idleTimeout    = 2 * time.Minute  // between a reply and the next request
	maxHeaderBytes = 32 << 10
)

// ErrStopping is the cause with which request contexts are canceled when the daemon is about to stop: the
// handlers must reply now with what they know.
var ErrStopping = errs.New(errs.Lost, "the daemon stops")

// ServerOptions configure a Server.
type ServerOptions struct {
	Listener         net.Listener
	Handler          http.Handler
	FinalReadTimeout time.Duration // how long a waiting connection is read once more as the server stops
}

// Server is an HTTP server that stops without cutting off a request that it has read. Shutdown and
// SetKeepAlivesEnabled of http.Server close connections that they count as idle, and they count a
// connection as idle until the head of its next request is parsed: such a request runs and its reply is
// lost.
//
// Invariant: until the time to stop is over, a connection is closed only by the goroutine that reads it.
type Server struct {
	http             *http.Server
	listener         net.Listener
	finalReadTimeout time.Duration
	isDraining       atomic.Bool
	baseContext      context.Context // of all requests
	cancelRequests   context.CancelCauseFunc

	mu          sync.Mutex
	isStopping  bool
	isAccepting bool
	connections map[*serverConn]struct{}
	changed     chan struct{} // signaled when a connection or the listener is closed
}

// NewServer returns a server; Serve starts it.
func NewServer(o ServerOptions) *Server {
	s := &Server{listener: o.Listener, finalReadTimeout: o.FinalReadTimeout, isAccepting: true, connections: map[*serverConn]struct{}{},
		changed: make(chan struct{}, 1)}
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
	s.http = &http.Server{Handler: s.withConnectionHeader(o.Handler), BaseContext: func(net.Listener) context.Context { return s.baseContext }, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	return s
}

// Serve accepts connections until Stop, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(&trackingListener{Listener: s.listener, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAccepting = false
	s.signalChange()
	if s.isStopping {
		return nil
	}
	return errs.Wrap(err, errs.Internal, "accept HTTP connections")
}

// StartDraining makes each further reply announce that its connection is closed after it, so that callers
// move to other daemons. Idle connections stay open.
func (s *Server) StartDraining() { s.isDraining.Store(true) }

// CancelRequests cancels the contexts of all requests, including those that are read later, so that the
// handlers reply with what they know before the time to stop is over.
func (s *Server) CancelRequests() { s.cancelRequests(ErrStopping) }

// Stop accepts no new connections, closes those that wait for a request, and returns once the last
// connection is closed. When ctx ends it cuts off the rest and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	defer s.CancelRequests()
	s.StartDraining()
	s.closeIdle()
	for s.isServing() {
		select {
		case <-s.changed:
		case <-ctx.Done():
			_ = s.http.Close()
			return errs.New(errs.DeadlineExceeded, "connections were still open when the time to stop was over, and were cut off")
		}
	}
	return nil
}

// closeIdle stops accepting and starts to close all connections.
func (s *Server) closeIdle() {
	s.mu.Lock()
	s.isStopping = true
	connections := make([]*serverConn, 0, len(s.connections))
	for conn := range s.connections {
		connections = append(connections, conn)
	}
	s.mu.Unlock()
	s.stopAccepting()
	for _, conn := range connections {
		conn.startClosing()
	}
}

// stopAccepting closes the listener or, if it supports deadlines, lets it accept the connections that were
// made before.
func (s *Server) stopAccepting() {
	timed, isTimed := s.listener.(interface{ SetDeadline(at time.Time) error })
	if !isTimed || timed.SetDeadline(time.Now().Add(s.finalReadTimeout)) != nil {
		_ = s.listener.Close()
	}
}

// isServing reports whether the server accepts connections or has open ones.
func (s *Server) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAccepting || len(s.connections) > 0
}

// add registers a connection and reports whether the server is stopping.
func (s *Server) add(conn *serverConn) (isStopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[conn] = struct{}{}
	return s.isStopping
}

// remove drops a connection that has been closed.
func (s *Server) remove(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
	s.signalChange()
}

// signalChange wakes Stop.
func (s *Server) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// withConnectionHeader wraps a handler so that its replies say when their connection is closed.
func (s *Server) withConnectionHeader(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &connectionHeaderWriter{ResponseWriter: w, server: s}
		handler.ServeHTTP(writer, r)
		writer.setConnectionHeader()
	})
}

// connectionHeaderWriter adds "Connection: close" to a reply that begins after StartDraining.
type connectionHeaderWriter struct {
	http.ResponseWriter
	server      *Server
	isHeaderSet bool
}

// setConnectionHeader sets the header, once, before the head of the reply is written.
func (w *connectionHeaderWriter) setConnectionHeader() {
	if !w.isHeaderSet && w.server.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.isHeaderSet = true
}

// WriteHeader implements http.ResponseWriter.
func (w *connectionHeaderWriter) WriteHeader(code int) {
	w.setConnectionHeader()
	w.ResponseWriter.WriteHeader(code)
}

// Write implements http.ResponseWriter.
func (w *connectionHeaderWriter) Write(p []byte) (int, error) {
	w.setConnectionHeader()
	return w.ResponseWriter.Write(p)
}

// Unwrap serves http.ResponseController.
func (w *connectionHeaderWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
