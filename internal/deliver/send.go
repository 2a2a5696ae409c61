package deliver

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
	"caperwheel/internal/path"
	"caperwheel/internal/place"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// delivery is one run on its way out, with its result.
//
// Invariant: rules are those that its steps were compiled from; once the first
// step has passed, scene has the same ones and was fresh.
type delivery struct {
	run     *run
	outcome *wire.Outcome
	rules   *charter.Rules
	scene   *charter.Scene
}

// mostAnswer bounds a worker's answer, which is kept as proof.
const mostAnswer = 256 << 10

// lostMachine finds a worker's machine gone that can no longer say so itself.
var lostMachine = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// newClient gives the adapter's way out to workers and to whoever is told of
// ends. What it sends is sent once: whether it is run again is for the place's
// owner to say.
func newClient(bounds beat.Bounds) *web.Client {
	return web.NewClient(web.ClientOptions{Dial: bounds.Of(beat.Dial), Idle: bounds.Charter, MostIdle: 64, KeepAlive: lostMachine})
}

func (a *Adapter) steps() path.Doers[*delivery] {
	return path.Doers[*delivery]{
		path.Fresh: func(_ path.Step, e *delivery) error {
			if !a.d.IsFresh() { // also what a thawed daemon meets before its next act
				return mishap.New(mishap.Stale, "the view is too old to act on")
			}
			if e.scene = a.scenes.Now(); e.scene.Rules != e.rules { // the steps are those of an older charter
				return mishap.New(mishap.Stale, "the charter has changed since")
			}
			return nil
		},
		path.Allowed: func(s path.Step, e *delivery) error {
			if !slices.Contains(s.Names, e.run.Pool) {
				return mishap.New(mishap.Rejected, "lane %s may not use pool %s", e.run.Lane, e.run.Pool)
			}
			return nil
		},
		path.Live: func(_ path.Step, e *delivery) error {
			w, isLive := e.scene.CanServe(e.run.Pool, e.run.Worker)
			e.run.Bound = e.rules.BoundOf(e.run.Lane, e.run.Pool) // by the charter that is acted on
			if !isLive || !e.scene.MayWork(a.d.Who.Cell) {
				return mishap.New(mishap.Rejected, "%s/%s is not live", e.run.Pool, e.run.Worker)
			}
			e.run.address = w.Address
			return nil
		},
		path.Holder: func(_ path.Step, e *delivery) error {
			if !e.scene.IsHolder(e.run.Pool, e.run.Worker, a.d.Who.Name, a.d.Who.Boot) {
				return mishap.New(mishap.NotOwner, "the duty of %s/%s has moved on", e.run.Pool, e.run.Worker)
			}
			return nil
		},
		path.Whole: func(_ path.Step, e *delivery) error {
			if wire.SumOf(e.run.Body) != e.run.Sum {
				return mishap.New(mishap.Broken, "the bytes do not match their checksum")
			}
			return nil
		},
		path.Send: func(_ path.Step, e *delivery) error {
			err := a.send(e)
			end := "success"
			if err != nil {
				end = string(mishap.KindOf(err))
			}
			ended.WithLabelValues(e.run.Pool, end).Inc()
			return err
		},
	}
}

// send runs the message on its worker. Only an answer that is whole and a
// success is a success.
func (a *Adapter) send(e *delivery) error {
	r := e.run
	r.isTried.Store(true)
	if len(r.Head) > 0 {
		return a.sendAsItIs(e)
	}
	pool := e.rules.Pools[r.Pool]
	ctx, cancel := beat.Patience(a.ctx, place.Wait(r.Key != "", time.Duration(r.Bound)*time.Millisecond))
	defer cancel()
	req, err := a.requestOf(e, pool.Path)
	if err != nil {
		e.outcome.Final = true
		return err
	}
	reply, err := a.ask(ctx, r, req)
	if err != nil {
		e.outcome.Final = mishap.Is(err, mishap.TooLarge)
		return err
	}
	if reply.StatusCode < 200 || reply.StatusCode > 299 {
		return refused(e.outcome, reply.Response)
	}
	p := &e.outcome.Proof
	p.Status, p.Ctype, p.Answer, p.Sum = int64(reply.StatusCode), reply.Header.Get("Content-Type"), reply.Bytes, wire.SumOf(reply.Bytes)
	return nil
}

// requestOf gives the request that a run is to its worker.
func (a *Adapter) requestOf(e *delivery, path string) (*http.Request, error) {
	r := e.run
	req, err := http.NewRequest(http.MethodPost, "http://"+r.address+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Invalid, "request to %s", r.address)
	}
	fields := map[string]string{"X-Message-Id": r.Id, "X-Attempt": strconv.FormatInt(r.Attempt, 10), "X-Lane": r.Lane,
		"Idempotency-Key": r.Id, "X-Content-SHA256": r.Sum, "User-Agent": "caperwheel/" + a.d.Who.Name,
		"X-Charter-Stamp": strconv.FormatInt(e.scene.Stamp, 10), "Content-Type": cmp.Or(r.Ctype, "application/octet-stream")}
	if r.Key != "" {
		fields["Ordering-Key"] = r.Key
	}
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	return req, nil
}

// ask puts a request to a worker, once, and names what came of it.
func (a *Adapter) ask(ctx context.Context, r *run, req *http.Request) (*web.Reply, error) {
	reply, err := a.client.Send(req.WithContext(ctx), mostAnswer, web.Always)
	r.isSent.Store(!web.IsUnsent(err))
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return nil, mishap.Wrap(err, mishap.Late, "the worker did not answer in time")
	}
	return reply, err
}

// refused names an answer that is no success. Most 4xx blame the message: it
// can never succeed, so it is not run again.
func refused(o *wire.Outcome, raw *http.Response) error {
	code := raw.StatusCode
	if seconds, err := strconv.Atoi(raw.Header.Get("Retry-After")); err == nil && seconds > 0 {
		o.Wait = int64(min(seconds, 3600)) * 1000
	}
	if code >= 400 && code < 500 && !slices.Contains([]int{408, 409, 421, 425, 429}, code) {
		o.Final = true
		return mishap.New(mishap.Rejected, "the worker answered %d", code)
	}
	return mishap.New(mishap.Unsound, "the worker answered %d", code)
}
