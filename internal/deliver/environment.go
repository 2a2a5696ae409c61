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

// Environment are an adapter's ways to time and to the world around it. The simulation has others,
// and all between them is the same code there.
type Environment struct {
	After           func(span time.Duration, work func())                    // does work once a time has passed
	Run             func(work func(ctx context.Context))                     // does a run's work, which may wait; ctx ends with the daemon
	RunNotification func(work func(ctx context.Context))                     // does the same for a word to whoever is told of an end
	Send            func(*http.Request, web.SendOptions) (*web.Reply, error) // puts a request to a worker or receiver, once
	Post            func(link *wire.Link, addr string, ask any, done func(reply any, err error)) error
	FirstPermitId   func() int64 // where the numbers of permits begin
}

// notificationPoolDivisor is the share of a daemon's goroutines for words about ends: receivers that hang must
// not hold runs up.
const notificationPoolDivisor = 4

// daemonEnvironment are those of a daemon whose work ends with ctx.
func daemonEnvironment(ctx context.Context, d *daemon.Daemon) Environment {
	runs, words := pond.NewPool(max(1, d.Settings.MaxInFlight)), pond.NewPool(max(1, d.Settings.MaxInFlight/notificationPoolDivisor))
	client := newClient(d.Bounds)
	return Environment{
		After:           func(span time.Duration, work func()) { time.AfterFunc(span, work) },
		Run:             func(work func(context.Context)) { runs.Submit(func() { work(ctx) }) },
		RunNotification: func(work func(context.Context)) { words.Submit(func() { work(ctx) }) },
		Send:            client.Send,
		Post: func(link *wire.Link, addr string, ask any, done func(any, error)) error {
			return d.Node.Peer(link, addr).Post(ask, done)
		},
		FirstPermitId: func() int64 { return rand.Int64N(1 << 62) }, // no permit of an earlier life is taken for one of this
	}
}
