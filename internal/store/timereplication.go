package store

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// maxTimeHolders is how many adapters keep a place's time; a new owner asks twice as many, since
// which adapters are members may have changed.
const maxTimeHolders = 8

// timeReplication is whom an owner has told its place's time. Once is enough: the time of one
// ownership goes on with any steady clock.
type timeReplication struct {
	told   map[string]bool          // by life of an adapter
	sentAt map[string]time.Duration // when each was sent the word last, unless it has answered too late
	lookAt time.Duration
}

func newTimeReplication() timeReplication {
	return timeReplication{told: map[string]bool{}, sentAt: map[string]time.Duration{}}
}

// isUnderWay reports whether an adapter was sent the word a moment ago.
func (t *timeReplication) isUnderWay(boot string, now, span time.Duration) bool {
	at, isSent := t.sentAt[boot]
	return isSent && now-at < span
}

// timeHolders returns the adapters that keep the place's time, or should.
func (p *PlaceHost) timeHolders(most int) []wire.Who {
	all := p.environment.Adapters()
	if len(all) <= most {
		return all
	}
	key := "time/" + strconv.FormatInt(p.number, 10)
	ranked := slices.SortedFunc(slices.Values(all), func(a, b wire.Who) int {
		return cmp.Compare(duty.Rank(key, b.Name), duty.Rank(key, a.Name))
	})
	return ranked[:most]
}

func (p *PlaceHost) groupId() int64 { return wire.FirstPlaceGroup + p.number }

// replicateTime has adapters keep the place's time.
func (p *PlaceHost) replicateTime(now time.Duration) {
	if now < p.time.lookAt {
		return
	}
	span := p.environment.Bounds().Of(timing.TimeCommitInterval)
	p.time.lookAt = now + span
	told := p.time.told
	for _, who := range p.timeHolders(maxTimeHolders) {
		if told[who.Boot] || p.time.isUnderWay(who.Boot, now, span) {
			continue
		}
		p.time.sentAt[who.Boot] = now
		word := &wire.TellTime{Group: p.groupId(), Term: p.host.Term(), Reading: p.now()}
		err := p.environment.Post(who, word, func(reply any, err error) {
			if ack, isAck := reply.(*wire.TimeTold); err == nil && isAck && ack.Kind == "" {
				_ = p.host.Do(func() { p.onTimeStored(told, who, now) })
			}
		})
		if errs.Is(err, errs.Rejected) { // an older build
			told[who.Boot] = true
		}
	}
}

// onTimeStored notes that an adapter keeps the time that it was told at a moment. The first that does lets the ownership
// begin. One that answers late may have heard the word late, and be behind by that: it is told again.
func (p *PlaceHost) onTimeStored(told map[string]bool, who wire.Who, at time.Duration) {
	if p.environment.Now()-at > p.environment.Bounds().Of(timing.TimeQueryTimeout) {
		if sentAt, isSent := p.time.sentAt[who.Boot]; isSent && sentAt == at {
			delete(p.time.sentAt, who.Boot)
			p.time.lookAt = 0
		}
		return
	}
	told[who.Boot] = true
	if r := p.host.recovery; r != nil && r.isReplicating && p.time.told[who.Boot] {
		p.endTimeRecovery()
	}
}

// replicateRecoveredTime has adapters keep the time, now that it is known or cannot be, before the first command is proposed.
func (p *PlaceHost) replicateRecoveredTime(now time.Duration) {
	r := p.host.recovery
	limit := timing.TimeQueryTimeout
	if r.isTimeKnown { // so much would be lost with the next loss of all stores
		limit = timing.TimeRecoveryTimeout
	}
	r.isReplicating, r.replicateUntil = true, now+p.environment.Bounds().Of(limit)
	p.time = newTimeReplication()
	p.replicateTime(now)
	if len(p.time.told) == len(p.timeHolders(maxTimeHolders)) { // nobody is to answer: there are none, or of older builds
		p.endTimeRecovery()
	}
}
