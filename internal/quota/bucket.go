package quota

import (
	"cmp"
	"slices"

	"caperwheel/internal/wire"
)

// bucket is the token bucket of one tenant, with the holders of its tokens.
//
// Invariant: Free and the tokens of all holders are at most Burst together, except for tokens that were held when the
// limit was lowered: Free is 0 until they fit. Holders are sorted by name.
type bucket struct {
	Tenant  string   `avro:"tenant"`
	Rate    int64    `avro:"rate"`
	Burst   int64    `avro:"burst"`
	Free    int64    `avro:"free"` // millionths of a token
	At      int64    `avro:"at"`   // place time up to which it has been refilled
	Holders []holder `avro:"holders"`
}

// holder is one incarnation of an adapter that holds tokens of the bucket.
//
// Invariant: Spent and Returned are at most Granted together.
type holder struct {
	Name     string `avro:"name"`     // of the incarnation
	Epoch    int64  `avro:"life"`     // of the lease
	Granted  int64  `avro:"granted"`  // tokens granted in this epoch
	Spent    int64  `avro:"spent"`    // of these, tokens spent for accepted messages
	Returned int64  `avro:"returned"` // of these, tokens returned to the bucket
	Need     int64  `avro:"need"`     // tokens that it needs granted in this epoch in all
	Target   int64  `avro:"target"`   // tokens that it would like to hold ahead
	AskedAt  int64  `avro:"asked_at"` // place time of the newest ask
	Until    int64  `avro:"until"`    // place time at which it is dropped
}

// held returns how many tokens the holder holds.
func (h *holder) held() int64  { return h.Granted - h.Spent - h.Returned }
func (h *holder) unmet() int64 { return max(0, h.Need-h.Granted) }

// heldAheadQuarters is the part of the burst, in quarters, that adapters may hold ahead of need. The rest is for
// waiting messages.
const heldAheadQuarters = 3

// minHoldingLimit is the least number of tokens that is worth holding ahead.
const minHoldingLimit = 2

// Divisors of a holder's lease: how long its unmet need is reserved for it, how much longer than its lease it is kept,
// and the least pause before it asks again.
const (
	reservedDivisor = 8
	marginDivisor   = 4
	pauseDivisor    = 16
)

// newBucket returns a full bucket.
func newBucket(limit Limit, at int64) *bucket {
	return &bucket{Tenant: limit.Tenant, Rate: limit.Rate, Burst: limit.Burst, Free: limit.Burst, At: at}
}

// held returns the tokens of all holders, in millionths.
func (a *bucket) held() int64 {
	sum := int64(0)
	for i := range a.Holders {
		sum += a.Holders[i].held()
	}
	return sum * tokenUnits
}

// advance refills the bucket for the time that has passed, and drops holders whose time is over. Their tokens count as
// spent, so the room that they leave is filled only by time.
func (a *bucket) advance(at int64) {
	span := max(0, min(at-a.At, refillSpanLimitMs))
	a.refill(a.Rate * span)
	a.At = max(a.At, at)
	a.Holders = slices.DeleteFunc(a.Holders, func(h holder) bool { return at >= h.Until })
}

// setLimit sets the limit. A lower limit applies from the last refill on, a higher one from now on.
func (a *bucket) setLimit(limit Limit, at int64) {
	a.Rate, a.Burst = min(a.Rate, limit.Rate), min(a.Burst, limit.Burst)
	a.advance(at)
	a.Rate, a.Burst = limit.Rate, limit.Burst
}

// refill adds to the bucket what it has room for.
func (a *bucket) refill(amount int64) { a.Free = max(0, min(a.Free+amount, a.Burst-a.held())) }

// isUnused reports whether the bucket is in the state of a new one.
func (a *bucket) isUnused() bool { return len(a.Holders) == 0 && a.Free >= a.Burst }

// find returns the index of a holder, and whether it is there.
func (a *bucket) find(name string) (int, bool) {
	return slices.BinarySearchFunc(a.Holders, name, func(h holder, name string) int { return cmp.Compare(h.Name, name) })
}

// report applies a holder's report. It returns nil for a request of an earlier epoch.
func (a *bucket) report(ask Ask, at int64) *holder {
	count := ask.Count
	i, isKnown := a.find(ask.Holder)
	if !isKnown {
		a.Holders = slices.Insert(a.Holders, i, holder{Name: ask.Holder, Epoch: count.Epoch})
	}
	h := &a.Holders[i]
	if count.Epoch < h.Epoch {
		return nil
	}
	if count.Epoch > h.Epoch { // the holder has forgotten its earlier tokens, which count as spent
		*h = holder{Name: ask.Holder, Epoch: count.Epoch}
	}
	returned := max(0, min(count.Returned-h.Returned, h.held()))
	h.Returned += returned
	a.refill(returned * tokenUnits)
	h.Spent += max(0, min(count.Spent-h.Spent, h.held()))
	h.Need, h.Target, h.AskedAt = max(h.Need, count.Need), max(0, count.Target), at
	h.Until = max(h.Until, at+ask.Lease+ask.Lease/marginDivisor)
	return h
}

// grant grants a holder the tokens that it needs now, then those that it may hold ahead.
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

// holdingLimit returns the most tokens that a holder may hold ahead. It is 0 for a small burst, since tokens that one
// holder keeps would be missing at another.
func (a *bucket) holdingLimit() int64 {
	level := maxMinFairShare(a.Burst/tokenUnits*heldAheadQuarters/4, a.targets())
	if level < minHoldingLimit {
		return 0
	}
	return level
}

// grantTokens moves tokens from the bucket to a holder.
func (a *bucket) grantTokens(h *holder, count int64) {
	if count > 0 {
		h.Granted += count
		a.Free -= count * tokenUnits
	}
}

// urgentGrant returns the number of tokens that a holder gets for waiting messages: all that it needs, or a fair share
// if other holders recently needed more than they got.
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

// reserved returns the tokens that other holders recently needed for waiting messages and did not get.
func (a *bucket) reserved(ask Ask, h *holder, at int64) int64 {
	sum := int64(0)
	a.forEachUnmet(ask, h, at, func(unmet int64) { sum += unmet })
	return sum
}

// forEachUnmet calls work with the unmet need of each other holder that has asked recently.
func (a *bucket) forEachUnmet(ask Ask, h *holder, at int64, work func(unmet int64)) {
	for i := range a.Holders {
		other := &a.Holders[i]
		if other != h && other.unmet() > 0 && at-other.AskedAt <= ask.Lease/reservedDivisor {
			work(other.unmet())
		}
	}
}

// targets returns how many tokens each holder would like to hold ahead.
func (a *bucket) targets() []int64 {
	out := make([]int64, 0, len(a.Holders))
	for i := range a.Holders {
		out = append(out, a.Holders[i].Target)
	}
	return out
}

// retryDelay returns after how many milliseconds a holder should ask again for what it did not get.
func (a *bucket) retryDelay(lease int64) int64 {
	pause := max(1, lease/pauseDivisor)
	missing := tokenUnits - a.Free
	if missing <= 0 || a.Burst-a.held() < tokenUnits { // the rest is reserved, or held by others
		return pause
	}
	return min(missing/max(1, a.Rate)+1, max(1, lease))
}

// maxMinFairShare returns the limit for each want so that all wants get the same or all that they want, and together
// no more than is available (water-filling). It rounds down, and returns burstLimit if everyone can get all that they
// want.
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
