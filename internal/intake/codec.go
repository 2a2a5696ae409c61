package intake

import (
	"net/http"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// PassthroughRequest is a passthrough request without its body. A passthrough request is forwarded to the worker
// unchanged, with its method, path and selected header fields.
type PassthroughRequest struct {
	Head     requesthead.Head
	Key      string        // ordering key
	ApiKey   string        // of the caller's tenant
	Name     string        // operation key: all requests of a tenant with the same one are the same message
	Notify   string        // URL for the completion notification
	Delay    time.Duration // earliest start, counted from now
	Deadline time.Duration // how long the caller waits; 0 if unknown
}

// CallerReply is the answer to a passthrough request. Kind is empty if the message was accepted.
//
// Invariant: IsUndecided is false only if the message was accepted or will never run.
type CallerReply struct {
	Id          string
	Kind        errs.Kind
	Text        string
	IsUndecided bool
	RetryAfter  time.Duration // when to retry; 0 for at once or never
}

// Codec is a protocol between the adapter and callers of passthrough requests. TenantHeader is the header field by
// which workers learn the message's tenant.
type Codec struct {
	ReadRequest  func(r *http.Request) (PassthroughRequest, error)
	WriteReply   func(w http.ResponseWriter, reply CallerReply)
	TenantHeader string
}

// PassthroughHandler accepts passthrough requests; host and path select the lane.
func (in *Intake) PassthroughHandler(codec Codec) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := &request{ctx: r.Context()}
		err := in.takePassthrough(r, e, codec)
		if err == nil && e.taken.Kind != "" {
			err = errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text)
		}
		if err == nil {
			in.count(e, resultTaken)
			codec.WriteReply(w, CallerReply{Id: e.taken.Id})
			return
		}
		kind := errs.KindOf(err)
		in.count(e, string(kind))
		codec.WriteReply(w, CallerReply{Id: e.take.Id, Kind: kind, Text: err.Error(), IsUndecided: e.mayBeHeld, RetryAfter: in.retryAfter(kind, e)})
	}
}

// takePassthrough reads a passthrough request and has its message held.
func (in *Intake) takePassthrough(r *http.Request, e *request, codec Codec) error {
	if n := in.inFlight.Add(1); n > int64(in.d.Settings.MaxInFlight) {
		in.inFlight.Add(-1)
		return errs.New(errs.Full, "request refused: %d requests are in progress on this adapter, the maximum", n-1)
	}
	defer in.inFlight.Add(-1)
	if err := in.findRoute(e, r); err != nil {
		return err
	}
	arrival, err := codec.ReadRequest(r)
	if err != nil {
		return err
	}
	if err := in.findTenant(e, arrival.ApiKey); err != nil {
		return err
	}
	body, err := web.ReadBody(r, e.lane.MaxBodyBytes)
	if err != nil {
		return err
	}
	if err := in.findRoute(e, r); err != nil { // again, since the body may have taken long to arrive
		return err
	}
	if err := in.findTenant(e, arrival.ApiKey); err != nil {
		return err
	}
	if e.tenant.Name != "" {
		arrival.Head.Fields = append(arrival.Head.Fields, [2]string{codec.TenantHeader, e.tenant.Name})
	}
	e.deadline = arrival.Deadline
	e.take = wire.Take{Lane: e.lane.Name, RequestHead: arrival.Head.Encode(), Body: body, Checksum: wire.Checksum(body),
		Delay: arrival.Delay.Milliseconds(), Deadline: e.lane.Patience.Milliseconds()}
	if e.lane.AllowsNotifyUrl {
		e.take.NotifyUrl = arrival.Notify
	}
	e.sender = SenderDigest(arrival.ApiKey)
	e.assignKeys(arrival.Name, arrival.Key)
	return in.admit(e)
}

// admit takes a token of the tenant's limit and runs the intake steps. The token is returned if the message does not
// count against the limit.
func (in *Intake) admit(e *request) (err error) {
	permit, err := in.limiter.Admit(e.ctx, e.tenant)
	if err != nil {
		return err
	}
	defer func() { permit.End(e.countsAgainstLimit(err)) }()
	return pipeline.Run(in.programs.Intake(e.compiled.Rules, e.lane.Name), in.actions, e)
}

// findRoute sets the lane that the request's host and path select in the current configuration.
func (in *Intake) findRoute(e *request, r *http.Request) error {
	e.isFresh = in.d.IsFresh() // before the configuration is read, so that a route missing from it is really missing
	e.compiled = in.configs.Current()
	lane, isFound := config.Lane{}, false
	if e.isFresh {
		lane, isFound = e.compiled.Rules.Route(r.Host, requesthead.FromRequest(r).Path())
	}
	switch {
	case !e.isFresh:
		return errStale()
	case !isFound:
		return errs.New(errs.Unknown, "no lane serves path %s", r.URL.Path)
	}
	e.lane = lane
	return nil
}

// DefaultCodec is the product's own codec for passthrough requests.
var DefaultCodec = Codec{
	TenantHeader: "Tenant",
	ReadRequest: func(r *http.Request) (PassthroughRequest, error) {
		out := PassthroughRequest{Head: requesthead.FromRequest(r, "Content-Type", "Ordering-Key"), Key: r.Header.Get("Ordering-Key"), Notify: r.Header.Get("Notify-Url"),
			ApiKey: BearerToken(r), Name: r.Header.Get("Idempotency-Key")}
		if len(out.Key) > maxKeyBytes || len(out.Name) > maxKeyBytes {
			return out, errs.New(errs.Invalid, "Ordering-Key and Idempotency-Key may have %d bytes at most", maxKeyBytes)
		}
		if text := r.Header.Get("Not-Before"); text != "" {
			delay, err := time.ParseDuration(text)
			if err != nil || delay < 0 {
				return out, errs.New(errs.Invalid, "header Not-Before must be a duration, 0 or more")
			}
			out.Delay = delay
		}
		return out, nil
	},
	WriteReply: func(w http.ResponseWriter, reply CallerReply) {
		switch {
		case reply.Kind == "":
			w.Header().Set("Location", "/v1/messages/"+reply.Id)
			web.WriteJson(w, 202, Message{Id: reply.Id, State: "held", Taken: true})
		case reply.IsUndecided:
			web.WriteProblem(w, 504, web.Problem{Error: reply.Kind, Text: reply.Text, Taken: "undecided", Id: reply.Id}, reply.RetryAfter)
		default:
			web.WriteProblem(w, web.StatusOf(reply.Kind), web.Problem{Error: reply.Kind, Text: reply.Text, Taken: false}, reply.RetryAfter)
		}
	},
}
