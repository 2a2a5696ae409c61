package store

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// ownerOf returns the name of the store that owns a group, empty if it is not known.
func ownerOf(h Group) string {
	if owner := h.View().Owner; owner != "" {
		return group.Name(owner)
	}
	return ""
}

// withHeld runs work on the goroutine of a place or part held here, or rejects.
func withHeld[P interface{ Do(work func()) error }](s *Store, held map[int64]P, number int64, work func(P), reject func(errs.Kind)) {
	s.mu.RLock()
	p, isHeld := held[number]
	s.mu.RUnlock()
	if !isHeld {
		reject(errs.NotOwner)
		return
	}
	if err := p.Do(func() { work(p) }); err != nil {
		reject(errs.KindOf(err))
	}
}

// onPlace serves adapters, and stores that submit call-back messages.
func (s *Store) onPlace(_ wire.Who, body any, answer func(any)) {
	with := func(number int64, work func(*PlaceHost), reject func(errs.Kind)) {
		withHeld(s, s.places, number, work, reject)
	}
	switch m := body.(type) {
	case *wire.Take:
		with(m.Place, func(p *PlaceHost) { p.Take(m, answer) },
			func(kind errs.Kind) { answer(&wire.Taken{Id: m.Id, Kind: string(kind)}) })
	case *wire.Settle:
		with(m.Place, func(p *PlaceHost) { p.Settle(m, answer) },
			func(kind errs.Kind) { answer(&wire.Taken{Id: m.Id, Kind: string(kind)}) })
	case *wire.Look:
		with(m.Place, func(p *PlaceHost) { p.Look(m, answer) }, func(kind errs.Kind) {
			answer(&wire.Sight{Kind: string(kind), Body: []byte{}, Proof: wire.Proof{Answer: []byte{}}})
		})
	case *wire.QuotaAsk:
		with(m.Place, func(p *PlaceHost) { p.RequestQuota(m, answer) },
			func(kind errs.Kind) { answer(&wire.QuotaGrants{Kind: string(kind), Grants: []wire.QuotaGrant{}}) })
	case *wire.Outcome:
		if ack := s.results.Handle(m, s.d.Now()); ack != nil {
			answer(ack)
			return
		}
		with(m.Place, func(p *PlaceHost) { p.Outcome(m, answer) },
			func(kind errs.Kind) { answer(&wire.OutcomeAck{Kind: string(kind)}) })
	}
}

// submitToPlace submits a message to the owner of its place, which may be this store.
func (s *Store) submitToPlace(t *wire.Take, report func(isTaken bool)) {
	who, isKnown := s.d.Membership.Owner(wire.FirstPlaceGroup + t.Place)
	if !isKnown {
		report(false)
		return
	}
	if t.Body == nil {
		t.Body = []byte{}
	}
	onReply := func(reply any, err error) {
		taken, isTaken := reply.(*wire.Taken)
		report(err == nil && isTaken && taken.Kind == "")
	}
	if who.Name == s.d.Who.Name {
		s.onPlace(who, t, func(reply any) { onReply(reply, nil) })
		return
	}
	if err := s.d.Node.Peer(wire.PlaceLink, who.Addr).Post(t, onReply); err != nil {
		report(false)
	}
}

// UnknownTimeCount is the name of the count of places whose time no adapter knew when this store's ownership began.
const UnknownTimeCount = "untimed"

// ClusterCount is the name of the count that identifies the store's deployment.
const ClusterCount = "cluster"

// sessionPoll returns the poll that the store sends in its session.
func (s *Store) sessionPoll() wire.Poll {
	s.noteMembers()
	poll := s.d.NewPoll()
	ready, underReplicated, unknownTime := int64(0), int64(0), int64(0)
	for _, id := range s.groupIds() {
		v := s.hostOf(id).View()
		if v.Role == group.Owner {
			poll.Owns = append(poll.Owns, wire.Owned{Group: id, Term: v.Term, Lag: v.Lag, Size: int64(len(group.Voters(v.Roster)))})
			if len(group.Voters(v.Roster)) < s.replicas() || v.Lag > 1000 {
				underReplicated++
			}
		}
	}
	for _, p := range s.listPlaces() {
		for _, n := range p.Ready() {
			ready += int64(n)
		}
		if p.isTimeUnknown.Load() {
			unknownTime++
		}
	}
	isFull := int64(0)
	if s.diskFull.Load() {
		isFull = 1
	}
	poll.Fact.Counts = map[string]int64{"ready": ready, "under": underReplicated, "full": isFull,
		"segments": int64(s.disk.Segments()), ClusterCount: s.bootstrapper.clusterNumber()}
	if s.d.IsDraining() {
		poll.Fact.Counts[session.DrainingCount] = 1
	}
	if unknownTime > 0 { // it is rarely above 0, and each count in a poll costs bytes
		poll.Fact.Counts[UnknownTimeCount] = unknownTime
	}
	return poll
}

// replicas returns how many replicas a group should have.
func (s *Store) replicas() int { return s.d.Settings.Replicas() }
