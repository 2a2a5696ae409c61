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
	version int64
	digest  string // the order that made the version
	taken   bits   // a bit for each order
	starts  int    // evacuations that stand, and how many were taken back since any stood
	backs   int
	turns   bits // a bit for each call
	clear   int  // calls with a clear answer that have had their turn
	due     int  // the call whose turn it is, -1 for any
}

// bits is a set of small numbers, which is never changed in place.
type bits string

func (b bits) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

func (b bits) with(i int) bits {
	out := make([]byte, max(len(b), i/8+1))
	copy(out, b)
	out[i/8] |= 1 << (i % 8)
	return bits(out)
}

var seed = maphash.MakeSeed()

func (s state) hash() uint64 { return maphash.String(seed, string(s.turns)) }

// isLike reports whether the two differ in nothing but whose turn it was.
func (s state) isLike(t state) bool {
	return s.version == t.version && s.starts == t.starts && s.backs == t.backs
}

// model is the history that is judged.
type model struct {
	calls    []Operation    // by the moment of the call
	orders   map[string]int // by digest, numbered
	isBarred []bool         // the very order was refused at the call's end or later: it must never hold
	clear    int            // calls with a clear answer
}

func newModel(calls []Operation) *model {
	m := &model{calls: calls, orders: map[string]int{}, isBarred: make([]bool, len(calls))}
	refused := map[string]Operation{}
	for _, o := range calls {
		if o.Outcome != Unclear {
			m.clear++
		}
		if _, isKnown := m.orders[o.Digest]; !isKnown {
			m.orders[o.Digest] = len(m.orders)
		}
		if last, isKnown := refused[o.Digest]; o.isChange() && o.Outcome == Refused && (!isKnown || o.Return > last.Return) {
			refused[o.Digest] = o
		}
	}
	for i, o := range calls {
		last, isKnown := refused[o.Digest]
		m.isBarred[i] = o.isChange() && isKnown && o.Call <= last.Return
	}
	return m
}

func (o Operation) isChange() bool { return o.Kind == Replace || o.Kind == Update }

// first is the state before any call.
func (m *model) first() state {
	s := state{}
	s.due = m.due(s)
	return s
}

// step lets one call have its turn; false: it cannot have it now. Two things
// make the search short and rule nothing out. A call with a clear answer that
// fits now and changes nothing has its turn at once, since it could only come
// into the way later; and one without a clear answer that changes nothing has
// its turn behind all others.
func (m *model) step(s state, i int) (bool, state) {
	if s.due >= 0 && s.due != i {
		return false, s
	}
	next, isFit := m.turn(s, i)
	if !isFit {
		return false, s
	}
	next.turns = next.turns.with(i)
	if m.calls[i].Outcome != Unclear {
		next.clear++
	}
	next.due = m.due(next)
	return true, next
}

// turn reports what a call would make of a state.
func (m *model) turn(s state, i int) (next state, isFit bool) {
	o := m.calls[i]
	switch {
	case o.isChange():
		next, isFit = m.change(s, i)
	case o.Kind == Read:
		next, isFit = s, s.version == o.ReadVersion && (o.ReadDigest == "" || s.digest == o.ReadDigest)
	default:
		next, isFit = zone(s, o)
	}
	if o.Outcome == Unclear {
		isFit = !next.isLike(s) || s.clear == m.clear
	}
	return next, isFit
}

// due gives the first call that may have its turn now, fits, has a clear answer
// and changes nothing; -1 if there is none.
func (m *model) due(s state) int {
	ends := time.Duration(math.MaxInt64)
	for i, o := range m.calls { // in the order in which they were made
		if s.turns.has(i) {
			continue
		}
		if o.Call > ends {
			break
		}
		if o.Outcome == Unclear {
			continue
		}
		if next, isFit := m.turn(s, i); isFit && next.isLike(s) {
			return i
		}
		ends = min(ends, o.Return)
	}
	return -1
}

// change is a configuration's turn.
func (m *model) change(s state, i int) (state, bool) {
	o := m.calls[i]
	order := m.orders[o.Digest]
	isKnown := s.taken.has(order)
	isFit := !o.IsInvalid && o.Base == s.version && o.Version > s.version
	switch {
	case o.Outcome == Refused:
		return s, !isKnown && !isFit
	case isKnown:
		return s, true
	case isFit && !m.isBarred[i]:
		s.version, s.digest, s.taken = o.Version, o.Digest, s.taken.with(order)
		return s, true
	}
	return s, false
}

// zone is the turn of a call that is about a zone. Orders about a zone come
// without a number, so where several evacuations stand and some are taken back,
// a read may tell either; while none is taken back, and once all are, it may not.
func zone(s state, o Operation) (state, bool) {
	switch {
	case o.Kind == ReadZone:
		return s, s.backs > 0 || o.IsEvacuated == (s.starts > 0)
	case o.Outcome == Refused:
		return s, false // there is always a way to take it
	case o.Kind == Evacuate:
		s.starts++
	case s.starts > 0:
		if s.backs++; s.backs == s.starts {
			s.starts, s.backs = 0, 0
		}
	}
	return s, true
}
