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

// How many orders a part remembers. Operators may send a configuration again at
// any time, so nothing but their count ends what is remembered of them: a site's
// longest day has hundreds. An edit of a single call is sent again within
// seconds, and a part takes far fewer of them in that time.
const (
	maxOrders = 4096
	maxCalls  = 256
)

// takenOrder is an order that was taken: the revision that it made, and when. Rank
// grows with each: what it builds on for an operators' order, its revision for the
// edit of a single call.
type takenOrder struct {
	Id       string `avro:"id"`
	Revision int64  `avro:"stamp"`
	Rank     int64  `avro:"rank"`
	At       int64  `avro:"at"`
}

// orderHistory has the newest orders that were taken.
//
// Invariants: queue is in the order in which they were taken, and byId has the
// same ones; every order ever taken that is not there has a rank of at most
// floor.
type orderHistory struct {
	capacity      int
	byId          map[string]takenOrder
	queue         []takenOrder
	forgottenRank int64
}

func newOrderHistory(capacity int) *orderHistory {
	return &orderHistory{capacity: capacity, byId: map[string]takenOrder{}, forgottenRank: -1}
}

// put remembers an order, and forgets the oldest one if there are too many.
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

// load takes a whole memory in.
func (m *orderHistory) load(orders []takenOrder, floor int64) {
	m.forgottenRank = floor
	for _, one := range orders {
		m.put(one)
	}
}

// recordOrder notes the order of an edit that holds as of the part's newest revision.
// What an older build kept in the configuration itself is taken over, and what it
// forgot before is below the floor.
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

// outcomeOf reports what became of an order: the revision that it made, or Unknown if it
// was never taken, or Stale if it may have been so long ago that it is forgotten.
func (p *Part) outcomeOf(order string, base int64) (revision int64, kind errs.Kind) {
	if one, isTaken := p.findOrder(order); isTaken {
		return one.Revision, ""
	}
	if base <= p.orders.forgottenRank {
		return 0, errs.Stale
	}
	return 0, errs.Unknown
}

func (p *Part) findOrder(order string) (takenOrder, bool) {
	if one, isTaken := p.orders.byId[order]; isTaken {
		return one, order != ""
	}
	one, isTaken := p.calls.byId[order]
	return one, isTaken && order != ""
}

// mayBeForgotten tells of an edit that does not hold now and is not remembered
// whether it may have held before. It held on a higher revision, or a higher
// version, than what it builds on.
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

// TimeMark returns an edit that changes nothing and tells the part time: it builds on a
// revision that no key ever has.
func TimeMark(at int64) wire.Edit {
	return wire.Edit{Value: []byte{}, IfRevision: math.MaxInt64, At: at}
}

// HasRecentOrder reports whether an order of a single call was taken within a span before a
// moment of part time: its age decides what the next one means.
func (p *Part) HasRecentOrder(now int64, span time.Duration) bool {
	n := len(p.calls.queue)
	return n > 0 && now-p.calls.queue[n-1].At < span.Milliseconds()
}

// ageOf reports how long before a moment of part time a change was made, in
// milliseconds; one that nothing is remembered of is as old as can be.
func (p *Part) ageOf(c wire.Change, now int64) int64 {
	for _, m := range []*orderHistory{p.calls, p.orders} {
		i, isKnown := slices.BinarySearchFunc(m.queue, c.Revision, func(one takenOrder, revision int64) int { return cmp.Compare(one.Revision, revision) })
		if isKnown {
			return max(0, now-m.queue[i].At)
		}
	}
	return math.MaxInt64
}

// Read answers for a key at a moment of part time: one that stands, History, or
// what OrderKey gives.
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

// orderKeyPrefix begins the names under which it can be pulled what became of an order.
const orderKeyPrefix = "#order/"

// OrderKey gives the name under which an order can be pulled.
func OrderKey(order string, base int64) string {
	return orderKeyPrefix + strconv.FormatInt(base, 10) + "/" + order
}

// parseOrderKey reads such a name.
func parseOrderKey(key string) (order string, base int64, isOrder bool) {
	rest, isOrder := strings.CutPrefix(key, orderKeyPrefix)
	number, order, isWhole := strings.Cut(rest, "/")
	base, err := strconv.ParseInt(number, 10, 64)
	return order, base, isOrder && isWhole && err == nil
}
