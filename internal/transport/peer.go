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

// askBytes: while so many bytes wait to be written, no further ask is taken.
// Whoever would wait for its answer is told at once and can go elsewhere.
const askBytes = 4 << 20

// Peer is one long-lived link to one other daemon. It redials when it breaks.
//
// Invariant: every registered answer is called exactly once, with a reply or
// with an error; the map holds at most Window of them.
type Peer struct {
	node *Node
	link *wire.Link
	addr string

	mu      sync.Mutex
	session *session
	corr    int64
	waiting map[int64]func(any, error)
	closed  bool
	dialing bool
	failed  time.Time
	raised  []func() // told once when the session stands
}

// Peer gives the link to an address, opening it when first used.
func (n *Node) Peer(link *wire.Link, addr string) *Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := link.Name + " " + addr
	p := n.peers[key]
	if p == nil {
		p = &Peer{node: n, link: link, addr: addr, waiting: map[int64]func(any, error){}}
		n.peers[key] = p
	}
	return p
}

// Warm opens the link if it is not open, so that the first ask need not wait.
func (p *Peer) Warm() { p.connect() }

// Up reports whether the session stands.
func (p *Peer) Up() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.session != nil
}

// HasRoom reports whether the session stands and fewer bytes than so many wait to
// be written to it. A sender that has much to send asks before it does: what
// is small, such as a heartbeat, then never waits long behind it.
func (p *Peer) HasRoom(most int) bool {
	p.mu.Lock()
	s := p.session
	p.mu.Unlock()
	return s != nil && s.out.waiting() < most
}

// onUp calls tell once the session stands, at once if it does already.
func (p *Peer) onUp(tell func()) {
	p.mu.Lock()
	isUp := p.session != nil
	if !isUp {
		p.raised = append(p.raised, tell)
	}
	p.mu.Unlock()
	if isUp {
		tell()
		return
	}
	p.connect()
}

// Addr is the peer's address.
func (p *Peer) Addr() string { return p.addr }

// connect dials in the background, at most once per Redial interval.
func (p *Peer) connect() {
	p.mu.Lock()
	pause := p.node.opts.Bounds.Of(timing.Redial)
	if p.closed || p.dialing || p.session != nil || time.Since(p.failed) < pause {
		p.mu.Unlock()
		return
	}
	p.dialing = true
	p.mu.Unlock()
	go func() {
		s, err := p.node.dial(p.link, p.addr)
		p.mu.Lock()
		if err != nil || p.closed {
			p.dialing, p.failed = false, time.Now()
			p.mu.Unlock()
			if errors.Is(err, syscall.ECONNREFUSED) && p.node.opts.Refused != nil {
				p.node.opts.Refused(p.addr)
			}
			if s != nil {
				s.down(errs.New(errs.Lost, "peer closed"))
			}
			return
		}
		p.mu.Unlock()
		p.adopt(s)
	}()
}

// adopt makes a session that was just opened the link's own.
func (p *Peer) adopt(s *session) {
	p.mu.Lock()
	p.dialing = false
	s.handle = p.onReply
	p.session = s
	raised := p.raised
	p.raised = nil
	p.mu.Unlock()
	s.watch(func(cause error) { p.lose(s, cause) })
	go s.read()
	for _, tell := range raised {
		tell()
	}
}

func (p *Peer) lose(s *session, cause error) {
	p.mu.Lock()
	if p.session != s {
		p.mu.Unlock()
		return
	}
	p.session = nil
	orphans := p.waiting
	p.waiting = map[int64]func(any, error){}
	p.mu.Unlock()
	for _, answer := range orphans {
		answer(nil, errs.Wrap(cause, errs.Lost, "session with %s", p.addr))
	}
	p.connect() // at once: whether anybody listens there tells whether the process has ended
}

func (p *Peer) onReply(item wire.Item) {
	p.mu.Lock()
	answer := p.waiting[item.Corr]
	delete(p.waiting, item.Corr)
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
	if !s.out.codec.Carries(body) {
		p.mu.Unlock()
		return errs.New(errs.Rejected, "%s settled on wire version %d, which has no %T", p.addr, s.version, body)
	}
	corr := int64(0)
	if answer != nil {
		if len(p.waiting) >= p.node.opts.Window {
			p.mu.Unlock()
			return errs.New(errs.Full, "%d asks wait for %s", p.node.opts.Window, p.addr)
		}
		if s.out.waiting() >= askBytes {
			p.mu.Unlock()
			counters.full.Inc()
			return errs.New(errs.Full, "%d bytes wait to be written to %s", askBytes, p.addr)
		}
		p.corr++
		corr = p.corr
		p.waiting[corr] = answer
	}
	p.mu.Unlock()
	err := s.out.put(wire.Item{Corr: corr, Body: body})
	if err != nil && corr != 0 {
		p.mu.Lock()
		_, isOurs := p.waiting[corr]
		delete(p.waiting, corr)
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
		return nil, &Unsent{err}
	}
	select {
	case r := <-got:
		return r.body, r.err
	case <-ctx.Done():
		return nil, errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "call to %s", p.addr)
	}
}

// Unsent marks a failure before anything was sent.
type Unsent struct{ cause error }

// NewUnsent marks a failure as one before anything was sent.
func NewUnsent(cause error) *Unsent { return &Unsent{cause} }

func (u *Unsent) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap gives the cause.
func (u *Unsent) Unwrap() error { return u.cause }

// Close ends the link for good.
func (p *Peer) Close() {
	p.mu.Lock()
	p.closed = true
	s := p.session
	p.mu.Unlock()
	if s != nil {
		s.down(errs.New(errs.Lost, "peer closed"))
	}
}
