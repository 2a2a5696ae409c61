package quota

import (
	"cmp"
	"slices"

	"caperwheel/internal/wire"
)

// bucket is the bucket of one tenant, and who holds tokens of it.
//
// Invariant: Free and what all holders hold are at most Burst together, but for what was held when the limit was
// lowered: Free is 0 until that fits. Holders are sorted by name.
type bucket struct {
	Tenant  string   `avro:"tenant"`
	Rate    int64    `avro:"rate"`
	Burst   int64    `avro:"burst"`
	Free    int64    `avro:"free"` // millionths of a token
	At      int64    `avro:"at"`   // place time until which it has been refilled
	Holders []holder `avro:"holders"`
}

// holder is one life of an adapter.
//
// Invariant: Spent and Returned are at most Granted together.
type holder struct {
	Name     string `avro:"name"`
	Epoch    int64  `avro:"life"`
	Granted  int64  `avro:"granted"`
	Spent    int64  `avro:"spent"`
	Returned int64  `avro:"returned"`
	Need     int64  `avro:"need"`
	Target   int64  `avro:"target"`
	AskedAt  int64  `avro:"asked_at"` // place time of the newest ask
	Until    int64  `avro:"until"`    // place time at which it is dropped
}

func (h *holder) held() int64  { return h.Granted - h.Spent - h.Returned }
func (h *holder) unmet() int64 { return max(0, h.Need-h.Granted) }

// heldAheadQuarters is how much of the burst, in quarters, is held ahead by adapters. The rest is for messages that wait.
const heldAheadQuarters = 3

// minHoldingLimit is the least that is worth holding.
const minHoldingLimit = 2

// Of the lease of a holder: how long its unmet need is reserved for it, and how long it is kept besides.
const (
	reservedDivisor = 8
	marginDivisor   = 4
	pauseDivisor    = 16
)

func newBucket(limit Limit, at int64) *bucket {
	return &bucket{Tenant: limit.Tenant, Rate: limit.Rate, Burst: limit.Burst, Free: limit.Burst, At: at}
}

// held is what all holders hold, in millionths.
func (a *bucket) held() int64 {
	sum := int64(0)
	for i := range a.Holders {
		sum += a.Holders[i].held()
	}
	return sum * tokenUnits
}

// advance refills the bucket for the time that has passed and drops holders whose time is over. What they held
// is spent: it makes room that only time fills.
func (a *bucket) advance(at int64) {
	span := max(0, min(at-a.At, refillSpanLimitMs))
	a.refill(a.Rate * span)
	a.At = max(a.At, at)
	a.Holders = slices.DeleteFunc(a.Holders, func(h holder) bool { return at >= h.Until })
}

// setLimit takes a limit in. A lower one counts from where the bucket was refilled last, a higher one from now on.
func (a *bucket) setLimit(limit Limit, at int64) {
	a.Rate, a.Burst = min(a.Rate, limit.Rate), min(a.Burst, limit.Burst)
	a.advance(at)
	a.Rate, a.Burst = limit.Rate, limit.Burst
}

// refill adds to the bucket what it has room for.
func (a *bucket) refill(amount int64) { a.Free = max(0, min(a.Free+amount, a.Burst-a.held())) }

// isUnused reports whether the account is as one that begins anew.
func (a *bucket) isUnused() bool { return len(a.Holders) == 0 && a.Free >= a.Burst }

func (a *bucket) find(name string) (int, bool) {
	return slices.BinarySearchFunc(a.Holders, name, func(h holder, name string) int { return cmp.Compare(h.Name, name) })
}

// report takes in what a holder tells. It returns nil for an ask of an earlier life of the holder's account.
func (a *bucket) report(ask Ask, at int64) *holder {
	c := ask.Count
	i, isKnown := a.find(ask.Holder)
	if !isKnown {
		a.Holders = slices.Insert(a.Holders, i, holder{Name: ask.Holder, Epoch: c.Epoch})
	}
	h := &a.Holders[i]
	if c.Epoch < h.Epoch {
		return nil
	}
	if c.Epoch > h.Epoch { // it has forgotten what it held before, which counts as spent
		*h = holder{Name: ask.Holder, Epoch: c.Epoch}
	}
	returned := max(0, min(c.Returned-h.Returned, h.held()))
	h.Returned += returned
	a.refill(returned * tokenUnits)
	h.Spent += max(0, min(c.Spent-h.Spent, h.held()))
	h.Need, h.Target, h.AskedAt = max(h.Need, c.Need), max(0, c.Target), at
	h.Until = max(h.Until, at+ask.Lease+ask.Lease/marginDivisor)
	return h
}

// grant gives a holder what it needs now, then what it may hold for later.
func (a *bucket) grant(ask Ask, h *holder, at int64) wire.QuotaGrant {
	a.grantTokens(h, a.urgentGrant(ask, h, at))
	share := min(h.Target, a.holdingLimit())
	ahead := h.held() - max(0, min(ask.Count.InFlight, h.held()))
	a.grantTokens(h, min(share-ahead, a.Free/tokenUnits-a.reserved(ask, h, at)))
	out := wire.QuotaGrant{Tenant: a.Tenant, Epoch: h.Epoch, Granted: h.Granted, Share: share}
	if h.unmet() > 0 {
		out.Wait = a.retryDelay(ask.Lease)
	}
	return out
}

// holdingLimit is the most that a holder may hold for messages to come. Of a small burst none is held: what one holder
// keeps, another lacks.
func (a *bucket) holdingLimit() int64 {
	level := maxMinFairShare(a.Burst/tokenUnits*heldAheadQuarters/4, a.targets())
	if level < minHoldingLimit {
		return 0
	}
	return level
}

func (a *bucket) grantTokens(h *holder, count int64) {
	if count > 0 {
		h.Granted += count
		a.Free -= count * tokenUnits
	}
}

// urgentGrant is how many tokens a holder gets for messages that wait: all that it needs, or a fair part of what
// there is where others have asked lately for more than they got.
func (a *bucket) urgentGrant(ask Ask, h *holder, at int64) int64 {
	free, need := a.Free/tokenUnits, h.unmet()
	if need == 0 || free == 0 {
		return 0
	}
	if need+a.reserved(ask, h, at) <= free {
		return need
	}
	needs := []int64{need}
	a.forEachUnmet(ask, h, at, func(unmet int64) { needs = append(needs, unmet) })
	return max(1, min(need, maxMinFairShare(free, needs)))
}

// reserved is what other holders lack for messages that waited lately.
func (a *bucket) reserved(ask Ask, h *holder, at int64) int64 {
	sum := int64(0)
	a.forEachUnmet(ask, h, at, func(unmet int64) { sum += unmet })
	return sum
}

func (a *bucket) forEachUnmet(ask Ask, h *holder, at int64, work func(unmet int64)) {
	for i := range a.Holders {
		other := &a.Holders[i]
		if other != h && other.unmet() > 0 && at-other.AskedAt <= ask.Lease/reservedDivisor {
			work(other.unmet())
		}
	}
}

func (a *bucket) targets() []int64 {
	out := make([]int64, 0, len(a.Holders))
	for i := range a.Holders {
		out = append(out, a.Holders[i].Target)
	}
	return out
}

// retryDelay is after how many milliseconds a holder should ask again for what it did not get.
func (a *bucket) retryDelay(lease int64) int64 {
	pause := max(1, lease/pauseDivisor)
	missing := tokenUnits - a.Free
	if missing <= 0 || a.Burst-a.held() < tokenUnits { // reserved, or all held by others
		return pause
	}
	return min(missing/max(1, a.Rate)+1, max(1, lease))
}

// maxMinFairShare is the most that each of those who want something may have, so that all of them have the same or
// what they want, and together no more than there is (water-filling). It rounds down.
func maxMinFairShare(available int64, wants []int64) int64 {
	slices.Sort(wants)
	left := int64(len(wants))
	for _, want := range wants {
		if want*left >= available {
			return available / left
		}
		available -= want
		left--
	}
	return burstLimit
}
