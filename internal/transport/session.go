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

// session is one open connection after the handshake. The dialer sends requests and receives replies; the
// acceptor sends replies and receives requests.
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
	cause   error // why it is closed; nil while it is open

	// Ordered links: batches that were decoded ahead of their turn. The peer's window bounds them, since
	// they are not consumed yet.
	orderMu    sync.Mutex
	outOfOrder map[uint32][]wire.Item
	nextSeq    uint32
	isAlive    atomic.Bool
	received   linkMetrics         // counters of received messages
	history    *compressionHistory // of the received arrays; used by the reading goroutine only
}

// readLoop reads frames and submits their decoding to the pool.
func (s *session) readLoop() {
	r := bufio.NewReaderSize(s.conn, 64<<10)
	for {
		s.conn.SetReadDeadline(time.Now().Add(s.node.opts.Bounds.Of(connectionTimeoutRatio)))
		buffer := rawPool.Get().(*[]byte)
		h, raw, err := readFrame(r, (*buffer)[:0], s.node.opts.FrameLimit)
		if err != nil {
			s.shutDown(err)
			return
		}
		s.received.bytes.Add(float64(frameHeaderSize + len(raw)))
		s.outbox.addCredit(h.consumed)
		if raw, err = s.decompress(h, raw); err != nil {
			s.shutDown(err)
			return
		}
		if len(raw) < 4 {
			s.shutDown(errs.New(errs.Corrupt, "array is too short for a message count"))
			return
		}
		count := int(binary.BigEndian.Uint32(raw))
		if count == 0 {
			continue
		}
		if count > s.node.opts.Window {
			s.shutDown(errs.New(errs.Corrupt, "batch of %d messages exceeds the window", count))
			return
		}
		s.received.messages.Add(float64(count))
		s.node.pool.Submit(func() {
			items, err := s.inboundCodec.Decode(raw[4:], count)
			rawPool.Put(&raw)
			if err != nil {
				s.shutDown(err)
				return
			}
			s.dispatch(h.seq, items)
		})
	}
}

// decompress returns the array of a frame as it was before compression and adds it to the history.
func (s *session) decompress(h frameHeader, raw []byte) ([]byte, error) {
	if s.history == nil {
		if h.isCompressed {
			return raw, errs.New(errs.Corrupt, "received a compressed array in a session without compression")
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

// dispatch delivers a batch; on an ordered link only after all batches before it.
func (s *session) dispatch(seq uint32, items []wire.Item) {
	if !s.link.Ordered {
		s.deliver(items)
		return
	}
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	s.outOfOrder[seq] = items
	for {
		items, isNext := s.outOfOrder[s.nextSeq]
		if !isNext {
			return
		}
		delete(s.outOfOrder, s.nextSeq)
		s.nextSeq++
		s.deliver(items)
	}
}

// deliver handles the messages of a batch and returns credit for them.
func (s *session) deliver(items []wire.Item) {
	for _, item := range items {
		s.handle(item)
	}
	s.outbox.addConsumed(len(items))
}

// shutDown closes the session once, with the first cause.
func (s *session) shutDown(cause error) {
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

// notifyClose calls callback when the session is closed, immediately if it already is: a session can break as
// soon as it is open.
func (s *session) notifyClose(callback func(cause error)) {
	s.closeMu.Lock()
	s.onClose = callback
	cause := s.cause
	s.closeMu.Unlock()
	if cause != nil {
		callback(cause)
	}
}

// newSession returns a session over a connection after the handshake and starts writing to it.
func (n *Node) newSession(link *wire.Link, conn net.Conn, peer wire.Who, version, window int64, isDialer bool) *session {
	isCompressed := shouldCompress(n.opts.Self, peer, version)
	s := &session{node: n, link: link, peer: peer, version: version, conn: conn, outOfOrder: map[uint32][]wire.Item{}, received: newLinkMetrics(link.Name, "in"),
		history: newCompressionHistory(isCompressed)}
	requests, replies := link.Codecs(version)
	s.inboundCodec = requests
	out := replies
	if isDialer {
		out, s.inboundCodec = requests, replies
	}
	s.isAlive.Store(true)
	counters.sessions.Inc()
	s.outbox = newOutbox(&n.opts, out, n.pool, conn, window, newLinkMetrics(link.Name, "out"), newCompressionHistory(isCompressed), func(err error) { s.shutDown(err) })
	s.outbox.start() // last, since a failure there closes the session
	return s
}
