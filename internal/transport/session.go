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
	node         *Node
	link         *wire.Link
	peer         wire.Who
	version      int64
	conn         net.Conn
	outbox       *outbox
	inboundCodec *wire.Codec
	handle       func(item wire.Item)
	closeOnce    sync.Once

	closeMu sync.Mutex
	onClose func(error)
	cause   error // why it is down; nil while it is not

	// Ordered links: batches parsed ahead of their turn wait here. Bounded by
	// the peer's window, since they are not yet consumed.
	orderMu    sync.Mutex
	outOfOrder map[uint32][]wire.Item
	nextSeq    uint32
	isAlive    atomic.Bool
	received   linkMetrics         // what comes in
	history    *compressionHistory // of what came in; the reading goroutine's alone
}

// readLoop frames what arrives and leaves the rest to the pool.
func (s *session) readLoop() {
	r := bufio.NewReaderSize(s.conn, 64<<10)
	for {
		s.conn.SetReadDeadline(time.Now().Add(s.node.opts.Bounds.Of(connectionTimeoutRatio)))
		buffer := rawPool.Get().(*[]byte)
		h, raw, err := readFrame(r, (*buffer)[:0], s.node.opts.FrameLimit)
		if err != nil {
			s.down(err)
			return
		}
		s.received.bytes.Add(float64(frameHeaderSize + len(raw)))
		s.outbox.addCredit(h.consumed)
		if raw, err = s.decompress(h, raw); err != nil {
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
		s.received.messages.Add(float64(count))
		s.node.pool.Submit(func() {
			items, err := s.inboundCodec.Decode(raw[4:], count)
			rawPool.Put(&raw)
			if err != nil {
				s.down(err)
				return
			}
			s.dispatch(h.seq, items)
		})
	}
}

// decompress returns the array of a frame as it was before compression.
func (s *session) decompress(h frameHeader, raw []byte) ([]byte, error) {
	if s.history == nil {
		if h.isCompressed {
			return raw, errs.New(errs.Corrupt, "a compressed array in a session without compression")
		}
		return raw, nil
	}
	array := raw
	if h.isCompressed {
		buffer := rawPool.Get().(*[]byte)
		expanded, err := s.history.decompress((*buffer)[:0], raw, s.node.opts.FrameLimit)
		if err != nil {
			return nil, err
		}
		rawPool.Put(&raw)
		array = expanded
	}
	s.history.add(array)
	return array, nil
}

func (s *session) dispatch(seq uint32, items []wire.Item) {
	if !s.link.Ordered {
		s.deliver(items)
		return
	}
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	s.outOfOrder[seq] = items
	for {
		items, ready := s.outOfOrder[s.nextSeq]
		if !ready {
			return
		}
		delete(s.outOfOrder, s.nextSeq)
		s.nextSeq++
		s.deliver(items)
	}
}

func (s *session) deliver(items []wire.Item) {
	for _, item := range items {
		s.handle(item)
	}
	s.outbox.addConsumed(len(items))
}

// down closes the session once, whatever found the failure.
func (s *session) down(cause error) {
	s.closeOnce.Do(func() {
		s.isAlive.Store(false)
		counters.lost.Inc()
		s.conn.Close()
		s.outbox.close(errs.Wrap(cause, errs.Lost, "session with %s", s.peer.Name))
		s.closeMu.Lock()
		s.cause = cause
		notify := s.onClose
		s.closeMu.Unlock()
		if notify != nil {
			notify(cause)
		}
	})
}

// notifyClose has onClose told once the session is down, at once if it is already: it
// may break as soon as it is open.
func (s *session) notifyClose(onDown func(cause error)) {
	s.closeMu.Lock()
	s.onClose = onDown
	cause := s.cause
	s.closeMu.Unlock()
	if cause != nil {
		onDown(cause)
	}
}

func (n *Node) newSession(link *wire.Link, conn net.Conn, peer wire.Who, version, window int64, isDialer bool) *session {
	isCompressed := shouldCompress(n.opts.Self, peer, version)
	s := &session{node: n, link: link, peer: peer, version: version, conn: conn, outOfOrder: map[uint32][]wire.Item{}, received: newLinkMetrics(link.Name, "in"),
		history: newCompressionHistory(isCompressed)}
	asks, replies := link.Codecs(version)
	s.inboundCodec = asks
	out := replies
	if isDialer {
		out, s.inboundCodec = asks, replies
	}
	s.isAlive.Store(true)
	counters.sessions.Inc()
	s.outbox = newOutbox(&n.opts, out, n.pool, conn, window, newLinkMetrics(link.Name, "out"), newCompressionHistory(isCompressed), func(err error) { s.down(err) })
	s.outbox.start() // only now: what fails there closes the session
	return s
}
