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

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// delivery is one run on its way out, with its result.
//
// Invariant: rules are those that its steps were compiled from; once the first
// step has passed, configuration has the same ones and was fresh.
type delivery struct {
	ctx      context.Context // ends with the daemon
	run      *run
	outcome  *wire.Outcome
	rules    *config.Rules
	compiled *config.Compiled
}

// maxAnswerBytes bounds what is kept of a worker's answer as proof, in bytes. A longer
// answer means the same, and only its checksum is kept.
const maxAnswerBytes = 256 << 10

// workerKeepAlive finds a worker's machine gone that can no longer say so itself.
var workerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// newClient gives the adapter's way out to workers and to whoever is told of
// ends. What it sends is sent once: whether it is run again is for the place's
// owner to say.
func newClient(bounds timing.Bounds) *web.Client {
	return web.NewClient(web.ClientOptions{DialTimeout: bounds.Of(timing.DialTimeout), IdleTimeout: bounds.ConfigApply, MaxIdlePerAddress: 64, KeepAlive: workerKeepAlive})
}

func (a *Adapter) buildActions() pipeline.Actions[*delivery] {
	return pipeline.Actions[*delivery]{
		pipeline.RequireFreshView: func(_ pipeline.Step, e *delivery) error {
			if !a.d.IsFresh() { // also what a thawed daemon meets before its next act
				return errs.New(errs.Stale, "the view is too old to act on")
			}
			if e.compiled = a.configs.Current(); e.compiled.Rules != e.rules { // the steps are those of an older configuration
				return errs.New(errs.Stale, "the configuration has changed since")
			}
			return nil
		},
		pipeline.RequireAllowedPool: func(s pipeline.Step, e *delivery) error {
			if !slices.Contains(s.Names, e.run.Pool) {
				return errs.New(errs.Rejected, "lane %s may not use pool %s", e.run.Lane, e.run.Pool)
			}
			return nil
		},
		pipeline.RequireLiveWorker: func(_ pipeline.Step, e *delivery) error {
			w, isLive := e.compiled.CanServe(e.run.Pool, e.run.Worker)
			bound := e.rules.RunTimeoutMs(e.run.Lane, e.run.Pool) // by the configuration that is acted on
			if e.run.Key != "" && bound > e.run.Bound {
				// The place's owner waits for a lost run by the bound that it was begun with.
				return errs.New(errs.Stale, "the bound has grown from %d ms to %d ms since the run was begun", e.run.Bound, bound)
			}
			e.run.Bound = bound
			if !isLive || !e.compiled.MayStartWork(a.d.Who.Zone) {
				return errs.New(errs.Rejected, "%s/%s is not live", e.run.Pool, e.run.Worker)
			}
			e.run.address, e.run.identifier = w.Address, w.Identifier
			return nil
		},
		pipeline.RequireHolder: func(_ pipeline.Step, e *delivery) error {
			if !e.compiled.IsHolder(e.run.Pool, e.run.Worker, a.d.Who.Name, a.d.Who.Boot) {
				return errs.New(errs.NotOwner, "the duty of %s/%s has moved on", e.run.Pool, e.run.Worker)
			}
			return nil
		},
		pipeline.VerifyBody: func(_ pipeline.Step, e *delivery) error {
			if wire.Checksum(e.run.Body) != e.run.Checksum {
				return errs.New(errs.Corrupt, "the bytes do not match their checksum")
			}
			return nil
		},
		pipeline.SendToWorker: func(_ pipeline.Step, e *delivery) error {
			err := a.send(e)
			end := "success"
			if err != nil {
				end = string(errs.KindOf(err))
			}
			runsTotal.WithLabelValues(e.run.Pool, end).Inc()
			return err
		},
	}
}

// send runs the message on its worker. Only an answer that is whole and a
// success is a success.
func (a *Adapter) send(e *delivery) error {
	r := e.run
	r.isAttempted.Store(true)
	if len(r.RequestHead) > 0 {
		return a.sendPassthrough(e)
	}
	pool := e.rules.Pools[r.Pool]
	ctx, cancel := timing.WithRunningTimeout(e.ctx, place.AnswerTimeout(r.Key != "", time.Duration(r.Bound)*time.Millisecond))
	defer cancel()
	req, err := a.buildRequest(e, pool.Path)
	if err != nil {
		e.outcome.Final = true
		return err
	}
	naming := func(answer *http.Response) ReplyMatch { return matchOwnHeaders(answer, r.Id, r.Attempt) }
	reply, err := a.sendToWorker(ctx, e, req, maxAnswerBytes, naming)
	if err != nil {
		return err
	}
	if reply.StatusCode < 200 || reply.StatusCode > 299 {
		return statusError(e.outcome, reply.Response)
	}
	e.recordProof(reply, reply.Bytes)
	e.outcome.Proof.ContentType = reply.Header.Get("Content-Type")
	return nil
}

// recordProof notes a success and what of its answer proves it; nil for nothing.
func (e *delivery) recordProof(reply *web.Reply, proof []byte) {
	p := &e.outcome.Proof
	p.Status, p.Checksum = int64(reply.StatusCode), reply.Checksum
	if proof != nil {
		p.Answer = proof
	}
}

// buildRequest gives the request that a run is to its worker.
func (a *Adapter) buildRequest(e *delivery, path string) (*http.Request, error) {
	r := e.run
	req, err := http.NewRequest(http.MethodPost, "http://"+r.address+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "request to %s", r.address)
	}
	fields := map[string]string{messageId: r.Id, attemptNumber: strconv.FormatInt(r.Attempt, 10), "X-Lane": r.Lane,
		"Idempotency-Key": r.Id, "X-Content-SHA256": r.Checksum, "User-Agent": "caperwheel/" + a.d.Who.Name,
		"X-Charter-Stamp": strconv.FormatInt(e.compiled.Revision, 10), "Content-Type": cmp.Or(r.ContentType, "application/octet-stream")}
	if r.Key != "" {
		fields["Ordering-Key"] = wire.CallerKey(r.Key)
	}
	for name, value := range fields {
		req.Header.Set(name, value)
	}
	return req, nil
}

// ask puts a request to a worker, once, and names what came of it. An answer
// that may be another run's is none. At most most bytes of its body are kept.
func (a *Adapter) sendToWorker(ctx context.Context, e *delivery, req *http.Request, maxBytes int64, naming func(*http.Response) ReplyMatch) (*web.Reply, error) {
	mayKeep, check := replyChecks(naming)
	terms := web.SendOptions{MaxBodyBytes: maxBytes, WantsChecksum: maxBytes > 0, CanReuse: mayKeep, BeforeSend: func() error {
		err := a.recheckBeforeSend(e)
		e.run.isAttempted.Store(err == nil)
		return err
	}}
	reply, err := a.environment.Send(req.WithContext(ctx), terms)
	e.run.isSent.Store(!web.IsUnsent(err))
	switch {
	case err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return nil, errs.Wrap(err, errs.DeadlineExceeded, "the worker did not answer in time")
	case err != nil:
		return nil, err
	case maxBytes > 0 && !reply.HasWholeBody():
		answersNotKept.WithLabelValues(e.run.Pool).Inc()
	}
	return reply, check(reply)
}

// recheckBeforeSend looks at what may have changed while the run's connection was
// made, over which the process may have stood still.
func (a *Adapter) recheckBeforeSend(e *delivery) error {
	isFresh := a.d.IsFresh() // asked before the configuration, so that what is missing from it is missing
	compiled, r := a.configs.Current(), e.run
	w, isLive := compiled.CanServe(r.Pool, r.Worker)
	switch {
	case !isFresh:
		return errs.New(errs.Stale, "the view is too old to act on")
	case compiled.Rules != e.rules:
		return errs.New(errs.Stale, "the configuration has changed since")
	case !isLive || w.Address != r.address || w.Identifier != r.identifier || !compiled.MayStartWork(a.d.Who.Zone):
		return errs.New(errs.Rejected, "%s/%s is not live", r.Pool, r.Worker)
	case !compiled.IsHolder(r.Pool, r.Worker, a.d.Who.Name, a.d.Who.Boot):
		return errs.New(errs.NotOwner, "the duty of %s/%s has moved on", r.Pool, r.Worker)
	}
	return nil
}

// statusError names an answer that is no success. Most 4xx blame the message: it
// can never succeed, so it is not run again.
func statusError(o *wire.Outcome, raw *http.Response) error {
	code := raw.StatusCode
	if seconds, err := strconv.Atoi(raw.Header.Get("Retry-After")); err == nil && seconds > 0 {
		o.Wait = int64(min(seconds, 3600)) * 1000
	}
	if code >= 400 && code < 500 && !slices.Contains([]int{408, 409, 421, 425, 429}, code) {
		o.Final = true
		return errs.New(errs.Rejected, "the worker answered %d", code)
	}
	return errs.New(errs.Unhealthy, "the worker answered %d", code)
}
