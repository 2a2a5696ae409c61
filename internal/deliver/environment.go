package deliver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/daemon"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// Environment is an adapter's access to timers, goroutines and the network. The simulation substitutes its own; the
// rest of the code is the same there.
type Environment struct {
	// After calls work after a delay.
	After func(span time.Duration, work func())
	// Run runs a delivery, which may block; ctx ends with the daemon.
	Run func(work func(ctx context.Context))
	// RunNotification runs a notification, which may block; ctx ends with the daemon.
	RunNotification func(work func(ctx context.Context))
	// Send sends a request to a worker or receiver, at most once.
	Send func(*http.Request, web.SendOptions) (*web.Reply, error)
	// Post sends a message to a daemon and calls done with the reply; done may be nil.
	Post func(link *wire.Link, addr string, ask any, done func(reply any, err error)) error
	// FirstPermitId returns the start of the permit numbers.
	FirstPermitId func() int64
}

// notificationPoolDivisor sizes the goroutine pool for notifications relative to the one for runs. The pools are
// separate so that receivers that hang do not delay runs.
const notificationPoolDivisor = 4

// daemonEnvironment returns the environment of a daemon whose work ends with ctx.
func daemonEnvironment(ctx context.Context, d *daemon.Daemon) Environment {
	runs, notifications := pond.NewPool(max(1, d.Settings.MaxInFlight)), pond.NewPool(max(1, d.Settings.MaxInFlight/notificationPoolDivisor))
	client := newClient(d.Bounds)
	return Environment{
		After:           func(span time.Duration, work func()) { time.AfterFunc(span, work) },
		Run:             func(work func(context.Context)) { runs.Submit(func() { work(ctx) }) },
		RunNotification: func(work func(context.Context)) { notifications.Submit(func() { work(ctx) }) },
		Send:            client.Send,
		Post: func(link *wire.Link, addr string, ask any, done func(any, error)) error {
			return d.Node.Peer(link, addr).Post(ask, done)
		},
		// Random, so that no permit of an earlier boot is valid in this one.
		FirstPermitId: func() int64 { return rand.Int64N(1 << 62) },
	}
}
