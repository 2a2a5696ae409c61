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

// relays holds the state of all relays. They carry all connections between daemons of the fleet, so that a zone can be
// isolated without changing the network of the machine. A connection to or from an isolated zone stalls as if its
// packets were lost; it is not closed.
//
// Invariant: no data is relayed between two different zones while one of them is isolated.
type relays struct {
	mu       sync.Mutex
	isolated map[string]bool // by zone
	healed   chan struct{}   // closed and replaced whenever isolated changes
}

// newRelays returns relays in which no zone is isolated.
func newRelays() *relays { return &relays{isolated: map[string]bool{}, healed: make(chan struct{})} }

// setIsolated isolates a zone or ends its isolation.
func (r *relays) setIsolated(zone string, isIsolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolated[zone] = isIsolated
	close(r.healed)
	r.healed = make(chan struct{})
}

// waitConnected waits until the two zones are connected.
func (r *relays) waitConnected(from, to string) {
	for {
		r.mu.Lock()
		isIsolated, healed := from != to && (r.isolated[from] || r.isolated[to]), r.healed
		r.mu.Unlock()
		if !isIsolated {
			return
		}
		<-healed
	}
}

// helloCodec decodes the handshake of a connection.
var helloCodec = wire.NewRecordCodec(&wire.Hello{})

// open starts a relay to a daemon at target in a zone and returns the address that the daemon advertises.
func (r *relays) open(target, zone string) (string, error) {
	addr, err := FreePort()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "listen for relayed connections")
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

// relayConnection reads the zone of the client from the handshake and relays the connection in both directions.
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
	<-done // one side has closed: close both
}

// copyBytes relays one direction of a connection between two zones until one side closes.
func (r *relays) copyBytes(to, from net.Conn, zoneA, zoneB string) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.waitConnected(zoneA, zoneB)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
