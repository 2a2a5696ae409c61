// Package intake is the HTTP side of an adapter towards callers. It authenticates the tenant, applies the tenant's
// limit, has each message held by the owner of its place, and serves the status and body of messages. It holds the
// requests in progress and the observed weights of the stores, nothing durable. The adapter daemon (cmd/adapter) and
// the package platform call it.
package intake

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/pipeline"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// Intake is the intake of one adapter. Invariant: at most Settings.MaxInFlight requests that send a message are in
// progress.
type Intake struct {
	d             *daemon.Daemon
	configs       *config.Cache
	owners        ownerClient
	quickOwners   ownerClient // with a time limit per attempt, for callers with a deadline
	unresponsive  unresponsiveStores
	inFlight      atomic.Int64
	openWaits     atomic.Int64 // requests waiting for a message to end
	peers         weight.Peers // weights of the stores, as observed here
	tenantAnswers tenantAnswers
	limiter       Limiter
	knownHomes    []atomic.Bool // by place: whether it was seen to hold messages with operation keys itself
	homesProbedAt time.Duration // used by Run alone
	actions       pipeline.Actions[*request]
	programs      pipeline.Programs
}

// ownerClient calls the owners of places; ownerclient.Client implements it.
type ownerClient interface {
	CallOwnerTracked(ctx context.Context, id int64, request any, owned func(any) (bool, string)) (reply any, isUncertain bool, err error)
	CallOwner(ctx context.Context, id int64, request any, owned func(any) (bool, string)) (any, error)
}

// request is a message being accepted.
type request struct {
	ctx              context.Context
	compiled         *config.Compiled // configuration that the lane's rules come from
	isFresh          bool             // whether the view was fresh just before compiled was read
	lane             config.Lane
	tenant           config.Tenant // the zero value on a public lane without a valid key
	operationKey     string        // all requests of the tenant with the same one are the same message
	orderingKey      string        // ordering key of the request, also if the lane is not ordered
	sender           string        // SenderDigest of the request's API key
	operation        *Operation    // of a message with an operation key, once its place is assigned
	deadline         time.Duration // how long the caller waits; 0 if unknown
	take             wire.Take
	taken            *wire.Taken
	mayBeHeld        bool // a store may hold it, from this or an earlier request
	mayBeHeldEarlier bool // an attempt of this request before the answered one may have been held
}

// maxKeyBytes bounds keys, ids and the content type.
const maxKeyBytes = 200

// New returns an intake that serves its HTTP paths on the daemon's mux.
func New(d *daemon.Daemon, configs *config.Cache) *Intake {
	in := &Intake{d: d, configs: configs, limiter: Unlimited{}, knownHomes: make([]atomic.Bool, d.Settings.Places)}
	in.owners = &ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink}
	in.quickOwners = &ownerclient.Client{Node: d.Node, Membership: d.Membership, Bounds: d.Bounds, Link: wire.PlaceLink, OnAttempt: in.recordAttempt, AttemptTimeout: timing.AttemptTimeout}
	d.AddMetrics(func(emit daemon.Emit) {
		for name, w := range in.peers.All() {
			emit("weight_peer", "Weight of a store for messages that may go to any place.", w, "store", name)
		}
		in.tenantAnswers.measure(configs.Current().Rules, emit)
	})
	in.actions = pipeline.Actions[*request]{
		pipeline.RequireFreshView: func(_ pipeline.Step, e *request) error {
			if !d.IsFresh() {
				return errStale()
			}
			if configs.Current().Rules != e.compiled.Rules {
				return errs.New(errs.Stale, "message not accepted: the configuration has changed since the request arrived")
			}
			return nil
		},
		pipeline.LimitBodySize: func(s pipeline.Step, e *request) error {
			if int64(len(e.take.Body)) > s.Number {
				return errs.New(errs.TooLarge, "message body has %d bytes, the lane's limit is %d", len(e.take.Body), s.Number)
			}
			return nil
		},
		pipeline.RequireKey: func(_ pipeline.Step, e *request) error {
			if e.take.Key == "" {
				return errs.New(errs.Invalid, "lane %s is ordered: the request needs an Ordering-Key", e.lane.Name)
			}
			return nil
		},
		pipeline.ForbidKey: func(_ pipeline.Step, e *request) error {
			if e.take.Key != "" {
				return errs.New(errs.Invalid, "lane %s is not ordered: the request may not have an Ordering-Key", e.lane.Name)
			}
			return nil
		},
		pipeline.Place: func(_ pipeline.Step, e *request) error {
			if e.take.Id == "" { // with an idempotency key it was assigned when the request was read
				in.assignPlace(e)
			}
			return nil
		},
		pipeline.SubmitToOwner: func(_ pipeline.Step, e *request) error { return in.hold(e) },
	}
	d.Mux.HandleFunc("/v1/lanes/{lane}/messages", web.ByMethod(map[string]http.HandlerFunc{"POST": in.post}))
	d.Mux.HandleFunc("/v1/messages/{id}", web.ByMethod(map[string]http.HandlerFunc{"GET": in.RequireAccess(in.get)}))
	d.Mux.HandleFunc("/v1/messages/{id}/body", web.ByMethod(map[string]http.HandlerFunc{"GET": in.RequireAccess(in.getBody)}))
	d.Mux.HandleFunc("/", in.PassthroughHandler(DefaultCodec))
	return in
}

// assignPlace sets the message's place and id. An ordering key determines the place, and an idempotency key the id, so
// that a repeated request gets the same ones through any adapter. For a message with an operation key they are what this
// send proposes to the key's home; see Operation.
func (in *Intake) assignPlace(e *request) {
	places := int64(in.d.Settings.Places)
	number, isKeyed := e.keyedPlace(places)
	if !isKeyed {
		number = in.choosePlace()
	}
	e.setPlace(number)
	if e.operationKey != "" {
		home := HomeOf(e.operationKey, places)
		e.operation = e.newOperation(places, in.knownHomes[home].Load(), newRetryToken)
	}
}

// setPlace sets the message's place and id.
func (e *request) setPlace(number int64) {
	e.take.Place = number
	e.take.Id = strconv.FormatInt(number, 10) + "-" + tokenOf(e)
}

// keyedPlace returns the place that the message's keys select; false if it may go to any.
func (e *request) keyedPlace(places int64) (number int64, isKeyed bool) {
	t := &e.take
	switch {
	case e.operationKey != "" && e.orderingKey == "":
		return hashToPlace(e.tenant.Name, "n"+e.operationKey, places), true
	case e.operationKey != "" && e.tenant.Name != "":
		return hashToPlace("", "k"+wire.ScopedKey(e.tenant.Name, e.orderingKey), places), true
	case t.Key != "" && e.tenant.Name != "":
		return hashToPlace("", "k"+t.Key, places), true
	case t.Key != "":
		return hashToPlace(t.Lane, "k"+t.Key, places), true
	case e.operationKey != "":
		return hashToPlace("", "n"+e.operationKey, places), true
	case t.IdempotencyKey != "":
		return hashToPlace(t.Lane, "i"+t.IdempotencyKey, places), true
	}
	return 0, false
}

// hashToPlace returns the place among a number of places that a key of a lane or tenant hashes to.
func hashToPlace(lane, key string, places int64) int64 {
	h := fnv.New64a()
	h.Write([]byte(lane + "\x00" + key))
	return int64(h.Sum64() % uint64(places))
}

// Run keeps connections to the stores open, learns which places are homes, and updates the weights of the stores, until
// ctx ends.
func (in *Intake) Run(ctx context.Context) {
	timing.Every(ctx, in.d.Bounds.Of(timing.AnswerTimeout), func() {
		for _, who := range in.d.Membership.OfKind("store") {
			in.d.Node.Peer(wire.PlaceLink, who.Addr).EnsureConnected()
		}
		in.probeHomes()
		in.peers.Update(func(name string) bool { _, isHere := in.d.Membership.Find(name); return isHere })
	})
}

// isOwner reports whether a reply comes from the owner of the place, and otherwise which store it names. A reply that
// says undecided is treated as not the owner's, so that the request is repeated: the owner recognises it by its id.
func isOwner(reply any) (bool, string) {
	switch m := reply.(type) {
	case *wire.Taken:
		isFromOwner := m.Kind != string(errs.NotOwner) && m.Kind != string(errs.Undecided)
		return isFromOwner, m.Owner
	case *wire.Sight:
		return m.Kind != string(errs.NotOwner) && m.Kind != string(errs.Undecided), m.Owner
	}
	return false, ""
}
