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

// PassthroughRequest is what a request that comes as it is says besides its bytes.
type PassthroughRequest struct {
	Head     requesthead.Head
	Key      string        // ordering key
	ApiKey   string        // of the caller's tenant
	Name     string        // operation key: all sends of a tenant's with one name are one message
	Notify   string        // URL to be told of the end
	Delay    time.Duration // it must not run before
	Deadline time.Duration // how long the caller waits; 0 if it does not say
}

// CallerReply is what a caller is told of a message that came as it is. Kind is empty
// when the message is held.
//
// Invariant: IsUndecided is false only if the message is held or never will run.
type CallerReply struct {
	Id          string
	Kind        errs.Kind
	Text        string
	IsUndecided bool
	RetryAfter  time.Duration // when to come back; 0 for at once or never
}

// Codec is one way to speak with callers whose requests are taken as they are. Tenant is the header field
// that tells workers whose message it is.
type Codec struct {
	ReadRequest  func(r *http.Request) (PassthroughRequest, error)
	WriteReply   func(w http.ResponseWriter, word CallerReply)
	TenantHeader string
}

// PassthroughHandler takes requests as they are: the lane follows from host and path.
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

func (in *Intake) takePassthrough(r *http.Request, e *request, codec Codec) error {
	if n := in.inFlight.Add(1); n > int64(in.d.Settings.MaxInFlight) {
		in.inFlight.Add(-1)
		return errs.New(errs.Full, "the adapter has %d messages in hand", n-1)
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
	if err := in.findRoute(e, r); err != nil { // a body may take long to come
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
	e.assignKeys(arrival.Name, arrival.Key)
	return in.admit(e)
}

// admit has a message held that counts against its tenant's limit.
func (in *Intake) admit(e *request) (err error) {
	permit, err := in.limiter.Admit(e.ctx, e.tenant)
	if err != nil {
		return err
	}
	defer func() { permit.End(e.countsAgainstLimit(err)) }()
	return pipeline.Run(in.programs.Intake(e.compiled.Rules, e.lane.Name), in.actions, e)
}

// findRoute takes the lane that the request's host and path lead to, as the
// configuration is now.
func (in *Intake) findRoute(e *request, r *http.Request) error {
	e.isFresh = in.d.IsFresh() // asked before the configuration, so that a way missing from it is missing
	e.compiled = in.configs.Current()
	lane, isFound := config.Lane{}, false
	if e.isFresh {
		lane, isFound = e.compiled.Rules.Route(r.Host, requesthead.FromRequest(r).Path())
	}
	switch {
	case !e.isFresh:
		return errStale()
	case !isFound:
		return errs.New(errs.Unknown, "no lane takes %s", r.URL.Path)
	}
	e.lane = lane
	return nil
}

// DefaultCodec is the product's own codec for requests that are taken as they are.
var DefaultCodec = Codec{
	TenantHeader: "Tenant",
	ReadRequest: func(r *http.Request) (PassthroughRequest, error) {
		out := PassthroughRequest{Head: requesthead.FromRequest(r, "Content-Type", "Ordering-Key"), Key: r.Header.Get("Ordering-Key"), Notify: r.Header.Get("Notify-Url"),
			ApiKey: BearerToken(r), Name: r.Header.Get("Idempotency-Key")}
		if len(out.Key) > maxKeyBytes || len(out.Name) > maxKeyBytes {
			return out, errs.New(errs.Invalid, "keys may have %d bytes at most", maxKeyBytes)
		}
		if text := r.Header.Get("Not-Before"); text != "" {
			delay, err := time.ParseDuration(text)
			if err != nil || delay < 0 {
				return out, errs.New(errs.Invalid, "Not-Before must be a duration")
			}
			out.Delay = delay
		}
		return out, nil
	},
	WriteReply: func(w http.ResponseWriter, word CallerReply) {
		switch {
		case word.Kind == "":
			w.Header().Set("Location", "/v1/messages/"+word.Id)
			web.WriteJson(w, 202, Message{Id: word.Id, State: "held", Taken: true})
		case word.IsUndecided:
			web.WriteProblem(w, 504, web.Problem{Error: word.Kind, Text: word.Text, Taken: "undecided", Id: word.Id}, word.RetryAfter)
		default:
			web.WriteProblem(w, web.StatusOf(word.Kind), web.Problem{Error: word.Kind, Text: word.Text, Taken: false}, word.RetryAfter)
		}
	},
}
