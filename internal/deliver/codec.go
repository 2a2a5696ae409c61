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

// Asking is one run that is about to be put to a worker.
type Asking struct {
	Id         string
	Head       []byte
	Body       []byte
	Address    string
	Worker     string        // its name; empty for an outside endpoint
	Identifier string        // what the worker calls itself, where its name does not say so
	Bound      time.Duration // how long it may take
}

// Judgement is what a worker's whole answer says. Kind is empty for a success.
//
// Invariant: IsBegun is false only if the worker has not run the message.
type Judgement struct {
	Kind      errs.Kind
	Text      string
	Answer    []byte // what proves a success
	IsBegun   bool
	IsFinal   bool // it can never succeed
	IsHealthy bool // the worker is well, whatever it answered
	Wait      time.Duration
}

// Codec is one way to put requests to workers that came as they are, and to
// tell callers of ends. Names tells whose an answer of a worker says that it is;
// one that is another run's is not judged.
type Codec struct {
	// Ask gives the request; errs.Unhealthy where it may not be put to this worker, any other error
	// where it can be put to none.
	Ask   func(a Asking) (*http.Request, error)
	Names func(a Asking, answer *http.Response) Naming
	// Judge reads a whole answer. body is nil where it has more than MostKept bytes: what the
	// answer means must not depend on it.
	Judge    func(a Asking, answer *http.Response, body []byte) Judgement
	MostKept int64 // bytes of an answer's body that are kept for Judge

	Tell func(t *wire.Tell) (*http.Request, error)
	// ToldNames is Names for the answer to a word. Where it is not given, whoever
	// is told of ends answers each word once.
	ToldNames func(t *wire.Tell, answer *http.Response) Naming
}

// sendAsItIs puts a request to its worker as it came.
func (a *Adapter) sendAsItIs(e *delivery) error {
	r := e.run
	bound := time.Duration(r.Bound) * time.Millisecond
	asking := Asking{Id: r.Id, Head: r.Head, Body: r.Body, Address: r.address, Worker: r.Worker, Identifier: r.identifier, Bound: bound}
	if e.rules.Pools[r.Pool].IsEndpoint {
		asking.Worker = ""
	}
	req, err := a.codec.Ask(asking)
	if err != nil {
		e.outcome.Final = !errs.Is(err, errs.Unhealthy)
		return err
	}
	ctx, cancel := timing.WithRunningTimeout(e.ctx, bound+bound/timing.AnswerMargin)
	defer cancel()
	answer, err := a.ask(ctx, e, withBody(req, r.Body), a.codec.MostKept, func(answer *http.Response) Naming { return a.codec.Names(asking, answer) })
	if err != nil {
		return err
	}
	j := a.codec.Judge(asking, answer.Response, answer.Bytes)
	r.isSent.Store(j.IsBegun)
	r.isHealthy.Store(j.IsHealthy)
	e.outcome.Final, e.outcome.Wait = j.IsFinal, j.Wait.Milliseconds()
	if j.Kind != "" {
		return errs.New(j.Kind, "%s", j.Text)
	}
	e.prove(answer, j.Answer)
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
