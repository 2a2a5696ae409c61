package linearize

import (
	"hash/maphash"
	"math"
	"time"
)

// state is the state of a single server after some of the calls, and which calls those are. States are compared with
// ==, so it holds no slices or maps.
//
// Invariant: each accepted change has a higher version than the one before it.
type state struct {
	version     int64  // of the configuration; 0 if there is none
	digest      string // of the change that created the version
	accepted    bitset // one bit for each change, as numbered in model
	evacuations int    // evacuations since the zone last had none in force
	finished    int    // how many of these evacuations were ended
	applied     bitset // one bit for each call that was applied
	clear       int    // applied calls with a definite outcome
	forced      int    // the call that must be applied next; -1 if any may
}

// bitset is an immutable set of small non-negative integers.
type bitset string

// has reports whether i is in the set.
func (b bitset) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// with returns the set with i added.
func (b bitset) with(i int) bitset {
	out := make([]byte, max(len(b), i/8+1))
	copy(out, b)
	out[i/8] |= 1 << (i % 8)
	return bitset(out)
}

// hashSeed is the seed of state.hash.
var hashSeed = maphash.MakeSeed()

// hash hashes the calls that were applied.
func (s state) hash() uint64 { return maphash.String(hashSeed, string(s.applied)) }

// hasSameContent reports whether the server's data is the same in both states, whatever calls were applied.
func (s state) hasSameContent(t state) bool {
	return s.version == t.version && s.evacuations == t.evacuations && s.finished == t.finished
}

// m is the sequential model of one part of a history: the configuration, or one zone.
type model struct {
	calls          []Operation    // sorted by start
	changeNumbers  map[string]int // number of each change, by digest
	isRefusedLater []bool         // the same change was refused after this call's start: it must never take effect
	clear          int            // calls with a definite outcome
}

// newModel returns the model of calls that are sorted by start.
func newModel(calls []Operation) *model {
	m := &model{calls: calls, changeNumbers: map[string]int{}, isRefusedLater: make([]bool, len(calls))}
	refused := map[string]Operation{}
	for _, o := range calls {
		if o.Outcome != Indeterminate {
			m.clear++
		}
		if _, isKnown := m.changeNumbers[o.Digest]; !isKnown {
			m.changeNumbers[o.Digest] = len(m.changeNumbers)
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

// isChange reports whether the call changes the configuration.
func (o Operation) isChange() bool { return o.Kind == Replace || o.Kind == Update }

// initialState returns the state before any call.
func (m *model) initialState() state {
	s := state{}
	s.forced = m.nextForced(s)
	return s
}

// step applies one call to a state. It returns false if the call cannot be applied now. Two rules shorten the search
// without excluding any linearization: a call with a definite outcome that is possible now and changes nothing is
// applied at once, since it can only become impossible later; and an indeterminate call that changes nothing is applied
// after all calls with a definite outcome.
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

// apply returns the state after a call, and whether the call is possible in state s.
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

// nextForced returns the first call with a definite outcome that is possible now and changes nothing; -1 if there is
// none.
func (m *model) nextForced(s state) int {
	earliestReturn := time.Duration(math.MaxInt64)
	for i, o := range m.calls { // sorted by start
		if s.applied.has(i) {
			continue
		}
		if o.CalledAt > earliestReturn {
			break
		}
		if o.Outcome == Indeterminate {
			continue
		}
		if next, isFit := m.apply(s, i); isFit && next.hasSameContent(s) {
			return i
		}
		earliestReturn = min(earliestReturn, o.ReturnedAt)
	}
	return -1
}

// applyChange applies a configuration change. A change that was accepted before is confirmed again without effect.
func (m *model) applyChange(s state, i int) (state, bool) {
	o := m.calls[i]
	number := m.changeNumbers[o.Digest]
	isAccepted := s.accepted.has(number)
	isFit := !o.IsInvalid && o.Base == s.version && o.Version > s.version
	switch {
	case o.Outcome == Refused:
		return s, !isAccepted && !isFit
	case isAccepted:
		return s, true
	case isFit && !m.isRefusedLater[i]:
		s.version, s.digest, s.accepted = o.Version, o.Digest, s.accepted.with(number)
		return s, true
	}
	return s, false
}

// applyZone applies a call about a zone. Evacuations have no numbers that would show which one a Finish ends. So while
// several are in force and some were ended, a read may return either value; while none or all were ended, only one
// value is correct.
func applyZone(s state, o Operation) (state, bool) {
	switch {
	case o.Kind == ReadZone:
		return s, s.finished > 0 || o.IsEvacuated == (s.evacuations > 0)
	case o.Outcome == Refused:
		return s, false // a zone call is always possible
	case o.Kind == Evacuate:
		s.evacuations++
	case s.evacuations > 0:
		if s.finished++; s.finished == s.evacuations {
			s.evacuations, s.finished = 0, 0
		}
	}
	return s, true
}
