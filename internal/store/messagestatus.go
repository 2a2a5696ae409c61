package store

import (
	"net/http"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
	"caperwheel/internal/web"
	"caperwheel/internal/wire"
)

// MessageStatus is the state of a message at the owner of its place, and what the message waits for.
type MessageStatus struct {
	Store         string           `json:"store"`
	Place         int64            `json:"place"`
	Term          int64            `json:"term"`
	Id            string           `json:"id"`
	Lane          string           `json:"lane"`
	Key           string           `json:"key,omitempty"`
	State         place.State      `json:"state"`
	Attempt       int64            `json:"attempt"` // runs started
	Spent         int64            `json:"spent"`   // attempts that count against the lane's limit
	Cause         string           `json:"cause,omitempty"`
	Waits         place.WaitReason `json:"waits_for"`
	Behind        string           `json:"behind,omitempty"` // the message with the same ordering key that must end first
	SinceMs       int64            `json:"since_ms"`         // -1 if not known
	LeftMs        int64            `json:"left_ms"`          // -1 if not known
	TimeMs        int64            `json:"time_ms"`          // the place's time, by which delays and patience pass
	IsTimeUnknown bool             `json:"untimed"`          // no adapter knew the place's time at the start
	Run           *RunStatus       `json:"run,omitempty"`
	Pools         []PoolStatus     `json:"pools,omitempty"`
	Ready         map[string]int   `json:"ready,omitempty"` // ready messages of the place by lane
}

// RunStatus is what the owner knows of an open run.
type RunStatus struct {
	Adapter  string `json:"adapter"`
	Boot     string `json:"boot"`
	IsMember bool   `json:"is_member"`  // the incarnation of the adapter that has the run has a session
	AwayMs   int64  `json:"away_ms"`    // for how long the adapter has had no session
	InHandMs int64  `json:"in_hand_ms"` // how long the adapter's confirmation still holds; below 0 if none does
	Pool     string `json:"pool"`
	Worker   string `json:"worker"`
}

// PoolStatus is the state of a pool at a store's dispatcher.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Workers int    `json:"workers"` // workers that may be asked for slots at all
	Resting int    `json:"resting"` // of these, workers that must not be asked now
	NextMs  int64  `json:"next_ms"` // until the next blocked worker may be asked
	Asks    int    `json:"asks"`    // open slot requests
}

// MessageStatus returns the status of a message. It reports false if this store does not own the message's place, or
// the place does not hold the message. It must be called on the place's goroutine.
func (p *PlaceHost) MessageStatus(id string) (MessageStatus, bool) {
	wait, isKnown := p.machine.WaitStatus(id, p.now())
	e := p.machine.Find(id)
	if !p.host.IsOwner() || !isKnown || e == nil {
		return MessageStatus{}, false
	}
	out := MessageStatus{Place: p.number, Term: p.host.Term(), Id: id, Lane: e.Lane, Key: wire.CallerKey(e.Key), State: e.State, Attempt: e.Attempt, Spent: e.CountedAttempts,
		Cause: e.Cause, Waits: wait.Reason, Behind: wait.BlockedBy, SinceMs: wait.Since, LeftMs: wait.Remaining, TimeMs: p.now(), IsTimeUnknown: p.isTimeUnknown.Load(), Ready: p.Ready()}
	if e.State == place.Started {
		out.Run = p.runStatus(e)
	}
	return out, true
}

// runStatus returns the status of an open run.
func (p *PlaceHost) runStatus(e *place.Message) *RunStatus {
	now := p.environment.Now()
	out := &RunStatus{Adapter: e.Adapter, Boot: e.Boot, Pool: e.Pool, Worker: e.Worker, InHandMs: -1}
	if confirmation, isKnown := p.confirmed[e.Id]; isKnown && confirmation.attempt == e.Attempt {
		out.InHandMs = (confirmation.until - now).Milliseconds()
	}
	who, isMember := p.environment.Find(e.Adapter)
	out.IsMember = isMember && who.Boot == e.Boot
	if since, isAbsent := p.absentSince[e.Adapter]; isAbsent {
		out.AwayMs = (now - since).Milliseconds()
	}
	return out
}

// PoolStatus returns the state of a pool at this dispatcher.
func (d *Dispatcher) PoolStatus(pool string) PoolStatus {
	compiled, members := d.o.Configs.Current(), d.o.Daemon.Membership.Hash()
	d.mu.Lock()
	defer d.mu.Unlock()
	t, now := d.newCandidateTable(compiled, pool, members), d.o.Daemon.Now()
	out := PoolStatus{Pool: pool, Asks: len(d.requests[pool]), NextMs: -1}
	for _, list := range [][]candidate{t.local, t.remote} {
		for _, c := range list {
			out.Workers++
			left := (d.blockedUntil[c.workerInstance] - now).Milliseconds()
			if left <= 0 {
				continue
			}
			if out.Resting++; out.NextMs < 0 || left < out.NextMs {
				out.NextMs = left
			}
		}
	}
	return out
}

// serveMessageStatus serves the status of a message whose place this store owns.
func (s *Store) serveMessageStatus(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.RLock()
	p, isHeld := s.places[s.placeOfId(id)]
	s.mu.RUnlock()
	type result struct {
		status  MessageStatus
		isKnown bool
	}
	got := make(chan result, 1)
	unknown := errs.New(errs.Unknown, "look up message %s: this store does not own its place, or the place does not hold it", id)
	if !isHeld || p.Do(func() { status, isKnown := p.MessageStatus(id); got <- result{status, isKnown} }) != nil {
		web.WriteError(w, unknown)
		return
	}
	select {
	case a := <-got:
		if !a.isKnown {
			web.WriteError(w, unknown)
			return
		}
		a.status.Store = s.d.Who.Name
		for _, pool := range s.configs.Current().Rules.Lanes[a.status.Lane].Pools {
			a.status.Pools = append(a.status.Pools, s.dispatcher.PoolStatus(pool))
		}
		web.WriteJson(w, http.StatusOK, a.status)
	case <-time.After(s.d.Bounds.Of(timing.SettleTimeout)):
		web.WriteError(w, errs.New(errs.DeadlineExceeded, "look up message %s: its place did not answer in time", id))
	}
}
