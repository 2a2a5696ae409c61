// Package intake is an adapter's HTTP side towards callers: it takes messages
// in, and answers for any message by following its place.
package intake

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/daemon"
	"caperwheel/internal/mishap"
	"caperwheel/internal/path"
	"caperwheel/internal/reach"
	"caperwheel/internal/store"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// Intake of one adapter. Invariant: at most Most requests are in hand.
type Intake struct {
	d        *daemon.Daemon
	scenes   *charter.Scenes
	reach    *reach.Reach
	inHand   atomic.Int64
	doers    path.Doers[*errand]
	programs path.Programs
}

// errand is one request on its way in.
type errand struct {
	ctx    context.Context
	rules  *charter.Rules
	lane   charter.Lane
	take   wire.Take
	taken  *wire.Taken
	isSent bool // a store may have it
}

const mostKey = 200

// New readies the intake and its HTTP paths.
func New(d *daemon.Daemon, scenes *charter.Scenes) *Intake {
	in := &Intake{d: d, scenes: scenes, reach: &reach.Reach{Node: d.Node, Roll: d.Roll, Bounds: d.Bounds, Link: wire.PlaceLink}}
	in.doers = path.Doers[*errand]{
		path.Fresh: func(path.Step, *errand) error {
			if !d.IsFresh() {
				return mishap.New(mishap.Stale, "this adapter has lost touch with the control plane")
			}
			return nil
		},
		path.Size: func(s path.Step, e *errand) error {
			if int64(len(e.take.Body)) > s.Number {
				return mishap.New(mishap.TooLarge, "body of %d bytes, limit %d", len(e.take.Body), s.Number)
			}
			return nil
		},
		path.Keyed: func(_ path.Step, e *errand) error {
			if e.take.Key == "" {
				return mishap.New(mishap.Invalid, "lane %s is ordered and needs an Ordering-Key", e.lane.Name)
			}
			return nil
		},
		path.Keyless: func(_ path.Step, e *errand) error {
			if e.take.Key != "" {
				return mishap.New(mishap.Invalid, "lane %s is not ordered and takes no Ordering-Key", e.lane.Name)
			}
			return nil
		},
		path.ByKey: func(_ path.Step, e *errand) error { in.putPlace(e, "k"+e.take.Key); return nil },
		path.ByIdem: func(_ path.Step, e *errand) error {
			if e.take.Idem != "" {
				in.putPlace(e, "i"+e.take.Idem)
			} else {
				in.putPlace(e, daemon.Random(8))
			}
			return nil
		},
		path.Hold: func(_ path.Step, e *errand) error { return in.hold(e) },
	}
	d.Mux.HandleFunc("/v1/lanes/{lane}/messages", web.Methods(map[string]http.HandlerFunc{"POST": in.post}))
	d.Mux.HandleFunc("/v1/messages/{id}", web.Methods(map[string]http.HandlerFunc{"GET": in.get}))
	d.Mux.HandleFunc("/v1/messages/{id}/body", web.Methods(map[string]http.HandlerFunc{"GET": in.getBody}))
	d.Mux.HandleFunc("/", web.NotFound)
	return in
}

func (in *Intake) putPlace(e *errand, key string) {
	h := fnv.New64a()
	h.Write([]byte(e.lane.Name + "\x00" + key))
	e.take.Place = int64(h.Sum64() % uint64(in.d.Settings.Places))
	e.take.Id = strconv.FormatInt(e.take.Place, 10) + "-" + daemon.Random(12)
}

// hold gives the message to its place's owner. What is not known to be held
// after a while is settled: held, or never.
func (in *Intake) hold(e *errand) error {
	ctx, cancel := context.WithTimeout(e.ctx, in.d.Bounds.Of(beat.Settle)*2)
	defer cancel()
	reply, err := in.reach.Group(ctx, store.PlaceGroup+e.take.Place, &e.take, isOwner)
	if err == nil {
		e.taken = reply.(*wire.Taken)
		return nil
	}
	if !mishap.Is(err, mishap.Undecided) {
		return mishap.New(mishap.NotOwner, "the message's place cannot be reached")
	}
	// The caller may have gone; the message's fate is settled all the same.
	ctx, cancel = context.WithTimeout(context.WithoutCancel(e.ctx), in.d.Bounds.Of(beat.Settle)*2)
	defer cancel()
	ask := &wire.Settle{Place: e.take.Place, Id: e.take.Id, Lane: e.lane.Name}
	reply, err = in.reach.Group(ctx, store.PlaceGroup+e.take.Place, ask, isOwner)
	if err != nil {
		e.isSent = true
		return mishap.New(mishap.Undecided, "whether the message is held is not known yet; ask for it by id")
	}
	e.taken = reply.(*wire.Taken)
	if e.taken.Kind == string(mishap.Rejected) {
		return mishap.New(mishap.NotOwner, "the message's place changed hands; the message will never run")
	}
	return nil
}

// isOwner tells owners' answers from those of stores that name another. An
// undecided answer is asked again: a take is known by its id.
func isOwner(reply any) (bool, string) {
	switch m := reply.(type) {
	case *wire.Taken:
		isIt := m.Kind != string(mishap.NotOwner) && m.Kind != string(mishap.Undecided)
		return isIt, m.Owner
	case *wire.Sight:
		return m.Kind != string(mishap.NotOwner), m.Owner
	}
	return false, ""
}

func (in *Intake) post(w http.ResponseWriter, r *http.Request) {
	if n := in.inHand.Add(1); n > int64(in.d.Settings.Most) {
		in.inHand.Add(-1)
		in.reject(w, mishap.New(mishap.Full, "the adapter has %d messages in hand", n-1), nil)
		return
	}
	defer in.inHand.Add(-1)
	e := &errand{ctx: r.Context()}
	if err := in.read(r, e); err != nil {
		in.reject(w, err, e)
		return
	}
	if err := path.Run(in.programs.Intake(e.rules, e.lane.Name), in.doers, e); err != nil {
		in.reject(w, err, e)
		return
	}
	if e.taken.Kind != "" {
		in.reject(w, mishap.New(mishap.Kind(e.taken.Kind), "%s", e.taken.Text), e)
		return
	}
	in.answerTaken(w, r, e.taken.Id, e.taken.State)
}

func (in *Intake) read(r *http.Request, e *errand) error {
	isFresh := in.d.IsFresh() // asked before the scene, so that a lane missing from it is missing
	e.rules = in.scenes.Now().Rules
	lane, isKnown := e.rules.Lanes[r.PathValue("lane")]
	if !isKnown {
		if !isFresh {
			return mishap.New(mishap.Stale, "this adapter has lost touch with the control plane")
		}
		return mishap.New(mishap.Unknown, "no lane %s", r.PathValue("lane"))
	}
	e.lane = lane
	body, err := web.Body(r, lane.Size)
	if err != nil {
		return err
	}
	key, idem := r.Header.Get("Ordering-Key"), r.Header.Get("Idempotency-Key")
	if len(key) > mostKey || len(idem) > mostKey {
		return mishap.New(mishap.Invalid, "keys may have %d bytes at most", mostKey)
	}
	ctype := r.Header.Get("Content-Type")
	if len(ctype) > mostKey {
		return mishap.New(mishap.Invalid, "the Content-Type is too long")
	}
	if strings.HasPrefix(ctype, "application/json") && !isJson(body) {
		return mishap.New(mishap.Invalid, "the body says that it is JSON and is not")
	}
	for name := range r.URL.Query() {
		if name != "wait" {
			return mishap.New(mishap.Invalid, "unknown parameter %s", name)
		}
	}
	if _, err := waitOf(r); err != nil {
		return err
	}
	e.take = wire.Take{Lane: lane.Name, Key: key, Idem: idem, Ctype: ctype, Body: body, Sum: store.SumOf(body),
		Cutoff: int64(lane.Patience / time.Millisecond)}
	return nil
}

// reject answers a message that is not held, or not known to be.
func (in *Intake) reject(w http.ResponseWriter, err error, e *errand) {
	kind := mishap.KindOf(err)
	p := web.Problem{Error: kind, Text: err.Error(), Taken: false}
	retry := time.Duration(0)
	switch web.CodeOf(kind) {
	case 429, 503:
		retry = time.Second
	case 507:
		retry = 30 * time.Second
	case 504:
		p.Taken, retry = "undecided", 2*time.Second
	}
	if e != nil && (e.isSent || e.taken != nil) {
		p.Id = e.take.Id
	}
	web.Reject(w, web.CodeOf(kind), p, retry)
}
