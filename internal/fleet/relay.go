package fleet

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// relays carry all daemon-to-daemon connections of the fleet, so that a zone
// can be cut off without touching the machine. A cut connection stands still,
// as one would whose packets are lost; it is not closed.
//
// Invariant: a connection moves only while neither of its two zones is cut off
// from the other.
type relays struct {
	mu       sync.Mutex
	isolated map[string]bool
	healed   chan struct{}
}

func newRelays() *relays { return &relays{isolated: map[string]bool{}, healed: make(chan struct{})} }

func (r *relays) setIsolated(zone string, isCut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated[zone] = isCut
	close(r.healed)
	r.healed = make(chan struct{})
}

// waitConnected returns once the two zones can hear each other.
func (r *relays) waitConnected(from, to string) {
	for {
		r.mu.Lock()
		isCut, healed := from != to && (r.isolated[from] || r.isolated[to]), r.healed
		r.mu.Unlock()
		if !isCut {
			return
		}
		<-healed
	}
}

var helloCodec = wire.NewRecordCodec(&wire.Hello{})

// lay opens a relay before a daemon and gives the address to advertise.
func (r *relays) open(target, zone string) (string, error) {
	addr, err := FreePort()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "relay")
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.relayConnection(conn, target, zone)
		}
	}()
	return addr, nil
}

// relayConnection reads who is calling out of the handshake and passes all on.
func (r *relays) relayConnection(from net.Conn, target, zone string) {
	defer from.Close()
	var head [8]byte
	if _, err := io.ReadFull(from, head[:]); err != nil {
		return
	}
	body := make([]byte, min(binary.BigEndian.Uint32(head[4:]), 4096))
	if _, err := io.ReadFull(from, body); err != nil {
		return
	}
	var hello wire.Hello
	if err := helloCodec.Decode(body, &hello); err != nil {
		return
	}
	r.waitConnected(hello.Who.Zone, zone)
	to, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(append(head[:], body...)); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	go func() { r.copyBytes(to, from, hello.Who.Zone, zone); done <- struct{}{} }()
	go func() { r.copyBytes(from, to, hello.Who.Zone, zone); done <- struct{}{} }()
	<-done // one side is gone: close both
}

func (r *relays) copyBytes(to, from net.Conn, a, b string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.waitConnected(a, b)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
