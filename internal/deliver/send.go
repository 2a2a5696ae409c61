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

// delivery is one run being sent, and its result.
//
// Invariant: rules are those that its steps were compiled from; once the first step has passed, compiled has the same
// rules and was fresh.
type delivery struct {
	ctx      context.Context // ends with the daemon
	run      *run
	outcome  *wire.Outcome
	rules    *config.Rules
	compiled *config.Compiled
}

// maxAnswerBytes bounds the bytes of a worker's reply that are kept as proof. A longer reply has the same meaning; only
// its checksum is kept.
const maxAnswerBytes = 256 << 10

// workerKeepAlive detects a worker's machine that has gone without closing its connections.
var workerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// newClient returns the HTTP client for workers and notification receivers. It never resends a request: retries are
// decided by the place's owner.
func newClient(bounds timing.Bounds) *web.Client {
	return web.NewClient(web.ClientOptions{DialTimeout: bounds.Of(timing.DialTimeout), IdleTimeout: bounds.ConfigApply, MaxIdlePerAddress: 64, KeepAlive: workerKeepAlive})
}

// buildActions returns the implementation of each delivery step.
func (a *Adapter) buildActions() pipeline.Actions[*delivery] {
	return pipeline.Actions[*delivery]{
		pipeline.RequireFreshView: func(_ pipeline.Step, e *delivery) error {
			if !a.d.IsFresh() { // also the first check of a process that resumes after a freeze
				return errs.New(errs.Stale, "run not sent: the adapter's configuration view is stale")
			}
			if e.compiled = a.configs.Current(); e.compiled.Rules != e.rules { // the steps are of an older configuration
				return errs.New(errs.Stale, "run not sent: the configuration has changed since its steps were compiled")
			}
			return nil
		},
		pipeline.RequireAllowedPool: func(s pipeline.Step, e *delivery) error {
			if !slices.Contains(s.Names, e.run.Pool) {
				return errs.New(errs.Rejected, "run not sent: lane %s may not use pool %s", e.run.Lane, e.run.Pool)
			}
			return nil
		},
		pipeline.RequireLiveWorker: func(_ pipeline.Step, e *delivery) error {
			w, isLive := e.compiled.CanServe(e.run.Pool, e.run.Worker)
			bound := e.rules.RunTimeoutMs(e.run.Lane, e.run.Pool) // of the current configuration
			if e.run.Key != "" && bound > e.run.Bound {
				// For an ordered message, the place's owner waits out a lost run by the bound that it was started with.
				return errs.New(errs.Stale, "run not sent: its bound has grown from %d ms to %d ms since it was started", e.run.Bound, bound)
			}
			e.run.Bound = bound
			if !isLive || !e.compiled.MayStartWork(a.d.Who.Zone) {
				return errs.New(errs.Rejected, "run not sent: worker %s/%s is not live, or this adapter's zone is being drained", e.run.Pool, e.run.Worker)
			}
			e.run.address, e.run.identifier = w.Address, w.Identifier
			return nil
		},
		pipeline.RequireHolder: func(_ pipeline.Step, e *delivery) error {
			if !e.compiled.IsHolder(e.run.Pool, e.run.Worker, a.d.Who.Name, a.d.Who.Boot) {
				return errs.New(errs.NotOwner, "run not sent: the duty of worker %s/%s has moved to another holder", e.run.Pool, e.run.Worker)
			}
			return nil
		},
		pipeline.VerifyBody: func(_ pipeline.Step, e *delivery) error {
			if wire.Checksum(e.run.Body) != e.run.Checksum {
				return errs.New(errs.Corrupt, "run not sent: the message body does not match its checksum")
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

// send sends the run to its worker. Only a complete 2xx reply is a success.
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
	match := func(answer *http.Response) ReplyMatch { return matchOwnHeaders(answer, r.Id, r.Attempt) }
	reply, err := a.sendToWorker(ctx, e, req, maxAnswerBytes, match)
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

// recordProof records a success and the bytes of the reply that prove it; nil for none.
func (e *delivery) recordProof(reply *web.Reply, proof []byte) {
	p := &e.outcome.Proof
	p.Status, p.Checksum = int64(reply.StatusCode), reply.Checksum
	if proof != nil {
		p.Answer = proof
	}
}

// buildRequest returns the request by which a run of a lane's own message is sent to its worker.
func (a *Adapter) buildRequest(e *delivery, path string) (*http.Request, error) {
	r := e.run
	req, err := http.NewRequest(http.MethodPost, "http://"+r.address+path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "build request to worker at %s", r.address)
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

// sendToWorker sends a request to a worker, at most once, and classifies the result. A reply that may belong to another
// run is an error. At most maxBytes of the reply's body are kept.
func (a *Adapter) sendToWorker(ctx context.Context, e *delivery, req *http.Request, maxBytes int64, match func(*http.Response) ReplyMatch) (*web.Reply, error) {
	canReuse, check := replyChecks(match)
	options := web.SendOptions{MaxBodyBytes: maxBytes, WantsChecksum: maxBytes > 0, CanReuse: canReuse, BeforeSend: func() error {
		err := a.recheckBeforeSend(e)
		e.run.isAttempted.Store(err == nil)
		return err
	}}
	reply, err := a.environment.Send(req.WithContext(ctx), options)
	e.run.isSent.Store(!web.IsUnsent(err))
	switch {
	case err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return nil, errs.Wrap(err, errs.DeadlineExceeded, "the worker did not answer within the run's bound")
	case err != nil:
		return nil, err
	case maxBytes > 0 && !reply.HasWholeBody():
		answersNotKept.WithLabelValues(e.run.Pool).Inc()
	}
	return reply, check(reply)
}

// recheckBeforeSend repeats the checks whose result may have changed while the run's connection was being made; the
// process may have been frozen meanwhile.
func (a *Adapter) recheckBeforeSend(e *delivery) error {
	isFresh := a.d.IsFresh() // asked before the configuration, so that an entry missing from it is really missing
	compiled, r := a.configs.Current(), e.run
	w, isLive := compiled.CanServe(r.Pool, r.Worker)
	switch {
	case !isFresh:
		return errs.New(errs.Stale, "run not sent: the adapter's configuration view is stale")
	case compiled.Rules != e.rules:
		return errs.New(errs.Stale, "run not sent: the configuration has changed since its steps were compiled")
	case !isLive || w.Address != r.address || w.Identifier != r.identifier || !compiled.MayStartWork(a.d.Who.Zone):
		return errs.New(errs.Rejected, "run not sent: worker %s/%s is not live, has moved, or this adapter's zone is being drained", r.Pool, r.Worker)
	case !compiled.IsHolder(r.Pool, r.Worker, a.d.Who.Name, a.d.Who.Boot):
		return errs.New(errs.NotOwner, "run not sent: the duty of worker %s/%s has moved to another holder", r.Pool, r.Worker)
	}
	return nil
}

// statusError returns the error for a status that is not a success. Most 4xx statuses blame the message: no retry can
// succeed, so the result is final.
func statusError(o *wire.Outcome, reply *http.Response) error {
	code := reply.StatusCode
	if seconds, err := strconv.Atoi(reply.Header.Get("Retry-After")); err == nil && seconds > 0 {
		o.Wait = int64(min(seconds, 3600)) * 1000
	}
	if code >= 400 && code < 500 && !slices.Contains([]int{408, 409, 421, 425, 429}, code) {
		o.Final = true
		return errs.New(errs.Rejected, "the worker rejected the message with status %d", code)
	}
	return errs.New(errs.Unhealthy, "the worker failed with status %d", code)
}
