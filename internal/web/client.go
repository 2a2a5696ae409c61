package web

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// ClientOptions set up a client.
type ClientOptions struct {
	DialTimeout       time.Duration // a connection that is not made within this is given up
	IdleTimeout       time.Duration // a connection that nobody has used for this long is closed
	MaxIdlePerAddress int           // connections kept for one address
	KeepAlive         net.KeepAliveConfig
}

// maxIdleConnections bounds the connections that a client keeps for all addresses.
const maxIdleConnections = 4096

// Client is the one way out of a daemon for HTTP requests. Each exchange has a
// connection to itself, on which the library sends a request once or fails:
// there is no pool of the library's that could send it again.
//
// Invariants: once a byte of a request was written, no other connection gets
// it, whatever its method, body and header fields; a connection is used again
// only if its last answer was read whole, whoever asked lets it, and nothing
// has come on it since.
type Client struct {
	options   ClientOptions
	transport *http.Transport

	mu    sync.Mutex
	idle  map[string][]*connection // by address; the one used last is the last one
	total int
}

// NewClient gives a client without connections.
func NewClient(o ClientOptions) *Client {
	c := &Client{options: o, idle: map[string][]*connection{}}
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAliveConfig: o.KeepAlive}
	c.transport = &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := ctx.Value(connectionKey{}).(*connection)
		conn.Conn = raw
		return conn, nil
	}}
	return c
}

// connectionKey is the context's key of the connection that is being made.
type connectionKey struct{}

// SendOptions are what a request is sent on.
type SendOptions struct {
	MaxBodyBytes  int64             // bytes of the answer's body that are kept; a longer one is read to its end and not kept
	WantsChecksum bool              // the body's checksum is wanted
	CanReuse      func(*Reply) bool // whether the connection may carry another request after this answer; nil means no
	// Before is asked once a connection had to be made for the request, right
	// before the request is written: making it may have taken long. Nil asks nothing.
	BeforeSend func() error
}

// AlwaysReuse lets every connection be used again whose answer was whole.
func AlwaysReuse(*Reply) bool { return true }

// Send sends a request at most once and reads its whole answer. An answer whose
// end cannot be known is an error.
func (c *Client) Send(r *http.Request, t SendOptions) (*Reply, error) {
	answer, _, err := c.send(r, t)
	return answer, err
}

// SendRepeatable is Send for a call that does no harm when it arrives twice: if
// a kept connection breaks over it, it is sent once more.
func (c *Client) SendRepeatable(r *http.Request, t SendOptions) (*Reply, error) {
	answer, isFirst, err := c.send(r, t)
	if err == nil || isFirst || r.Context().Err() != nil || !errs.Is(err, errs.Lost) {
		return answer, err
	}
	again, isWhole := withFreshBody(r)
	if !isWhole {
		return nil, err
	}
	return c.Send(again, t)
}

func (c *Client) send(r *http.Request, t SendOptions) (answer *Reply, isFirst bool, err error) {
	for {
		conn, err := c.acquire(r)
		if err != nil {
			return nil, true, &UnsentError{errs.Wrap(err, errs.Lost, "no connection to %s", r.URL.Host)}
		}
		if conn.requests == 1 && t.BeforeSend != nil {
			if err := t.BeforeSend(); err != nil {
				_ = conn.Close()
				return nil, true, &UnsentError{err}
			}
		}
		answer, err := conn.exchange(r, t)
		if err == nil {
			if t.CanReuse != nil && t.CanReuse(answer) {
				conn.makeReusable()
			} else {
				_ = conn.Close()
			}
			return answer, answer.IsFirstOnConnection, nil
		}
		isFirst, isUnsent := conn.requests == 1, conn.withdraw()
		_ = conn.Close()
		if !isUnsent {
			return nil, isFirst, err
		}
		again, isWhole := withFreshBody(r)
		if isFirst || !isWhole || r.Context().Err() != nil {
			return nil, isFirst, &UnsentError{err}
		}
		r = again // the kept connection had gone before anything was written
	}
}

// withFreshBody returns the request with its body from the start, if it can be had.
func withFreshBody(r *http.Request) (again *http.Request, isWhole bool) {
	out := *r
	if r.Body == nil || r.Body == http.NoBody {
		return &out, true
	}
	if r.GetBody == nil {
		return nil, false
	}
	body, err := r.GetBody()
	out.Body = body
	return &out, err == nil
}

// acquire returns a kept connection that is fit for use, or makes one.
func (c *Client) acquire(r *http.Request) (*connection, error) {
	address := addressOf(r)
	for {
		conn := c.popIdle(address)
		if conn == nil {
			return c.dial(r, address)
		}
		if conn.begin() {
			return conn, nil
		}
	}
}

func (c *Client) dial(r *http.Request, address string) (*connection, error) {
	conn := &connection{client: c, address: address, isPlain: r.URL.Scheme == "http", requests: 1}
	clientConn, err := c.transport.NewClientConn(context.WithValue(r.Context(), connectionKey{}, conn), r.URL.Scheme, address)
	if err != nil {
		return nil, err
	}
	conn.clear()
	conn.clientConn = clientConn
	return conn, nil
}

func addressOf(r *http.Request) string {
	port := r.URL.Port()
	switch {
	case port != "":
	case r.URL.Scheme == "https":
		port = "443"
	default:
		port = "80"
	}
	return net.JoinHostPort(r.URL.Hostname(), port)
}

func (c *Client) popIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.removeAt(conn, list, len(list)-1)
	return conn
}

// putIdle keeps a connection, if there is room.
func (c *Client) putIdle(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[conn.address]) >= c.options.MaxIdlePerAddress || c.total >= maxIdleConnections {
		return false
	}
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	c.total++
	return true
}

// removeIdle takes a connection out that is not fit any more.
func (c *Client) removeIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[conn.address]
	if at := slices.Index(list, conn); at >= 0 {
		c.removeAt(conn, list, at)
	}
}

// removeAt is called with mu held.
func (c *Client) removeAt(conn *connection, list []*connection, at int) {
	c.total--
	if list = slices.Delete(list, at, at+1); len(list) == 0 {
		delete(c.idle, conn.address)
		return
	}
	c.idle[conn.address] = list
}

// IdleCount reports how many connections are kept.
func (c *Client) IdleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
