package deliver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// Asking is one run that is about to be put to a worker.
type Asking struct {
	Id      string
	Head    []byte
	Body    []byte
	Address string
	Worker  string        // its name; empty for an outside endpoint
	Bound   time.Duration // how long it may take
}

// Judgement is what a worker's whole answer says. Kind is empty for a success.
//
// Invariant: IsBegun is false only if the worker has not run the message.
type Judgement struct {
	Kind    mishap.Kind
	Text    string
	Answer  []byte // what proves a success
	IsBegun bool
	IsFinal bool // it can never succeed
	IsSound bool // the worker is well, whatever it answered
	Wait    time.Duration
}

// Manner is one way to put requests to workers that came as they are, and to
// tell callers of ends.
type Manner struct {
	Ask   func(a Asking) (*http.Request, error)
	Judge func(a Asking, answer *http.Response, body []byte) Judgement
	Tell  func(t *wire.Tell) (*http.Request, error)
}

// sendAsItIs puts a request to its worker as it came.
func (a *Adapter) sendAsItIs(e *delivery) error {
	r := e.run
	bound := time.Duration(r.Bound) * time.Millisecond
	asking := Asking{Id: r.Id, Head: r.Head, Body: r.Body, Address: r.address, Worker: r.Worker, Bound: bound}
	if r.Worker == charter.Endpoint {
		asking.Worker = ""
	}
	req, err := a.manner.Ask(asking)
	if err != nil {
		e.outcome.Final = true
		return err
	}
	ctx, cancel := beat.Patience(a.ctx, bound+bound/beat.AnswerPart)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { r.isSent.Store(true) }})
	answer, body, err := a.trip(req.WithContext(ctx), mostAnswer)
	switch {
	case err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return mishap.Wrap(err, mishap.Late, "the worker did not answer in time")
	case err != nil:
		return err
	}
	j := a.manner.Judge(asking, answer, body)
	r.isSent.Store(j.IsBegun)
	r.isSound.Store(j.IsSound)
	e.outcome.Final, e.outcome.Wait = j.IsFinal, j.Wait.Milliseconds()
	if j.Kind != "" {
		return mishap.New(j.Kind, "%s", j.Text)
	}
	p := &e.outcome.Proof
	p.Status, p.Answer = int64(answer.StatusCode), j.Answer
	return nil
}

// trip sends a request once and reads its whole answer. An answer whose end
// cannot be known is a mishap.
func (a *Adapter) trip(req *http.Request, most int64) (*http.Response, []byte, error) {
	answer, err := a.bare.RoundTrip(req)
	if err != nil {
		return nil, nil, mishap.Wrap(err, mishap.Lost, "no answer")
	}
	defer answer.Body.Close()
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return nil, nil, mishap.New(mishap.CutShort, "an answer that tells no length cannot be known to be whole")
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, most+1))
	switch {
	case err != nil:
		return nil, nil, mishap.Wrap(err, mishap.CutShort, "the answer was cut short")
	case int64(len(body)) > most:
		return nil, nil, mishap.New(mishap.TooLarge, "the answer has over %d bytes", most)
	}
	return answer, body, nil
}
