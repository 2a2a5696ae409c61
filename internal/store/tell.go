package store

import (
	"maps"
	"net/url"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/place"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// telling is what an owner has under way to tell of ends.
//
// Invariants: at most mostTelling are under way; told has those whose word was
// accepted and is not committed yet. A new owner tells them again: at least once
// is what was promised.
type telling struct {
	underWay map[string]time.Duration // until when an answer is waited for
	told     []string
	toldAt   time.Duration
	rests    map[string]rest // by id
	lookAt   time.Duration
}

// rest is a pause after a word that was not accepted; it doubles.
type rest struct {
	until, length time.Duration
}

const (
	mostTelling = 64
	tellBatch   = 100
)

func newTelling() telling {
	return telling{underWay: map[string]time.Duration{}, rests: map[string]rest{}}
}

// tell tells those that asked for it of their messages' ends, and commits in
// batches who has been told.
func (p *PlaceHost) tell(now time.Duration) {
	t := &p.telling
	if len(t.told) >= tellBatch || len(t.told) > 0 && now-t.toldAt > p.environment.Bounds().Of(timing.AnswerTimeout) {
		ids := t.told
		t.told, t.toldAt = nil, now
		p.propose(place.Command{Kind: place.CmdTold, Ids: ids}, func(_ place.Verdict, _ error) {
			for _, id := range ids { // not committed: told again
				delete(p.telling.underWay, id)
			}
		})
	}
	if p.machine.CountOwed() == 0 || now < t.lookAt {
		return
	}
	t.lookAt = now + p.environment.Bounds().Of(timing.AskHold)
	if len(t.rests) > p.machine.CountOwed() { // some were forgotten before they were told
		maps.DeleteFunc(t.rests, func(id string, _ rest) bool { return p.machine.Find(id) == nil })
	}
	for _, e := range p.machine.Owed() {
		if len(t.underWay)-len(t.told) >= mostTelling {
			return
		}
		if now >= t.underWay[e.Id] && now >= t.rests[e.Id].until {
			p.tellOf(e, now)
		}
	}
}

func (p *PlaceHost) tellOf(e *place.Message, now time.Duration) {
	id, address := e.Id, ""
	if u, err := url.Parse(e.Notify); err == nil {
		address = u.Host
	}
	who, isHere := p.environment.Teller(address)
	if !isHere {
		return
	}
	ask := &wire.Tell{Id: id, Url: e.Notify, State: string(e.State), Head: e.Head, Answer: e.Proof.Answer}
	fill := func(raw []byte) []byte {
		if raw == nil {
			return []byte{}
		}
		return raw
	}
	ask.Head, ask.Answer = fill(ask.Head), fill(ask.Answer)
	p.telling.underWay[id] = now + 2*p.environment.Bounds().Config
	done := func(reply any, err error) {
		told, isTold := reply.(*wire.Told)
		_ = p.host.Do(func() { p.heard(id, err == nil && isTold && told.Kind == "") })
	}
	if err := p.environment.Post(who, ask, done); err != nil {
		p.heard(id, false)
	}
}

// heard takes in whether a word was accepted.
func (p *PlaceHost) heard(id string, isAccepted bool) {
	t := &p.telling
	if _, isOurs := t.underWay[id]; !isOurs { // of an ownership before
		return
	}
	if isAccepted {
		t.underWay[id] = p.environment.Now() + 2*p.environment.Bounds().Config // until it is committed
		t.told = append(t.told, id)
		delete(t.rests, id)
		return
	}
	delete(t.underWay, id)
	least := p.environment.Bounds().Of(timing.Redial)
	length := min(max(least, 2*t.rests[id].length), 8*least)
	t.rests[id] = rest{p.environment.Now() + length, length}
}

// Teller returns the adapter that speaks to an address: the same for all stores,
// so that its connections are few.
func Teller(members *session.Membership, compiled *config.Compiled, address string) (wire.Who, bool) {
	names := []string{}
	for _, who := range members.Kind("adapter") {
		if compiled.MayWork(who.Zone) {
			names = append(names, who.Name)
		}
	}
	return members.Find(duty.First("tell/"+address, names))
}
