package transport

import (
	"bufio"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// session is one open connection after its handshake. The dialer sends asks
// and gets replies; the acceptor the other way round.
type session struct {
	node    *Node
	link    *wire.Link
	peer    wire.Who
	version int64
	conn    net.Conn
	out     *outbox
	in      *wire.Codec
	handle  func(item wire.Item)
	once    sync.Once

	watching sync.Mutex
	onDown   func(error)
	cause    error // why it is down; nil while it is not

	// Ordered links: batches parsed ahead of their turn wait here. Bounded by
	// the peer's window, since they are not yet consumed.
	turn  sync.Mutex
	early map[uint32][]wire.Item
	next  uint32
	alive atomic.Bool
	flow  flow     // what comes in
	past  *history // of what came in; the reading goroutine's alone
}

// read frames what arrives and leaves the rest to the pool.
func (s *session) read() {
	r := bufio.NewReaderSize(s.conn, 64<<10)
	for {
		s.conn.SetReadDeadline(time.Now().Add(s.node.opts.Bounds.Of(deadRatio)))
		buffer := rawPool.Get().(*[]byte)
		h, raw, err := readFrame(r, (*buffer)[:0], s.node.opts.FrameLimit)
		if err != nil {
			s.down(err)
			return
		}
		s.flow.bytes.Add(float64(headSize + len(raw)))
		s.out.credit(h.consumed)
		if raw, err = s.expand(h, raw); err != nil {
			s.down(err)
			return
		}
		if len(raw) < 4 {
			s.down(errs.New(errs.Corrupt, "array without a count"))
			return
		}
		count := int(binary.BigEndian.Uint32(raw))
		if count == 0 {
			continue
		}
		if count > s.node.opts.Window {
			s.down(errs.New(errs.Corrupt, "batch of %d messages", count))
			return
		}
		s.flow.messages.Add(float64(count))
		s.node.pool.Submit(func() {
			items, err := s.in.Parse(raw[4:], count)
			rawPool.Put(&raw)
			if err != nil {
				s.down(err)
				return
			}
			s.dispatch(h.seq, items)
		})
	}
}

// expand returns the array of a frame as it was before compression.
func (s *session) expand(h head, raw []byte) ([]byte, error) {
	if s.past == nil {
		if h.isCompressed {
			return raw, errs.New(errs.Corrupt, "a compressed array in a session without compression")
		}
		return raw, nil
	}
	array := raw
	if h.isCompressed {
		buffer := rawPool.Get().(*[]byte)
		expanded, err := s.past.expand((*buffer)[:0], raw, s.node.opts.FrameLimit)
		if err != nil {
			return nil, err
		}
		rawPool.Put(&raw)
		array = expanded
	}
	s.past.add(array)
	return array, nil
}

func (s *session) dispatch(seq uint32, items []wire.Item) {
	if !s.link.Ordered {
		s.consume(items)
		return
	}
	s.turn.Lock()
	defer s.turn.Unlock()
	s.early[seq] = items
	for {
		items, ready := s.early[s.next]
		if !ready {
			return
		}
		delete(s.early, s.next)
		s.next++
		s.consume(items)
	}
}

func (s *session) consume(items []wire.Item) {
	for _, item := range items {
		s.handle(item)
	}
	s.out.consume(len(items))
}

// down closes the session once, whatever found the failure.
func (s *session) down(cause error) {
	s.once.Do(func() {
		s.alive.Store(false)
		counters.lost.Inc()
		s.conn.Close()
		s.out.close(errs.Wrap(cause, errs.Lost, "session with %s", s.peer.Name))
		s.watching.Lock()
		s.cause = cause
		tell := s.onDown
		s.watching.Unlock()
		if tell != nil {
			tell(cause)
		}
	})
}

// watch has onDown told once the session is down, at once if it is already: it
// may break as soon as it is open.
func (s *session) watch(onDown func(cause error)) {
	s.watching.Lock()
	s.onDown = onDown
	cause := s.cause
	s.watching.Unlock()
	if cause != nil {
		onDown(cause)
	}
}

func (n *Node) newSession(link *wire.Link, conn net.Conn, peer wire.Who, version, window int64, isDialer bool) *session {
	isCompressed := isCompressed(n.opts.Self, peer, version)
	s := &session{node: n, link: link, peer: peer, version: version, conn: conn, early: map[uint32][]wire.Item{}, flow: flowOf(link.Name, "in"),
		past: newHistory(isCompressed)}
	asks, replies := link.Codecs(version)
	s.in = asks
	out := replies
	if isDialer {
		out, s.in = asks, replies
	}
	s.alive.Store(true)
	counters.sessions.Inc()
	s.out = newOutbox(&n.opts, out, n.pool, conn, window, flowOf(link.Name, "out"), newHistory(isCompressed), func(err error) { s.down(err) })
	s.out.start() // only now: what fails there closes the session
	return s
}
