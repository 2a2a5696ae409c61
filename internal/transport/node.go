package transport

import (
	"context"
	"net"
	"sync"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Node is a daemon's end of all its links.
type Node struct {
	opts     Options
	pool     pond.Pool
	listener net.Listener

	mu       sync.Mutex
	accepted map[*session]bool
	peers    map[string]*Peer // by link and address
	isClosed bool
}

// NewNode opens the listener, if any; Serve starts accepting.
func NewNode(opts Options) (*Node, error) {
	n := &Node{opts: opts.withDefaults(), accepted: map[*session]bool{}, peers: map[string]*Peer{}}
	n.pool = pond.NewPool(n.opts.Pool)
	if n.opts.Listen != "" {
		config := net.ListenConfig{KeepAliveConfig: n.opts.Bounds.KeepAliveConfig()}
		listener, err := config.Listen(context.Background(), "tcp", n.opts.Listen)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "listen on %s", n.opts.Listen)
		}
		n.listener = listener
	}
	return n, nil
}

// Addr is the address listened on.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// Self is who the node tells others that it is.
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

func (n *Node) track(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accepted[s] = true
}

func (n *Node) untrack(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, s)
}

// Close ends all sessions.
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
		s.down(errs.New(errs.Lost, "node closed"))
	}
	for _, p := range peers {
		p.Close()
	}
}
