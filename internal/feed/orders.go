package feed

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Numbers of orders that a part remembers, so that a retry does not take effect twice. Operators may send an order
// again at any time, so theirs are dropped only by number; the busiest day of a site has hundreds. An edit of a
// single call is retried within seconds, in which a part receives far fewer than maxCalls.
const (
	maxOrders = 4096
	maxCalls  = 256
)

// takenOrder is an order (an edit with an operation id) that has taken effect, with the revision that it made and the
// part time. Rank increases from order to order: it is the version that an operators' order is based on, and the
// revision that the edit of a single call made.
type takenOrder struct {
	Id       string `avro:"id"`
	Revision int64  `avro:"stamp"`
	Rank     int64  `avro:"rank"`
	At       int64  `avro:"at"`
}

// orderHistory has the newest orders that have taken effect.
//
// Invariants: queue and byId have the same orders, queue in the order in which they took effect; every order that has
// been forgotten has a rank of at most forgottenRank.
type orderHistory struct {
	capacity      int
	byId          map[string]takenOrder
	queue         []takenOrder
	forgottenRank int64
}

func newOrderHistory(capacity int) *orderHistory {
	return &orderHistory{capacity: capacity, byId: map[string]takenOrder{}, forgottenRank: -1}
}

// put adds an order, and forgets the oldest one if there are more than capacity.
func (m *orderHistory) put(one takenOrder) {
	if _, isKnown := m.byId[one.Id]; isKnown {
		return
	}
	m.byId[one.Id] = one
	m.queue = append(m.queue, one)
	if len(m.queue) > m.capacity {
		m.forgottenRank = max(m.forgottenRank, m.queue[0].Rank)
		delete(m.byId, m.queue[0].Id)
		m.queue = slices.Delete(m.queue, 0, 1)
	}
}

// load adds the orders of a snapshot.
func (m *orderHistory) load(orders []takenOrder, floor int64) {
	m.forgottenRank = floor
	for _, one := range orders {
		m.put(one)
	}
}

// recordOrder adds the order of an edit that has made the part's newest revision. Older builds kept the operators'
// orders in the configuration itself: those that the edit lists as earlier ones are added too, and those that such a
// build has forgotten have ranks of at most forgottenRank.
func (p *Part) recordOrder(e wire.Edit) {
	switch {
	case e.OperationId == "":
	case e.BaseVersion == wire.SingleCallBase:
		p.calls.put(takenOrder{e.OperationId, p.revision, p.revision, p.clock})
	default:
		if len(p.orders.queue) == 0 {
			p.orders.forgottenRank = e.BaseVersion - 1
		}
		for _, order := range e.EarlierOperations {
			p.orders.put(takenOrder{order, p.revision, e.BaseVersion - 1, p.clock})
		}
		p.orders.put(takenOrder{e.OperationId, p.revision, e.BaseVersion, p.clock})
	}
}

// outcomeOf returns the outcome of an operators' order: the revision that it made, the kind Unknown if it has not taken
// effect, or Stale if it may have taken effect and been forgotten since.
func (p *Part) outcomeOf(order string, base int64) (revision int64, kind errs.Kind) {
	if one, isTaken := p.findOrder(order); isTaken {
		return one.Revision, ""
	}
	if base <= p.orders.forgottenRank {
		return 0, errs.Stale
	}
	return 0, errs.Unknown
}

// findOrder returns the order with an operation id, if it is remembered.
func (p *Part) findOrder(order string) (takenOrder, bool) {
	if one, isTaken := p.orders.byId[order]; isTaken {
		return one, order != ""
	}
	one, isTaken := p.calls.byId[order]
	return one, isTaken && order != ""
}

// mayBeForgotten reports whether an edit that conflicts now, and is not remembered, may have taken effect before. If it
// did, its rank was at least the revision or version that it is based on, so it can have been forgotten only if
// forgottenRank is that high too.
func (p *Part) mayBeForgotten(e wire.Edit) bool {
	if e.OperationId == "" {
		return false
	}
	if e.BaseVersion == wire.SingleCallBase {
		return e.IfRevision < p.calls.forgottenRank
	}
	_, kind := p.outcomeOf(e.OperationId, e.BaseVersion)
	return kind == errs.Stale
}

// TimeMark returns an edit that only advances the part time. It changes nothing, as it is based on a revision that no
// key ever has.
func TimeMark(at int64) wire.Edit {
	return wire.Edit{Value: []byte{}, IfRevision: math.MaxInt64, At: at}
}

// HasRecentOrder reports whether the edit of a single call has taken effect within a span before a part time. The owner
// commits time marks while there is one, as later edits are judged by its age.
func (p *Part) HasRecentOrder(now int64, span time.Duration) bool {
	n := len(p.calls.queue)
	return n > 0 && now-p.calls.queue[n-1].At < span.Milliseconds()
}

// ageOf returns how long before a part time a change was made, in milliseconds. For a change whose order is not
// remembered it returns the maximum.
func (p *Part) ageOf(c wire.Change, now int64) int64 {
	for _, m := range []*orderHistory{p.calls, p.orders} {
		i, isKnown := slices.BinarySearchFunc(m.queue, c.Revision, func(one takenOrder, revision int64) int { return cmp.Compare(one.Revision, revision) })
		if isKnown {
			return max(0, now-m.queue[i].At)
		}
	}
	return math.MaxInt64
}

// Read returns the value of a key as of a part time. The key is one of the part, or History, or an OrderKey.
func (p *Part) Read(key string, now int64) wire.Pulled {
	if key == History {
		raw, err := json.Marshal(p.history)
		if err != nil || len(p.history) == 0 {
			raw = []byte("[]")
		}
		return wire.Pulled{Change: wire.Change{Key: key, Value: raw}}
	}
	if order, base, isOrder := parseOrderKey(key); isOrder {
		revision, kind := p.outcomeOf(order, base)
		return wire.Pulled{Kind: string(kind), Change: wire.Change{Key: key, Value: []byte{}, Revision: revision}}
	}
	c, isKnown := p.Get(key)
	if !isKnown {
		return wire.Pulled{Kind: string(errs.Unknown), Change: wire.Change{Value: []byte{}}}
	}
	return wire.Pulled{Change: c, Age: p.ageOf(c, now)}
}

// orderKeyPrefix is the prefix of the keys under which the outcomes of orders can be read.
const orderKeyPrefix = "#order/"

// OrderKey returns the key under which the outcome of an order can be read; base is the version that it is based on.
func OrderKey(order string, base int64) string {
	return orderKeyPrefix + strconv.FormatInt(base, 10) + "/" + order
}

// parseOrderKey parses the result of OrderKey.
func parseOrderKey(key string) (order string, base int64, isOrder bool) {
	rest, isOrder := strings.CutPrefix(key, orderKeyPrefix)
	number, order, hasBase := strings.Cut(rest, "/")
	base, err := strconv.ParseInt(number, 10, 64)
	return order, base, isOrder && hasBase && err == nil
}
