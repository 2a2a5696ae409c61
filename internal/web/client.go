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

// ClientOptions configure a Client.
type ClientOptions struct {
	DialTimeout       time.Duration // a connection attempt is aborted after this time
	IdleTimeout       time.Duration // an idle connection is closed after this time
	MaxIdlePerAddress int           // idle connections kept for one address
	KeepAlive         net.KeepAliveConfig
}

// maxIdleConnections bounds the idle connections of a client over all addresses.
const maxIdleConnections = 4096

// Client sends all HTTP requests of a daemon. Each exchange has a connection to itself, on which net/http
// sends a request once or fails: there is no pool of net/http's that could resend it.
//
// Invariants: once a byte of a request was written, the request is sent on no other connection, whatever
// its method, body and header fields; a connection is reused only if its last reply was read completely,
// CanReuse allows it, and nothing has arrived on it since.
type Client struct {
	options   ClientOptions
	transport *http.Transport

	mu    sync.Mutex
	idle  map[string][]*connection // by address; the most recently used one is last
	total int
}

// NewClient returns a client without connections.
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

// connectionKey is the context key of the connection that is being dialed.
type connectionKey struct{}

// SendOptions configure one exchange.
type SendOptions struct {
	MaxBodyBytes  int64             // bytes of the reply's body that are kept; a longer one is read to its end and dropped
	WantsChecksum bool              // compute the checksum of the body
	CanReuse      func(*Reply) bool // whether the connection may carry another request after this reply; nil means no
	// BeforeSend is called right before the request is written if a connection had to be dialed for it,
	// which may have taken long. An error cancels the request. It may be nil.
	BeforeSend func() error
}

// AlwaysReuse is a CanReuse that allows every connection with a complete reply to be reused.
func AlwaysReuse(*Reply) bool { return true }

// Send sends a request at most once and reads its complete reply. A reply whose end cannot be determined is
// an error.
func (c *Client) Send(r *http.Request, t SendOptions) (*Reply, error) {
	reply, _, err := c.send(r, t)
	return reply, err
}

// SendRepeatable is Send for an idempotent request: if a reused connection breaks during it, it is sent
// once more.
func (c *Client) SendRepeatable(r *http.Request, t SendOptions) (*Reply, error) {
	reply, isFirst, err := c.send(r, t)
	if err == nil || isFirst || r.Context().Err() != nil || !errs.Is(err, errs.Lost) {
		return reply, err
	}
	repeated, isRepeatable := withFreshBody(r)
	if !isRepeatable {
		return nil, err
	}
	return c.Send(repeated, t)
}

// send sends a request once. It retries on another connection only if a reused one broke before anything
// was written. isFirst says that the request was the first on its connection.
func (c *Client) send(r *http.Request, t SendOptions) (reply *Reply, isFirst bool, err error) {
	for {
		conn, err := c.acquire(r)
		if err != nil {
			return nil, true, &UnsentError{errs.Wrap(err, errs.Lost, "connect to %s", r.URL.Host)}
		}
		if conn.requests == 1 && t.BeforeSend != nil {
			if err := t.BeforeSend(); err != nil {
				_ = conn.Close()
				return nil, true, &UnsentError{err}
			}
		}
		reply, err := conn.exchange(r, t)
		if err == nil {
			if t.CanReuse != nil && t.CanReuse(reply) {
				conn.makeReusable()
			} else {
				_ = conn.Close()
			}
			return reply, reply.IsFirstOnConnection, nil
		}
		isFirst, isUnsent := conn.requests == 1, conn.withdraw()
		_ = conn.Close()
		if !isUnsent {
			return nil, isFirst, err
		}
		repeated, isRepeatable := withFreshBody(r)
		if isFirst || !isRepeatable || r.Context().Err() != nil {
			return nil, isFirst, &UnsentError{err}
		}
		r = repeated // the reused connection was closed before anything was written
	}
}

// withFreshBody returns the request with its body from the start, if the body can be read again.
func withFreshBody(r *http.Request) (repeated *http.Request, isRepeatable bool) {
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

// acquire returns an idle connection that is fit for use, or dials one.
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

// dial opens a connection for a request.
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

// addressOf returns the host and port that a request is sent to.
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

// popIdle removes and returns the most recently used idle connection to an address; nil for none.
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

// putIdle keeps an idle connection and returns true, unless the client has too many.
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

// removeIdle removes a connection that is no longer fit for use.
func (c *Client) removeIdle(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[conn.address]
	if at := slices.Index(list, conn); at >= 0 {
		c.removeAt(conn, list, at)
	}
}

// removeAt removes the connection at an index of its address's list. The caller holds mu.
func (c *Client) removeAt(conn *connection, list []*connection, at int) {
	c.total--
	if list = slices.Delete(list, at, at+1); len(list) == 0 {
		delete(c.idle, conn.address)
		return
	}
	c.idle[conn.address] = list
}

// IdleCount returns the number of idle connections.
func (c *Client) IdleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}
