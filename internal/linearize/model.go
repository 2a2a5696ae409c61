package linearize

import (
	"hash/maphash"
	"math"
	"time"
)

// state is what one machine that answers one call after another would hold, and
// which calls have had their turn. States that are the same are equal.
//
// Invariant: each order taken has a higher version than the one before it.
type state struct {
	version     int64
	digest      string // the order that made the version
	accepted    bitset // a bit for each order
	evacuations int    // evacuations that stand, and how many were taken back since any stood
	finished    int
	applied     bitset // a bit for each call
	clear       int    // calls with a clear answer that have had their turn
	forced      int    // the call whose turn it is, -1 for any
}

// bitset is a set of small numbers, which is never changed in place.
type bitset string

func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bitset) with(i int) bitset {
	out := make([]byte, max(len(b), i/8+1))
	copy(out, b)
	out[i/8] |= 1 << (i % 8)
	return bitset(out)
}

var hashSeed = maphash.MakeSeed()

func (s state) hash() uint64 { return maphash.String(hashSeed, string(s.applied)) }

// hasSameContent reports whether the two differ in nothing but whose turn it was.
func (s state) hasSameContent(t state) bool {
	return s.version == t.version && s.evacuations == t.evacuations && s.finished == t.finished
}

// model is the history that is judged.
type model struct {
	calls          []Operation    // by the moment of the call
	orders         map[string]int // by digest, numbered
	isRefusedLater []bool         // the very order was refused at the call's end or later: it must never hold
	clear          int            // calls with a clear answer
}

func newModel(calls []Operation) *model {
	m := &model{calls: calls, orders: map[string]int{}, isRefusedLater: make([]bool, len(calls))}
	refused := map[string]Operation{}
	for _, o := range calls {
		if o.Outcome != Indeterminate {
			m.clear++
		}
		if _, isKnown := m.orders[o.Digest]; !isKnown {
			m.orders[o.Digest] = len(m.orders)
		}
		if last, isKnown := refused[o.Digest]; o.isChange() && o.Outcome == Refused && (!isKnown || o.ReturnedAt > last.ReturnedAt) {
			refused[o.Digest] = o
		}
	}
	for i, o := range calls {
		last, isKnown := refused[o.Digest]
		m.isRefusedLater[i] = o.isChange() && isKnown && o.CalledAt <= last.ReturnedAt
	}
	return m
}

func (o Operation) isChange() bool { return o.Kind == Replace || o.Kind == Update }

// initialState is the state before any call.
func (m *model) initialState() state {
	s := state{}
	s.forced = m.nextForced(s)
	return s
}

// step lets one call have its turn; false: it cannot have it now. Two things
// make the search short and rule nothing out. A call with a clear answer that
// fits now and changes nothing has its turn at once, since it could only come
// into the way later; and one without a clear answer that changes nothing has
// its turn behind all others.
func (m *model) step(s state, i int) (bool, state) {
	if s.forced >= 0 && s.forced != i {
		return false, s
	}
	next, isFit := m.apply(s, i)
	if !isFit {
		return false, s
	}
	next.applied = next.applied.with(i)
	if m.calls[i].Outcome != Indeterminate {
		next.clear++
	}
	next.forced = m.nextForced(next)
	return true, next
}

// apply reports what a call would make of a state.
func (m *model) apply(s state, i int) (next state, isFit bool) {
	o := m.calls[i]
	switch {
	case o.isChange():
		next, isFit = m.applyChange(s, i)
	case o.Kind == Read:
		next, isFit = s, s.version == o.ReadVersion && (o.ReadDigest == "" || s.digest == o.ReadDigest)
	default:
		next, isFit = applyZone(s, o)
	}
	if o.Outcome == Indeterminate {
		isFit = !next.hasSameContent(s) || s.clear == m.clear
	}
	return next, isFit
}

// due gives the first call that may have its turn now, fits, has a clear answer
// and changes nothing; -1 if there is none.
func (m *model) nextForced(s state) int {
	ends := time.Duration(math.MaxInt64)
	for i, o := range m.calls { // in the order in which they were made
		if s.applied.has(i) {
			continue
		}
		if o.CalledAt > ends {
			break
		}
		if o.Outcome == Indeterminate {
			continue
		}
		if next, isFit := m.apply(s, i); isFit && next.hasSameContent(s) {
			return i
		}
		ends = min(ends, o.ReturnedAt)
	}
	return -1
}

// applyChange is a configuration's turn.
func (m *model) applyChange(s state, i int) (state, bool) {
	o := m.calls[i]
	order := m.orders[o.Digest]
	isKnown := s.accepted.has(order)
	isFit := !o.IsInvalid && o.Base == s.version && o.Version > s.version
	switch {
	case o.Outcome == Refused:
		return s, !isKnown && !isFit
	case isKnown:
		return s, true
	case isFit && !m.isRefusedLater[i]:
		s.version, s.digest, s.accepted = o.Version, o.Digest, s.accepted.with(order)
		return s, true
	}
	return s, false
}

// applyZone is the turn of a call that is about a zone. Orders about a zone come
// without a number, so where several evacuations stand and some are taken back,
// a read may tell either; while none is taken back, and once all are, it may not.
func applyZone(s state, o Operation) (state, bool) {
	switch {
	case o.Kind == ReadZone:
		return s, s.finished > 0 || o.IsEvacuated == (s.evacuations > 0)
	case o.Outcome == Refused:
		return s, false // there is always a way to take it
	case o.Kind == Evacuate:
		s.evacuations++
	case s.evacuations > 0:
		if s.finished++; s.finished == s.evacuations {
			s.evacuations, s.finished = 0, 0
		}
	}
	return s, true
}
