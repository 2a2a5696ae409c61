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

// queuedRequestBytesLimit: while so many bytes wait to be written, no further ask is taken.
// Whoever would wait for its answer is told at once and can go elsewhere.
const queuedRequestBytesLimit = 4 << 20

// Peer is one long-lived link to one other daemon. It redials when it breaks.
//
// Invariant: every registered answer is called exactly once, with a reply or
// with an error; the map holds at most Window of them.
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
	connectedCallbacks []func() // told once when the session stands
}

// Peer gives the link to an address, opening it when first used.
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

// EnsureConnected opens the link if it is not open, so that the first ask need not wait.
func (p *Peer) EnsureConnected() { p.connect() }

// IsConnected reports whether the session stands.
func (p *Peer) IsConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil
}

// HasSendCapacity reports whether the session stands and fewer bytes than so many wait to
// be written to it. A sender that has much to send asks before it does: what
// is small, such as a heartbeat, then never waits long behind it.
func (p *Peer) HasSendCapacity(maxBytes int) bool {
	p.mu.Lock()
	s := p.session
	p.mu.Unlock()
	return s != nil && s.outbox.queuedBytes() < maxBytes
}

// onConnected calls tell once the session stands, at once if it does already.
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

// Addr is the peer's address.
func (p *Peer) Addr() string { return p.addr }

// connect dials in the background, at most once per Redial interval.
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
				s.down(errs.New(errs.Lost, "peer closed"))
			}
			return
		}
		p.mu.Unlock()
		p.attach(s)
	}()
}

// attach makes a session that was just opened the link's own.
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
	for _, answer := range pending {
		answer(nil, errs.Wrap(cause, errs.Lost, "session with %s", p.addr))
	}
	p.connect() // at once: whether anybody listens there tells whether the process has ended
}

func (p *Peer) handleReply(item wire.Item) {
	p.mu.Lock()
	answer := p.pendingReplies[item.CorrelationId]
	delete(p.pendingReplies, item.CorrelationId)
	p.mu.Unlock()
	if answer != nil {
		answer(item.Body, nil)
	}
}

// Post sends a message without waiting. A nil answer wants no reply. An error
// is definite: nothing was sent and answer will not be called.
func (p *Peer) Post(body any, answer func(any, error)) error {
	p.mu.Lock()
	s := p.session
	if s == nil {
		p.mu.Unlock()
		p.connect()
		return errs.New(errs.Lost, "no session with %s", p.addr)
	}
	if !s.outbox.codec.Supports(body) {
		p.mu.Unlock()
		return errs.New(errs.Rejected, "%s settled on wire version %d, which has no %T", p.addr, s.version, body)
	}
	correlationId := int64(0)
	if answer != nil {
		if len(p.pendingReplies) >= p.node.opts.Window {
			p.mu.Unlock()
			return errs.New(errs.Full, "%d asks wait for %s", p.node.opts.Window, p.addr)
		}
		if s.outbox.queuedBytes() >= queuedRequestBytesLimit {
			p.mu.Unlock()
			counters.full.Inc()
			return errs.New(errs.Full, "%d bytes wait to be written to %s", queuedRequestBytesLimit, p.addr)
		}
		p.lastCorrelationId++
		correlationId = p.lastCorrelationId
		p.pendingReplies[correlationId] = answer
	}
	p.mu.Unlock()
	err := s.outbox.enqueue(wire.Item{CorrelationId: correlationId, Body: body})
	if err != nil && correlationId != 0 {
		p.mu.Lock()
		_, isOurs := p.pendingReplies[correlationId]
		delete(p.pendingReplies, correlationId)
		p.mu.Unlock()
		if !isOurs {
			return nil // lose() has told the answer already
		}
	}
	return err
}

// Call posts and waits for the reply, until ctx ends. Wrapped kinds: Lost and
// Late mean that the fate is unknown, unless Sent is false.
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
		return nil, errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "call to %s", p.addr)
	}
}

// UnsentError marks a failure before anything was sent.
type UnsentError struct{ cause error }

// NewUnsentError marks a failure as one before anything was sent.
func NewUnsentError(cause error) *UnsentError { return &UnsentError{cause} }

func (u *UnsentError) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap gives the cause.
func (u *UnsentError) Unwrap() error { return u.cause }

// Close ends the link for good.
func (p *Peer) Close() {
	p.mu.Lock()
	p.isClosed = true
	s := p.session
	p.mu.Unlock()
	if s != nil {
		s.down(errs.New(errs.Lost, "peer closed"))
	}
}
