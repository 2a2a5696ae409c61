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
	mostOrders = 4096
	mostCalls  = 256
)

// taken is an order that was taken: the revision that it made, and when. Rank
// grows with each: what it builds on for an operators' order, its revision for the
// edit of a single call.
type taken struct {
	Id       string `avro:"id"`
	Revision int64  `avro:"stamp"`
	Rank     int64  `avro:"rank"`
	At       int64  `avro:"at"`
}

// memory has the newest orders that were taken.
//
// Invariants: queue is in the order in which they were taken, and byId has the
// same ones; every order ever taken that is not there has a rank of at most
// floor.
type memory struct {
	most  int
	byId  map[string]taken
	queue []taken
	floor int64
}

func newMemory(most int) *memory {
	return &memory{most: most, byId: map[string]taken{}, floor: -1}
}

// put remembers an order, and forgets the oldest one if there are too many.
func (m *memory) put(one taken) {
	if _, isKnown := m.byId[one.Id]; isKnown {
		return
	}
	m.byId[one.Id] = one
	m.queue = append(m.queue, one)
	if len(m.queue) > m.most {
		m.floor = max(m.floor, m.queue[0].Rank)
		delete(m.byId, m.queue[0].Id)
		m.queue = slices.Delete(m.queue, 0, 1)
	}
}

// fill takes a whole memory in.
func (m *memory) fill(orders []taken, floor int64) {
	m.floor = floor
	for _, one := range orders {
		m.put(one)
	}
}

// remember notes the order of an edit that holds as of the part's newest revision.
// What an older build kept in the configuration itself is taken over, and what it
// forgot before is below the floor.
func (p *Part) remember(e wire.Edit) {
	switch {
	case e.Order == "":
	case e.Base == wire.OneCall:
		p.calls.put(taken{e.Order, p.revision, p.revision, p.clock})
	default:
		if len(p.orders.queue) == 0 {
			p.orders.floor = e.Base - 1
		}
		for _, order := range e.Earlier {
			p.orders.put(taken{order, p.revision, e.Base - 1, p.clock})
		}
		p.orders.put(taken{e.Order, p.revision, e.Base, p.clock})
	}
}

// fate reports what became of an order: the revision that it made, or Unknown if it
// was never taken, or Stale if it may have been so long ago that it is forgotten.
func (p *Part) fate(order string, base int64) (revision int64, kind errs.Kind) {
	if one, isTaken := p.known(order); isTaken {
		return one.Revision, ""
	}
	if base <= p.orders.floor {
		return 0, errs.Stale
	}
	return 0, errs.Unknown
}

func (p *Part) known(order string) (taken, bool) {
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
	if e.Order == "" {
		return false
	}
	if e.Base == wire.OneCall {
		return e.IfRevision < p.calls.floor
	}
	_, kind := p.fate(e.Order, e.Base)
	return kind == errs.Stale
}

// TimeMark returns an edit that changes nothing and tells the part time: it builds on a
// revision that no key ever has.
func TimeMark(at int64) wire.Edit {
	return wire.Edit{Value: []byte{}, IfRevision: math.MaxInt64, At: at}
}

// IsTiming reports whether an order of a single call was taken within a span before a
// moment of part time: its age decides what the next one means.
func (p *Part) IsTiming(now int64, span time.Duration) bool {
	n := len(p.calls.queue)
	return n > 0 && now-p.calls.queue[n-1].At < span.Milliseconds()
}

// age reports how long before a moment of part time a change was made, in
// milliseconds; one that nothing is remembered of is as old as can be.
func (p *Part) age(c wire.Change, now int64) int64 {
	for _, m := range []*memory{p.calls, p.orders} {
		i, isKnown := slices.BinarySearchFunc(m.queue, c.Revision, func(one taken, revision int64) int { return cmp.Compare(one.Revision, revision) })
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
		raw, err := json.Marshal(p.past)
		if err != nil || len(p.past) == 0 {
			raw = []byte("[]")
		}
		return wire.Pulled{Change: wire.Change{Key: key, Value: raw}}
	}
	if order, base, isOrder := orderOf(key); isOrder {
		revision, kind := p.fate(order, base)
		return wire.Pulled{Kind: string(kind), Change: wire.Change{Key: key, Value: []byte{}, Revision: revision}}
	}
	c, isKnown := p.Get(key)
	if !isKnown {
		return wire.Pulled{Kind: string(errs.Unknown), Change: wire.Change{Value: []byte{}}}
	}
	return wire.Pulled{Change: c, Age: p.age(c, now)}
}

// orderKey begins the names under which it can be pulled what became of an order.
const orderKey = "#order/"

// OrderKey gives the name under which an order can be pulled.
func OrderKey(order string, base int64) string {
	return orderKey + strconv.FormatInt(base, 10) + "/" + order
}

// orderOf reads such a name.
func orderOf(key string) (order string, base int64, isOrder bool) {
	rest, isOrder := strings.CutPrefix(key, orderKey)
	number, order, isWhole := strings.Cut(rest, "/")
	base, err := strconv.ParseInt(number, 10, 64)
	return order, base, isOrder && isWhole && err == nil
}
