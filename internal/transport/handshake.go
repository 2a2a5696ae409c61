package transport

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Codecs of the handshake messages.
var (
	helloCodec   = wire.NewRecordCodec(&wire.Hello{})
	welcomeCodec = wire.NewRecordCodec(&wire.Welcome{})
)

// handshakeBytesLimit bounds a handshake message in bytes.
const handshakeBytesLimit = 4 << 10

// magic starts every handshake message, so that other protocols are rejected on their first bytes.
var magic = [4]byte{'c', 'w', 'h', 1}

// writeHandshake writes one handshake message: magic, length and body.
func writeHandshake(conn net.Conn, body []byte) error {
	raw := append(append([]byte{}, magic[:]...), binary.BigEndian.AppendUint32(nil, uint32(len(body)))...)
	_, err := conn.Write(append(raw, body...))
	return errs.Wrap(err, errs.Lost, "write handshake")
}

// readHandshake reads one handshake message and returns its body.
func readHandshake(conn net.Conn) ([]byte, error) {
	var raw [8]byte
	if _, err := io.ReadFull(conn, raw[:]); err != nil {
		return nil, errs.Wrap(err, errs.Lost, "read handshake")
	}
	size := binary.BigEndian.Uint32(raw[4:])
	if [4]byte(raw[:4]) != magic || size > handshakeBytesLimit {
		return nil, errs.New(errs.Corrupt, "handshake has wrong magic bytes or is too long: not a caperwheel peer")
	}
	body := make([]byte, size)
	_, err := io.ReadFull(conn, body)
	return body, errs.Wrap(err, errs.Lost, "read handshake")
}

// dial connects to an address and performs the handshake. Both ends use the lower of their newest wire
// versions; if their version ranges do not overlap, the session is rejected.
func (n *Node) dial(link *wire.Link, addr string) (*session, error) {
	dialer := net.Dialer{Timeout: n.opts.Bounds.Of(connectionTimeoutRatio), KeepAliveConfig: n.opts.Bounds.KeepAliveConfig()}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, errs.Wrap(err, errs.Lost, "dial %s", addr)
	}
	conn.SetDeadline(time.Now().Add(n.opts.Bounds.Of(connectionTimeoutRatio)))
	hello := wire.Hello{Who: n.opts.Self, Link: link.Name, Newest: n.opts.Newest,
		Oldest: n.opts.Oldest, Window: int64(n.opts.Window), Cluster: n.opts.Shape}
	var welcome wire.Welcome
	err = writeHandshake(conn, helloCodec.Encode(&hello))
	if err == nil {
		var raw []byte
		if raw, err = readHandshake(conn); err == nil {
			err = welcomeCodec.Decode(raw, &welcome)
		}
	}
	if err == nil && welcome.Reject != "" {
		err = errs.New(errs.Rejected, "%s rejected the session: %s", addr, welcome.Reject)
	}
	if err == nil && (welcome.Version < n.opts.Oldest || welcome.Version > n.opts.Newest) {
		err = errs.New(errs.Rejected, "%s chose wire version %d, which was not offered", addr, welcome.Version)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return n.newSession(link, conn, welcome.Who, welcome.Version, welcome.Window, true), nil
}

// accept performs the acceptor's half of a handshake and serves the session until it closes.
func (n *Node) accept(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(n.opts.Bounds.Of(connectionTimeoutRatio)))
	var hello wire.Hello
	raw, err := readHandshake(conn)
	if err == nil {
		err = helloCodec.Decode(raw, &hello)
	}
	if err != nil {
		conn.Close()
		return
	}
	welcome := wire.Welcome{Who: n.opts.Self, Window: int64(n.opts.Window), Version: min(hello.Newest, n.opts.Newest)}
	link, handler := wire.Links[hello.Link], n.opts.Handlers[hello.Link]
	switch {
	case link == nil || handler == nil:
		welcome.Reject = "no such link here: " + hello.Link
	case welcome.Version < n.opts.Oldest || welcome.Version < hello.Oldest:
		welcome.Reject = "no wire version in common"
	case hello.Cluster != n.opts.Shape:
		welcome.Reject = "shape is " + n.opts.Shape + ", not " + hello.Cluster
	}
	if err := writeHandshake(conn, welcomeCodec.Encode(&welcome)); err != nil || welcome.Reject != "" {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	s := n.newSession(link, conn, hello.Who, welcome.Version, hello.Window, false)
	s.handle = func(item wire.Item) {
		handler(s.peer, item.Body, func(reply any) {
			// A full or broken session loses the reply; the requester then runs into its deadline.
			if err := s.outbox.enqueue(wire.Item{CorrelationId: item.CorrelationId, Body: reply}); errs.Is(err, errs.Full) {
				s.shutDown(err)
			}
		})
	}
	n.track(s)
	s.notifyClose(func(error) { n.untrack(s) })
	s.readLoop()
}
