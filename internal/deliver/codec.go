package deliver

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// RunRequest is a passthrough run that is about to be sent to a worker.
type RunRequest struct {
	Id         string
	Head       []byte
	Body       []byte
	Address    string
	Worker     string        // its name; empty for an external endpoint
	Identifier string        // the worker's own identifier, if its name is not that
	Bound      time.Duration // time limit
}

// RunResult is the meaning of a worker's complete reply. Kind is empty for a success.
//
// Invariant: IsBegun is false only if the worker has not run the message.
type RunResult struct {
	Kind       errs.Kind
	Text       string
	Answer     []byte // kept as proof of a success
	IsBegun    bool
	IsFinal    bool // no retry can succeed
	IsHealthy  bool // the worker itself works, whatever it answered
	RetryDelay time.Duration
}

// Codec is a protocol by which passthrough requests are sent to workers, and completion notifications to callers.
// MatchReply tells which request a worker's reply belongs to; a reply to another request is not interpreted.
type Codec struct {
	// NewRequest builds the request. It returns errs.Unhealthy if the request may not go to this worker, and any other
	// error if it can go to none.
	NewRequest func(a RunRequest) (*http.Request, error)
	MatchReply func(a RunRequest, answer *http.Response) ReplyMatch
	// Interpret evaluates a complete reply. body is nil if it is longer than MaxAnswerBytes: the meaning of a reply
	// must not depend on such a body.
	Interpret      func(a RunRequest, answer *http.Response, body []byte) RunResult
	MaxAnswerBytes int64 // bytes of a reply's body that are kept for Interpret

	NewNotification func(t *wire.Tell) (*http.Request, error)
	// MatchNotificationReply is MatchReply for the reply to a notification. If it is nil, receivers are trusted to
	// answer each notification once.
	MatchNotificationReply func(t *wire.Tell, answer *http.Response) ReplyMatch
}

// sendPassthrough sends a passthrough request to its worker.
func (a *Adapter) sendPassthrough(e *delivery) error {
	r := e.run
	bound := time.Duration(r.Bound) * time.Millisecond
	request := RunRequest{Id: r.Id, Head: r.RequestHead, Body: r.Body, Address: r.address, Worker: r.Worker, Identifier: r.identifier, Bound: bound}
	if e.rules.Pools[r.Pool].IsEndpoint {
		request.Worker = ""
	}
	req, err := a.codec.NewRequest(request)
	if err != nil {
		e.outcome.Final = !errs.Is(err, errs.Unhealthy)
		return err
	}
	ctx, cancel := timing.WithRunningTimeout(e.ctx, bound+bound/timing.AnswerMarginDivisor)
	defer cancel()
	answer, err := a.sendToWorker(ctx, e, withBody(req, r.Body), a.codec.MaxAnswerBytes, func(answer *http.Response) ReplyMatch { return a.codec.MatchReply(request, answer) })
	if err != nil {
		return err
	}
	result := a.codec.Interpret(request, answer.Response, answer.Bytes)
	r.isSent.Store(result.IsBegun)
	r.isHealthy.Store(result.IsHealthy)
	e.outcome.Final, e.outcome.Wait = result.IsFinal, result.RetryDelay.Milliseconds()
	if result.Kind != "" {
		return errs.New(result.Kind, "%s", result.Text)
	}
	e.recordProof(answer, result.Answer)
	return nil
}

// withBody lets the client read the body again from the start if a kept connection was closed before any of the request
// was written.
func withBody(req *http.Request, body []byte) *http.Request {
	if req.GetBody == nil && len(body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return req
}
