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

// Limits of a connection towards callers.
const (
	headerTimeout  = 10 * time.Second // for the head of a request, from its first byte on
	idleTimeout    = 2 * time.Minute  // between an answer and the next request
	maxHeaderBytes = 32 << 10
)

// ErrStopping is the cause for which the context of a request ends whose daemon is about
// to stop: what is known is to be answered now.
var ErrStopping = errs.New(errs.Lost, "the daemon stops")

// ServerOptions are what a server is made of.
type ServerOptions struct {
	Listener         net.Listener
	Handler          http.Handler
	FinalReadTimeout time.Duration // how long a waiting connection is read once more as the server stops
}

// Server is an HTTP server that stops without cutting off a request that it has
// read. The library's own Shutdown and SetKeepAlivesEnabled close what they count
// as idle from outside, and they count a connection as idle until the head of
// its next request has been parsed: such a request runs and is never answered.
//
// Invariant: until the time to stop is over, a connection is closed only by the
// goroutine that reads it.
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
	changed     chan struct{} // poked when a connection or the listener is closed
}

// NewServer readies a server; Serve begins it.
func NewServer(o ServerOptions) *Server {
	s := &Server{listener: o.Listener, finalReadTimeout: o.FinalReadTimeout, isAccepting: true, connections: map[*serverConn]struct{}{},
		changed: make(chan struct{}, 1)}
	s.baseContext, s.cancelRequests = context.WithCancelCause(context.Background())
	s.http = &http.Server{Handler: s.withConnectionHeader(o.Handler), BaseContext: func(net.Listener) context.Context { return s.baseContext }, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	return s
}

// Serve accepts connections until Stop; then it returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(&trackingListener{Listener: s.listener, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAccepting = false
	s.signalChange()
	if s.isStopping {
		return nil
	}
	return errs.Wrap(err, errs.Internal, "serve HTTP")
}

// StartDraining has each further answer say that its connection is closed after it, so
// that callers go to other daemons. Connections that wait stay open.
func (s *Server) StartDraining() { s.isDraining.Store(true) }

// CancelRequests ends the contexts of all requests, those too that are read later, so that they are
// answered with what is known before the time to stop is over.
func (s *Server) CancelRequests() { s.cancelRequests(ErrStopping) }

// Stop takes no new connections, ends those that wait for a request, and returns
// once the last one has been answered. When ctx ends the rest is cut off, which
// is an error.
func (s *Server) Stop(ctx context.Context) error {
	defer s.CancelRequests()
	s.StartDraining()
	s.closeIdle()
	for s.isServing() {
		select {
		case <-s.changed:
		case <-ctx.Done():
			_ = s.http.Close()
			return errs.New(errs.DeadlineExceeded, "callers were cut off")
		}
	}
	return nil
}

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

// stopAccepting lets connections in that were made before, where the listener
// can be given a deadline.
func (s *Server) stopAccepting() {
	timed, isTimed := s.listener.(interface{ SetDeadline(at time.Time) error })
	if !isTimed || timed.SetDeadline(time.Now().Add(s.finalReadTimeout)) != nil {
		_ = s.listener.Close()
	}
}

func (s *Server) isServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isAccepting || len(s.connections) > 0
}

// add notes a connection, and reports whether the server is about to end it.
func (s *Server) add(conn *serverConn) (isEnding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[conn] = struct{}{}
	return s.isStopping
}

func (s *Server) remove(conn *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, conn)
	s.signalChange()
}

func (s *Server) signalChange() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// withConnectionHeader returns the handler with answers that say when their connection ends.
func (s *Server) withConnectionHeader(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &connectionHeaderWriter{ResponseWriter: w, server: s}
		handler.ServeHTTP(writer, r)
		writer.setConnectionHeader()
	})
}

// connectionHeaderWriter adds "Connection: close" to an answer that begins after Leave.
type connectionHeaderWriter struct {
	http.ResponseWriter
	server      *Server
	isHeaderSet bool
}

func (w *connectionHeaderWriter) setConnectionHeader() {
	if !w.isHeaderSet && w.server.isDraining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.isHeaderSet = true
}

// WriteHeader is that of http.ResponseWriter.
func (w *connectionHeaderWriter) WriteHeader(code int) {
	w.setConnectionHeader()
	w.ResponseWriter.WriteHeader(code)
}

// Write is that of http.ResponseWriter.
func (w *connectionHeaderWriter) Write(p []byte) (int, error) {
	w.setConnectionHeader()
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *connectionHeaderWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
