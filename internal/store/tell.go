package store

import (
	"maps"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// telling is what an owner has under way to tell of ends.
//
// Invariants: at most mostTellingAll are under way, and to one receiver no more than its share; told has
// those whose word was accepted and is not committed yet. A new owner tells them again: at least once
// is what was promised.
type telling struct {
	underWay map[string]wordUnderWay // by id
	told     []string
	toldAt   time.Duration
	rests    map[string]rest    // by id
	silences map[string]silence // by address
	last     string             // address of the newest word
	lookAt   time.Duration
}

// wordUnderWay is a word that its receiver has not answered yet, or whose acceptance is not committed yet.
type wordUnderWay struct {
	address    string
	until      time.Duration // so long an answer is waited for
	isAccepted bool
}

// rest is a pause after a word that was not accepted; it doubles.
type rest struct {
	until, length time.Duration
}

func (r rest) longer(now time.Duration, bounds timing.Bounds) rest {
	least := bounds.Of(timing.Redial)
	length := min(max(least, 2*r.length), 8*least)
	return rest{now + length, length}
}

const (
	mostTelling    = 64  // words under way to one receiver
	mostTellingAll = 128 // to all, of which half at most to receivers that were silent
	tellBatch      = 100
)

func newTelling() telling {
	return telling{underWay: map[string]wordUnderWay{}, rests: map[string]rest{}, silences: map[string]silence{}}
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
	p.tellInTurn(t.queues(p.machine.Owed(), now), now)
}

// tellInTurn gives each receiver one word after the other, as long as there is room.
func (p *PlaceHost) tellInTurn(queues []*queueOf, now time.Duration) {
	t := &p.telling
	doubtful := t.doubtful()
	for isMore := true; isMore; {
		isMore = false
		for _, q := range queues {
			if len(t.underWay)-len(t.told) >= mostTellingAll {
				return
			}
			if len(q.words) == 0 || q.room <= 0 || q.isDoubtful && doubtful >= mostTellingAll/2 {
				continue
			}
			if q.isDoubtful {
				doubtful++
			}
			e := q.words[0]
			q.words, q.room, isMore, t.last = q.words[1:], q.room-1, true, q.address
			p.tellOf(e, q.address, now)
		}
	}
}

func (p *PlaceHost) tellOf(e *place.Message, address string, now time.Duration) {
	id := e.Id
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
	p.telling.underWay[id] = wordUnderWay{address: address, until: now + 2*p.environment.Bounds().Config}
	done := func(reply any, err error) {
		told, isTold := reply.(*wire.Told)
		_ = p.host.Do(func() {
			if err == nil && isTold {
				p.answered(id, errs.Kind(told.Kind))
			} else {
				p.untold(id)
			}
		})
	}
	if err := p.environment.Post(who, ask, done); err != nil {
		p.untold(id)
	}
}

// answered takes in what came of a word; an empty kind is an acceptance.
func (p *PlaceHost) answered(id string, kind errs.Kind) {
	t, now := &p.telling, p.environment.Now()
	word, isOurs := t.underWay[id]
	if !isOurs { // of an ownership before
		return
	}
	if kind != errs.Full { // the receiver had it
		t.noteSilence(word.address, isSilent(kind), now, p.environment.Bounds())
	}
	if kind != "" {
		p.untold(id)
		return
	}
	word.until, word.isAccepted = now+2*p.environment.Bounds().Config, true // until it is committed
	t.underWay[id] = word
	t.told = append(t.told, id)
	delete(t.rests, id)
}

// untold has a word that was not accepted told again after a rest.
func (p *PlaceHost) untold(id string) {
	t := &p.telling
	if _, isOurs := t.underWay[id]; !isOurs {
		return
	}
	delete(t.underWay, id)
	t.rests[id] = t.rests[id].longer(p.environment.Now(), p.environment.Bounds())
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
