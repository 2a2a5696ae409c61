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

// maxTimeHolders is the number of adapters that store a place's time. A new owner queries twice as many, since the
// member adapters may have changed.
const maxTimeHolders = 8

// timeReplication records the adapters that an owner has sent its place's time to. Sending it once is enough, because
// the time of one ownership advances with any steady clock.
type timeReplication struct {
	told   map[string]bool          // adapters that have stored the time, by incarnation
	sentAt map[string]time.Duration // when each adapter was last sent the time, unless its answer came too late
	lookAt time.Duration            // when replicateTime checks next
}

func newTimeReplication() timeReplication {
	return timeReplication{told: map[string]bool{}, sentAt: map[string]time.Duration{}}
}

// isUnderWay reports whether the time was sent to an adapter within the span.
func (t *timeReplication) isUnderWay(boot string, now, span time.Duration) bool {
	at, isSent := t.sentAt[boot]
	return isSent && now-at < span
}

// timeHolders returns the adapters that should store the place's time: those that rank highest for the place.
func (p *PlaceHost) timeHolders(limit int) []wire.Who {
	all := p.environment.Adapters()
	if len(all) <= limit {
		return all
	}
	key := "time/" + strconv.FormatInt(p.number, 10)
	ranked := slices.SortedFunc(slices.Values(all), func(a, b wire.Who) int {
		return cmp.Compare(duty.Rank(key, b.Name), duty.Rank(key, a.Name))
	})
	return ranked[:limit]
}

// groupId returns the id of the place's group.
func (p *PlaceHost) groupId() int64 { return wire.FirstPlaceGroup + p.number }

// replicateTime sends the place's time to the adapters that should store it and have not confirmed it.
func (p *PlaceHost) replicateTime(now time.Duration) {
	if now < p.time.lookAt {
		return
	}
	span := p.environment.Bounds().Of(timing.TimeCommitInterval)
	p.time.lookAt = now + span
	stored := p.time.told
	for _, who := range p.timeHolders(maxTimeHolders) {
		if stored[who.Boot] || p.time.isUnderWay(who.Boot, now, span) {
			continue
		}
		p.time.sentAt[who.Boot] = now
		reading := &wire.TellTime{Group: p.groupId(), Term: p.host.Term(), Reading: p.now()}
		err := p.environment.Post(who, reading, func(reply any, err error) {
			if ack, isAck := reply.(*wire.TimeTold); err == nil && isAck && ack.Kind == "" {
				_ = p.host.Do(func() { p.onTimeStored(stored, who, now) })
			}
		})
		if errs.Is(err, errs.Rejected) { // an older build without the message
			stored[who.Boot] = true
		}
	}
}

// onTimeStored records that an adapter has stored the time that was sent at a moment. The first such adapter lets the
// ownership begin. An adapter that answers late may have received the time late and be behind by that much, so the
// time is sent to it again.
func (p *PlaceHost) onTimeStored(stored map[string]bool, who wire.Who, at time.Duration) {
	if p.environment.Now()-at > p.environment.Bounds().Of(timing.TimeQueryTimeout) {
		if sentAt, isSent := p.time.sentAt[who.Boot]; isSent && sentAt == at {
			delete(p.time.sentAt, who.Boot)
			p.time.lookAt = 0
		}
		return
	}
	stored[who.Boot] = true
	if r := p.host.recovery; r != nil && r.isReplicating && p.time.told[who.Boot] {
		p.endTimeRecovery()
	}
}

// replicateRecoveredTime sends the time, once it is known or cannot be recovered, to adapters before the first command
// is proposed.
func (p *PlaceHost) replicateRecoveredTime(now time.Duration) {
	r := p.host.recovery
	limit := timing.TimeQueryTimeout
	if r.isTimeKnown { // if all stores failed again, the recovered time would be lost
		limit = timing.TimeRecoveryTimeout
	}
	r.isReplicating, r.replicateUntil = true, now+p.environment.Bounds().Of(limit)
	p.time = newTimeReplication()
	p.replicateTime(now)
	// No answer is pending: there are no adapters, or only older builds.
	if len(p.time.told) == len(p.timeHolders(maxTimeHolders)) {
		p.endTimeRecovery()
	}
}
