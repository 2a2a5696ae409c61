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

// notifier holds the notifications that a place's owner sends to callers when their messages have ended.
//
// Invariants: at most maxNotifications are in flight, and to one receiver no more than its share; accepted lists the
// messages whose notification was accepted and is not committed as accepted yet. A new owner sends those again, since
// notifications are delivered at least once.
type notifier struct {
	inFlight            map[string]notification   // by message id
	accepted            []string                  // ids of the messages
	acceptedCommittedAt time.Duration             // when acceptances were last proposed
	backoffs            map[string]backoff        // by message id
	receivers           map[string]receiverHealth // by address
	lastAddress         string                    // address that the last notification was sent to
	nextScanAt          time.Duration
}

// notification is one that its receiver has not answered yet, or whose acceptance is not committed yet.
type notification struct {
	address    string
	until      time.Duration // when it is given up
	isAccepted bool
}

// backoff is the pause after a notification that was not accepted; it doubles up to a limit.
type backoff struct {
	until, length time.Duration
}

// next returns the backoff after another failure.
func (r backoff) next(now time.Duration, bounds timing.Bounds) backoff {
	least := bounds.Of(timing.RedialDelay)
	length := min(max(least, 2*r.length), 8*least)
	return backoff{now + length, length}
}

const (
	maxReceiverNotifications = 64  // notifications in flight to one receiver
	maxNotifications         = 128 // to all receivers; at most half of them to receivers that did not answer
	acceptedBatch            = 100 // acceptances that are committed together
)

func newNotifier() notifier {
	return notifier{inFlight: map[string]notification{}, backoffs: map[string]backoff{}, receivers: map[string]receiverHealth{}}
}

// notify sends the notifications that are due, and commits in batches which were accepted.
func (p *PlaceHost) notify(now time.Duration) {
	t := &p.notifier
	if len(t.accepted) >= acceptedBatch || len(t.accepted) > 0 && now-t.acceptedCommittedAt > p.environment.Bounds().Of(timing.AnswerTimeout) {
		ids := t.accepted
		t.accepted, t.acceptedCommittedAt = nil, now
		p.propose(place.Command{Kind: place.CmdNotified, Ids: ids}, func(_ place.Result, _ error) {
			for _, id := range ids { // if not committed, they are sent again
				delete(p.notifier.inFlight, id)
			}
		})
	}
	if p.machine.CountPendingNotifications() == 0 || now < t.nextScanAt {
		return
	}
	t.nextScanAt = now + p.environment.Bounds().Of(timing.SlotRequestHold)
	// Some messages were forgotten before their notification was accepted.
	if len(t.backoffs) > p.machine.CountPendingNotifications() {
		maps.DeleteFunc(t.backoffs, func(id string, _ backoff) bool { return p.machine.Find(id) == nil })
	}
	p.notifyRoundRobin(t.queues(p.machine.PendingNotifications(), now), now)
}

// notifyRoundRobin sends one notification to each receiver in turn, as long as there is capacity.
func (p *PlaceHost) notifyRoundRobin(queues []*receiverQueue, now time.Duration) {
	t := &p.notifier
	unresponsive := t.countUnresponsive()
	for isMore := true; isMore; {
		isMore = false
		for _, q := range queues {
			if len(t.inFlight)-len(t.accepted) >= maxNotifications {
				return
			}
			if len(q.messages) == 0 || q.capacity <= 0 || q.isUnresponsive && unresponsive >= maxNotifications/2 {
				continue
			}
			if q.isUnresponsive {
				unresponsive++
			}
			e := q.messages[0]
			q.messages, q.capacity, isMore, t.lastAddress = q.messages[1:], q.capacity-1, true, q.address
			p.sendNotification(e, q.address, now)
		}
	}
}

// sendNotification sends the notification of a message through the adapter that notifies its address.
func (p *PlaceHost) sendNotification(e *place.Message, address string, now time.Duration) {
	id := e.Id
	who, isHere := p.environment.Notifier(address)
	if !isHere {
		return
	}
	request := &wire.Tell{Id: id, Url: e.Notify, State: string(e.State), Head: e.Head, Answer: e.Proof.Answer}
	fill := func(raw []byte) []byte {
		if raw == nil {
			return []byte{}
		}
		return raw
	}
	request.Head, request.Answer = fill(request.Head), fill(request.Answer)
	p.notifier.inFlight[id] = notification{address: address, until: now + 2*p.environment.Bounds().ConfigApply}
	done := func(reply any, err error) {
		told, isTold := reply.(*wire.Told)
		_ = p.host.Do(func() {
			if err == nil && isTold {
				p.onNotificationResult(id, errs.Kind(told.Kind))
			} else {
				p.retryNotification(id)
			}
		})
	}
	if err := p.environment.Post(who, request, done); err != nil {
		p.retryNotification(id)
	}
}

// onNotificationResult records the result of a notification; an empty kind means that it was accepted.
func (p *PlaceHost) onNotificationResult(id string, kind errs.Kind) {
	t, now := &p.notifier, p.environment.Now()
	sent, isOurs := t.inFlight[id]
	if !isOurs { // it was sent in an earlier ownership
		return
	}
	if kind != errs.Full { // the receiver was asked
		t.recordResponse(sent.address, isUnanswered(kind), now, p.environment.Bounds())
	}
	if kind != "" {
		p.retryNotification(id)
		return
	}
	sent.until, sent.isAccepted = now+2*p.environment.Bounds().ConfigApply, true // until it is committed
	t.inFlight[id] = sent
	t.accepted = append(t.accepted, id)
	delete(t.backoffs, id)
}

// retryNotification has a notification that was not accepted sent again after a backoff.
func (p *PlaceHost) retryNotification(id string) {
	t := &p.notifier
	if _, isOurs := t.inFlight[id]; !isOurs {
		return
	}
	delete(t.inFlight, id)
	t.backoffs[id] = t.backoffs[id].next(p.environment.Now(), p.environment.Bounds())
}

// NotifierFor returns the adapter that sends notifications to an address. It is the same for all stores, so that the
// adapter needs few connections to the receiver.
func NotifierFor(members *session.Membership, compiled *config.Compiled, address string) (wire.Who, bool) {
	names := []string{}
	for _, who := range members.OfKind("adapter") {
		if compiled.MayStartWork(who.Zone) {
			names = append(names, who.Name)
		}
	}
	return members.Find(duty.HighestRanked("tell/"+address, names))
}
