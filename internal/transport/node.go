package transport

import (
	"context"
	"net"
	"sync"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Node is a daemon's end of all its links: it accepts sessions and holds the peers that it dials.
type Node struct {
	opts     Options
	pool     pond.Pool
	listener net.Listener

	mu       sync.Mutex
	accepted map[*session]bool
	peers    map[string]*Peer // by link and address
	isClosed bool
}

// NewNode returns a node and opens its listener, if an address is configured; Serve starts accepting.
func NewNode(opts Options) (*Node, error) {
	n := &Node{opts: opts.withDefaults(), accepted: map[*session]bool{}, peers: map[string]*Peer{}}
	n.pool = pond.NewPool(n.opts.Pool)
	if n.opts.Listen != "" {
		config := net.ListenConfig{KeepAliveConfig: n.opts.Bounds.KeepAliveConfig()}
		listener, err := config.Listen(context.Background(), "tcp", n.opts.Listen)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "listen for daemons on %s", n.opts.Listen)
		}
		n.listener = listener
	}
	return n, nil
}

// Addr returns the address of the listener.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Self returns the identity that the node presents to peers.
func (n *Node) Self() wire.Who { return n.opts.Self }

// Serve accepts sessions until Close.
func (n *Node) Serve() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.accept(conn)
	}
}

// track adds an accepted session to those that Close closes.
func (n *Node) track(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted[s] = true
}

// untrack removes an accepted session that has been closed.
func (n *Node) untrack(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, s)
}

// Close closes the listener and all sessions.
func (n *Node) Close() {
	n.mu.Lock()
	n.isClosed = true
	if n.listener != nil {
		n.listener.Close()
	}
	sessions := []*session{}
	for s := range n.accepted {
		sessions = append(sessions, s)
	}
	peers := []*Peer{}
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	n.mu.Unlock()
	for _, s := range sessions {
		s.shutDown(errs.New(errs.Lost, "transport node closed"))
	}
	for _, p := range peers {
		p.Close()
	}
}
