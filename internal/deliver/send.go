package deliver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
	"caperwheel/internal/path"
	"caperwheel/internal/place"
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

// once keeps the HTTP library from sending a request again by itself: a run is
// sent once, and whether it is run again is for the place's owner to say.
type once struct{ http.RoundTripper }

func (o once) RoundTrip(r *http.Request) (*http.Response, error) {
	r.GetBody = nil
	return o.RoundTripper.RoundTrip(r)
}

// lostMachine finds a worker's machine gone that can no longer say so itself.
var lostMachine = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

func newClient(bounds beat.Bounds) (*resty.Client, http.RoundTripper) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: bounds.Of(beat.Dial), KeepAliveConfig: lostMachine}).DialContext,
		MaxIdleConns: 4096, MaxIdleConnsPerHost: 64, IdleConnTimeout: bounds.Charter, DisableCompression: true}
	bare := once{transport}
	return resty.New().SetTransport(bare).SetRedirectPolicy(resty.NoRedirectPolicy()), bare
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
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { r.isSent.Store(true) }})
	req := a.client.R().SetContext(ctx).SetDoNotParseResponse(true).SetBody(r.Body).
		SetHeader("X-Message-Id", r.Id).SetHeader("X-Attempt", strconv.FormatInt(r.Attempt, 10)).
		SetHeader("X-Lane", r.Lane).SetHeader("Idempotency-Key", r.Id).SetHeader("X-Content-SHA256", r.Sum).
		SetHeader("User-Agent", "caperwheel/"+a.d.Who.Name).SetHeader("X-Charter-Stamp", strconv.FormatInt(e.scene.Stamp, 10))
	if r.Ctype != "" {
		req.SetHeader("Content-Type", r.Ctype)
	} else {
		req.SetHeader("Content-Type", "application/octet-stream")
	}
	if r.Key != "" {
		req.SetHeader("Ordering-Key", r.Key)
	}
	resp, err := req.Post("http://" + r.address + pool.Path)
	if err != nil && (resp == nil || resp.RawResponse == nil) {
		return a.nameFailure(ctx, err)
	}
	raw := resp.RawResponse
	defer raw.Body.Close()
	if raw.ContentLength < 0 && !slices.Contains(raw.TransferEncoding, "chunked") {
		return mishap.New(mishap.CutShort, "an answer that tells no length cannot be known to be whole")
	}
	answer, err := io.ReadAll(io.LimitReader(raw.Body, mostAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return mishap.Wrap(err, mishap.Late, "the answer did not end in time")
	case err != nil:
		return mishap.Wrap(err, mishap.CutShort, "the answer was cut short")
	case len(answer) > mostAnswer:
		e.outcome.Final = true
		return mishap.New(mishap.TooLarge, "the answer has over %d bytes", mostAnswer)
	}
	if raw.StatusCode < 200 || raw.StatusCode > 299 {
		return refused(e.outcome, raw)
	}
	p := &e.outcome.Proof
	p.Status, p.Ctype, p.Answer, p.Sum = int64(raw.StatusCode), raw.Header.Get("Content-Type"), answer, wire.SumOf(answer)
	return nil
}

func (a *Adapter) nameFailure(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return mishap.Wrap(err, mishap.Late, "the worker did not answer in time")
	}
	return mishap.Wrap(err, mishap.Lost, "the worker could not be asked")
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
