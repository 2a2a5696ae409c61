package intake

import (
	"net/http"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/head"
	"caperwheel/internal/path"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// Arrival is what a request that comes as it is says besides its bytes.
type Arrival struct {
	Head     head.Head
	Key      string        // ordering key
	ApiKey   string        // of the caller's tenant
	Name     string        // operation key: all sends of a tenant's with one name are one message
	Notify   string        // URL to be told of the end
	Delay    time.Duration // it must not run before
	Deadline time.Duration // how long the caller waits; 0 if it does not say
}

// Word is what a caller is told of a message that came as it is. Kind is empty
// when the message is held.
//
// Invariant: IsOpen is false only if the message is held or never will run.
type Word struct {
	Id     string
	Kind   errs.Kind
	Text   string
	IsOpen bool
	Retry  time.Duration // when to come back; 0 for at once or never
}

// Codec is one way to speak with callers whose requests are taken as they are. Tenant is the header field
// that tells workers whose message it is.
type Codec struct {
	Read   func(r *http.Request) (Arrival, error)
	Tell   func(w http.ResponseWriter, word Word)
	Tenant string
}

// AsItIs takes requests as they are: the lane follows from host and path.
func (in *Intake) AsItIs(codec Codec) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e := &request{ctx: r.Context()}
		err := in.takeAsItIs(r, e, codec)
		if err == nil && e.taken.Kind != "" {
			err = errs.New(errs.Kind(e.taken.Kind), "%s", e.taken.Text)
		}
		if err == nil {
			in.count(e, taken)
			codec.Tell(w, Word{Id: e.taken.Id})
			return
		}
		kind := errs.KindOf(err)
		in.count(e, string(kind))
		codec.Tell(w, Word{Id: e.take.Id, Kind: kind, Text: err.Error(), IsOpen: e.isOpen, Retry: in.retry(kind, e)})
	}
}

func (in *Intake) takeAsItIs(r *http.Request, e *request, codec Codec) error {
	if n := in.inHand.Add(1); n > int64(in.d.Settings.Most) {
		in.inHand.Add(-1)
		return errs.New(errs.Full, "the adapter has %d messages in hand", n-1)
	}
	defer in.inHand.Add(-1)
	if err := in.findWay(e, r); err != nil {
		return err
	}
	arrival, err := codec.Read(r)
	if err != nil {
		return err
	}
	if err := in.findTenant(e, arrival.ApiKey); err != nil {
		return err
	}
	body, err := web.Body(r, e.lane.Size)
	if err != nil {
		return err
	}
	if err := in.findWay(e, r); err != nil { // a body may take long to come
		return err
	}
	if err := in.findTenant(e, arrival.ApiKey); err != nil {
		return err
	}
	if e.tenant.Name != "" {
		arrival.Head.Fields = append(arrival.Head.Fields, [2]string{codec.Tenant, e.tenant.Name})
	}
	e.deadline = arrival.Deadline
	e.take = wire.Take{Lane: e.lane.Name, Head: arrival.Head.Encode(), Body: body, Sum: wire.SumOf(body),
		Delay: arrival.Delay.Milliseconds(), Deadline: e.lane.Patience.Milliseconds()}
	if e.lane.IsNotified {
		e.take.Notify = arrival.Notify
	}
	e.putName(arrival.Name, arrival.Key)
	return in.admit(e)
}

// admit has a message held that counts against its tenant's limit.
func (in *Intake) admit(e *request) (err error) {
	permit, err := in.limits.Admit(e.ctx, e.tenant)
	if err != nil {
		return err
	}
	defer func() { permit.End(e.counts(err)) }()
	return path.Run(in.programs.Intake(e.compiled.Rules, e.lane.Name), in.actions, e)
}

// findWay takes the lane that the request's host and path lead to, as the
// configuration is now.
func (in *Intake) findWay(e *request, r *http.Request) error {
	e.isFresh = in.d.IsFresh() // asked before the configuration, so that a way missing from it is missing
	e.compiled = in.configs.Current()
	lane, isFound := config.Lane{}, false
	if e.isFresh {
		lane, isFound = e.compiled.Rules.Way(r.Host, head.Of(r).Path())
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

// Own is the product's own codec for requests that are taken as they are.
var Own = Codec{
	Tenant: "Tenant",
	Read: func(r *http.Request) (Arrival, error) {
		out := Arrival{Head: head.Of(r, "Content-Type", "Ordering-Key"), Key: r.Header.Get("Ordering-Key"), Notify: r.Header.Get("Notify-Url"),
			ApiKey: BearerOf(r), Name: r.Header.Get("Idempotency-Key")}
		if len(out.Key) > mostKey || len(out.Name) > mostKey {
			return out, errs.New(errs.Invalid, "keys may have %d bytes at most", mostKey)
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
	Tell: func(w http.ResponseWriter, word Word) {
		switch {
		case word.Kind == "":
			w.Header().Set("Location", "/v1/messages/"+word.Id)
			web.Answer(w, 202, Message{Id: word.Id, State: "held", Taken: true})
		case word.IsOpen:
			web.Reject(w, 504, web.Problem{Error: word.Kind, Text: word.Text, Taken: "undecided", Id: word.Id}, word.Retry)
		default:
			web.Reject(w, web.CodeOf(word.Kind), web.Problem{Error: word.Kind, Text: word.Text, Taken: false}, word.Retry)
		}
	},
}
