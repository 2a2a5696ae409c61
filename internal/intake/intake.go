// Package intake is an adapter's HTTP side towards callers: it takes messages
// in, and answers for any message by following its place.
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

// Intake of one adapter. Invariant: at most Most requests are in hand.
type Intake struct {
	d             *daemon.Daemon
	configs       *config.Cache
	owners        ownerClient
	quickOwners   ownerClient // for callers that do not wait long
	unresponsive  unresponsiveStores
	inFlight      atomic.Int64
	openWaits     atomic.Int64 // waits for an end
	peers         weight.Peers // stores, as this adapter sees them
	tenantAnswers tenantAnswers
	limiter       Limiter
	actions       pipeline.Actions[*request]
	programs      pipeline.Programs
}

// ownerClient brings asks to the owners of places; internal/reach does.
type ownerClient interface {
	CallOwnerTracked(ctx context.Context, id int64, ask any, owned func(any) (bool, string)) (reply any, isOpen bool, err error)
	CallOwner(ctx context.Context, id int64, ask any, owned func(any) (bool, string)) (any, error)
}

// request is one request on its way in.
type request struct {
	ctx              context.Context
	compiled         *config.Compiled // the lane's rules are of its configuration
	isFresh          bool             // the view was, just before its configuration was taken
	lane             config.Lane
	tenant           config.Tenant // whose message it is; none where the lane is public and no key was given
	operationKey     string        // operation key: the tenant's sends with one name are one message
	orderingKey      string        // ordering key that the request carries, whether its lane is ordered or not
	deadline         time.Duration // how long its caller waits; 0 if that is not known
	take             wire.Take
	taken            *wire.Taken
	mayBeHeld        bool // a store may have it, or may have had it of an earlier send
	mayBeHeldEarlier bool // an ask of this request's may have been held before the one that was answered
}

const maxKeyBytes = 200

// New readies the intake and its HTTP paths.
func New(d *daemon.Daemon, configs *config.Cache) *Intake {
	in := &Intake{d: d, configs: configs, limiter: Unlimited{}}
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
				return errs.New(errs.Stale, "the configuration has changed meanwhile")
			}
			return nil
		},
		pipeline.LimitBodySize: func(s pipeline.Step, e *request) error {
			if int64(len(e.take.Body)) > s.Number {
				return errs.New(errs.TooLarge, "body of %d bytes, limit %d", len(e.take.Body), s.Number)
			}
			return nil
		},
		pipeline.RequireKey: func(_ pipeline.Step, e *request) error {
			if e.take.Key == "" {
				return errs.New(errs.Invalid, "lane %s is ordered and needs an Ordering-Key", e.lane.Name)
			}
			return nil
		},
		pipeline.ForbidKey: func(_ pipeline.Step, e *request) error {
			if e.take.Key != "" {
				return errs.New(errs.Invalid, "lane %s is not ordered and takes no Ordering-Key", e.lane.Name)
			}
			return nil
		},
		pipeline.Place: func(_ pipeline.Step, e *request) error {
			if e.take.Id == "" { // one with an idempotency key has had its place since it was read
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

// assignPlace gives the message its place and id. An ordering key names the place,
// an idempotency or operation key the id: whoever sends the message again, through any
// adapter, asks for the same one.
//
// Invariant: the place and id of a tenant's message with an operation key follow from the request and its
// tenant alone. The lane, which a change of the configuration may replace between two sends, has no part in them.
func (in *Intake) assignPlace(e *request) {
	t := &e.take
	switch {
	case e.operationKey != "" && e.orderingKey == "":
		t.Place = in.hashToPlace(e.tenant.Name, "n"+e.operationKey)
	case e.operationKey != "" && e.tenant.Name != "":
		t.Place = in.hashToPlace("", "k"+wire.ScopedKey(e.tenant.Name, e.orderingKey))
	case t.Key != "" && e.tenant.Name != "":
		t.Place = in.hashToPlace("", "k"+t.Key)
	case t.Key != "":
		t.Place = in.hashToPlace(t.Lane, "k"+t.Key)
	case e.operationKey != "":
		t.Place = in.hashToPlace("", "n"+e.operationKey)
	case t.IdempotencyKey != "":
		t.Place = in.hashToPlace(t.Lane, "i"+t.IdempotencyKey)
	default:
		t.Place = in.choosePlace()
	}
	t.Id = strconv.FormatInt(t.Place, 10) + "-" + tokenOf(e)
}

func (in *Intake) hashToPlace(lane, key string) int64 {
	h := fnv.New64a()
	h.Write([]byte(lane + "\x00" + key))
	return int64(h.Sum64() % uint64(in.d.Settings.Places))
}

// Run moves the weights of the stores until ctx ends.
func (in *Intake) Run(ctx context.Context) {
	timing.Every(ctx, in.d.Bounds.Of(timing.AnswerTimeout), func() {
		for _, who := range in.d.Membership.OfKind("store") {
			in.d.Node.Peer(wire.PlaceLink, who.Addr).EnsureConnected()
		}
		in.peers.Update(func(name string) bool { _, isHere := in.d.Membership.Find(name); return isHere })
	})
}

// isOwner tells owners' answers from those of stores that name another. An
// undecided answer is asked again: a take is known by its id.
func isOwner(reply any) (bool, string) {
	switch m := reply.(type) {
	case *wire.Taken:
		isIt := m.Kind != string(errs.NotOwner) && m.Kind != string(errs.Undecided)
		return isIt, m.Owner
	case *wire.Sight:
		return m.Kind != string(errs.NotOwner), m.Owner
	}
	return false, ""
}
