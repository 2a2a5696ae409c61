package transport

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// queuedRequestBytesLimit is the payload waiting to be written above which further requests are rejected.
// The caller learns this immediately and can use another peer.
const queuedRequestBytesLimit = 4 << 20

// Peer is one long-lived link to another daemon. It redials when the connection breaks.
//
// Invariant: every registered callback is called exactly once, with a reply or an error; at most Window are
// registered.
type Peer struct {
	node *Node
	link *wire.Link
	addr string

	mu                 sync.Mutex
	session            *session
	lastCorrelationId  int64
	pendingReplies     map[int64]func(any, error)
	isClosed           bool
	isDialing          bool
	lastFailure        time.Time
	connectedCallbacks []func() // called once when the session is open
}

// Peer returns the link to an address, creating it on first use.
func (n *Node) Peer(link *wire.Link, addr string) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := link.Name + " " + addr
	p := n.peers[key]
	if p == nil {
		p = &Peer{node: n, link: link, addr: addr, pendingReplies: map[int64]func(any, error){}}
		n.peers[key] = p
	}
	return p
}

// EnsureConnected opens the link in the background, so that the first request need not wait for it.
func (p *Peer) EnsureConnected() { p.connect() }

// IsConnected reports whether the session is open.
func (p *Peer) IsConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil
}

// HasSendCapacity reports whether the session is open and fewer than maxBytes wait to be written to it.
// Senders of bulk data check it first, so that small messages such as heartbeats are not delayed behind it.
func (p *Peer) HasSendCapacity(maxBytes int) bool {
	p.mu.Lock()
	s := p.session
	p.mu.Unlock()
	return s != nil && s.outbox.queuedBytes() < maxBytes
}

// onConnected calls callback when the session is open, immediately if it already is.
func (p *Peer) onConnected(callback func()) {
	p.mu.Lock()
	isConnected := p.session != nil
	if !isConnected {
		p.connectedCallbacks = append(p.connectedCallbacks, callback)
	}
	p.mu.Unlock()
	if isConnected {
		callback()
		return
	}
	p.connect()
}

// Addr returns the peer's address.
func (p *Peer) Addr() string { return p.addr }

// connect dials in the background, and after a failure not before timing.RedialDelay.
func (p *Peer) connect() {
	p.mu.Lock()
	redialInterval := p.node.opts.Bounds.Of(timing.RedialDelay)
	if p.isClosed || p.isDialing || p.session != nil || time.Since(p.lastFailure) < redialInterval {
		p.mu.Unlock()
		return
	}
	p.isDialing = true
	p.mu.Unlock()
	go func() {
		s, err := p.node.dial(p.link, p.addr)
		p.mu.Lock()
		if err != nil || p.isClosed {
			p.isDialing, p.lastFailure = false, time.Now()
			p.mu.Unlock()
			if errors.Is(err, syscall.ECONNREFUSED) && p.node.opts.OnRefused != nil {
				p.node.opts.OnRefused(p.addr)
			}
			if s != nil {
				s.shutDown(errs.New(errs.Lost, "peer closed"))
			}
			return
		}
		p.mu.Unlock()
		p.attach(s)
	}()
}

// attach makes a newly opened session the link's current one.
func (p *Peer) attach(s *session) {
	p.mu.Lock()
	p.isDialing = false
	s.handle = p.handleReply
	p.session = s
	callbacks := p.connectedCallbacks
	p.connectedCallbacks = nil
	p.mu.Unlock()
	s.notifyClose(func(cause error) { p.detach(s, cause) })
	go s.readLoop()
	for _, tell := range callbacks {
		tell()
	}
}

// detach drops a closed session, fails its pending requests with cause, and redials.
func (p *Peer) detach(s *session, cause error) {
	p.mu.Lock()
	if p.session != s {
		p.mu.Unlock()
		return
	}
	p.session = nil
	pending := p.pendingReplies
	p.pendingReplies = map[int64]func(any, error){}
	p.mu.Unlock()
	for _, onReply := range pending {
		onReply(nil, errs.Wrap(cause, errs.Lost, "session with %s", p.addr))
	}
	p.connect() // immediately: a refused connection shows that the process has ended
}

// handleReply passes a reply to the callback of its request. A reply without a pending request is dropped.
func (p *Peer) handleReply(item wire.Item) {
	p.mu.Lock()
	onReply := p.pendingReplies[item.CorrelationId]
	delete(p.pendingReplies, item.CorrelationId)
	p.mu.Unlock()
	if onReply != nil {
		onReply(item.Body, nil)
	}
}

// Post sends a message without waiting. With a nil onReply no reply is expected. An error means that
// nothing was sent and that onReply will not be called.
func (p *Peer) Post(body any, onReply func(any, error)) error {
	p.mu.Lock()
	s := p.session
	if s == nil {
		p.mu.Unlock()
		p.connect()
		return errs.New(errs.Lost, "no session with %s", p.addr)
	}
	if !s.outbox.codec.Supports(body) {
		p.mu.Unlock()
		return errs.New(errs.Rejected, "session with %s uses wire version %d, which has no message %T", p.addr, s.version, body)
	}
	correlationId := int64(0)
	if onReply != nil {
		if len(p.pendingReplies) >= p.node.opts.Window {
			p.mu.Unlock()
			return errs.New(errs.Full, "%d requests wait for a reply of %s", p.node.opts.Window, p.addr)
		}
		if s.outbox.queuedBytes() >= queuedRequestBytesLimit {
			p.mu.Unlock()
			counters.full.Inc()
			return errs.New(errs.Full, "%d bytes wait to be written to %s", queuedRequestBytesLimit, p.addr)
		}
		p.lastCorrelationId++
		correlationId = p.lastCorrelationId
		p.pendingReplies[correlationId] = onReply
	}
	p.mu.Unlock()
	err := s.outbox.enqueue(wire.Item{CorrelationId: correlationId, Body: body})
	if err != nil && correlationId != 0 {
		p.mu.Lock()
		_, isPending := p.pendingReplies[correlationId]
		delete(p.pendingReplies, correlationId)
		p.mu.Unlock()
		if !isPending {
			return nil // detach() has already called onReply
		}
	}
	return err
}

// Call sends a request and waits for the reply until ctx ends. After an error of kind Lost or
// DeadlineExceeded it is unknown whether the request was processed, unless the error is an UnsentError.
func (p *Peer) Call(ctx context.Context, body any) (any, error) {
	type result struct {
		body any
		err  error
	}
	got := make(chan result, 1)
	if err := p.Post(body, func(reply any, err error) { got <- result{reply, err} }); err != nil {
		return nil, &UnsentError{err}
	}
	select {
	case r := <-got:
		return r.body, r.err
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "wait for the reply of %s", p.addr)
	}
}

// UnsentError is a failure before anything was sent.
type UnsentError struct{ cause error }

// NewUnsentError wraps a failure that occurred before anything was sent.
func NewUnsentError(cause error) *UnsentError { return &UnsentError{cause} }

// Error implements error.
func (u *UnsentError) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap returns the cause.
func (u *UnsentError) Unwrap() error { return u.cause }

// Close closes the link permanently.
func (p *Peer) Close() {
	p.mu.Lock()
	p.isClosed = true
	s := p.session
	p.mu.Unlock()
	if s != nil {
		s.shutDown(errs.New(errs.Lost, "peer closed"))
	}
}
