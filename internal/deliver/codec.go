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

// RunRequest is one run that is about to be put to a worker.
type RunRequest struct {
	Id         string
	Head       []byte
	Body       []byte
	Address    string
	Worker     string        // its name; empty for an outside endpoint
	Identifier string        // what the worker calls itself, where its name does not say so
	Bound      time.Duration // how long it may take
}

// RunResult is what a worker's whole answer says. Kind is empty for a success.
//
// Invariant: IsBegun is false only if the worker has not run the message.
type RunResult struct {
	Kind       errs.Kind
	Text       string
	Answer     []byte // what proves a success
	IsBegun    bool
	IsFinal    bool // it can never succeed
	IsHealthy  bool // the worker is well, whatever it answered
	RetryDelay time.Duration
}

// Codec is one way to put requests to workers that came as they are, and to
// tell callers of ends. Names tells whose an answer of a worker says that it is;
// one that is another run's is not judged.
type Codec struct {
	// Ask gives the request; errs.Unhealthy where it may not be put to this worker, any other error
	// where it can be put to none.
	NewRequest func(a RunRequest) (*http.Request, error)
	MatchReply func(a RunRequest, answer *http.Response) ReplyMatch
	// Judge reads a whole answer. body is nil where it has more than MaxAnswerBytes bytes: what the
	// answer means must not depend on it.
	Interpret      func(a RunRequest, answer *http.Response, body []byte) RunResult
	MaxAnswerBytes int64 // bytes of an answer's body that are kept for Judge

	NewNotification func(t *wire.Tell) (*http.Request, error)
	// MatchNotificationReply is Names for the answer to a word. Where it is not given, whoever
	// is told of ends answers each word once.
	MatchNotificationReply func(t *wire.Tell, answer *http.Response) ReplyMatch
}

// sendPassthrough puts a request to its worker as it came.
func (a *Adapter) sendPassthrough(e *delivery) error {
	r := e.run
	bound := time.Duration(r.Bound) * time.Millisecond
	asking := RunRequest{Id: r.Id, Head: r.RequestHead, Body: r.Body, Address: r.address, Worker: r.Worker, Identifier: r.identifier, Bound: bound}
	if e.rules.Pools[r.Pool].IsEndpoint {
		asking.Worker = ""
	}
	req, err := a.codec.NewRequest(asking)
	if err != nil {
		e.outcome.Final = !errs.Is(err, errs.Unhealthy)
		return err
	}
	ctx, cancel := timing.WithRunningTimeout(e.ctx, bound+bound/timing.AnswerMarginDivisor)
	defer cancel()
	answer, err := a.sendToWorker(ctx, e, withBody(req, r.Body), a.codec.MaxAnswerBytes, func(answer *http.Response) ReplyMatch { return a.codec.MatchReply(asking, answer) })
	if err != nil {
		return err
	}
	j := a.codec.Interpret(asking, answer.Response, answer.Bytes)
	r.isSent.Store(j.IsBegun)
	r.isHealthy.Store(j.IsHealthy)
	e.outcome.Final, e.outcome.Wait = j.IsFinal, j.RetryDelay.Milliseconds()
	if j.Kind != "" {
		return errs.New(j.Kind, "%s", j.Text)
	}
	e.recordProof(answer, j.Answer)
	return nil
}

// withBody lets the client take the bytes again from the start, should a kept
// connection have gone before it wrote any.
func withBody(req *http.Request, body []byte) *http.Request {
	if req.GetBody == nil && len(body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return req
}
