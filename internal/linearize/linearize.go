// Package linearize judges histories of the operators' calls: is there one order
// of all of them, each within its own time, that one machine answering one call
// after another could have given? It knows versions, bases, orders sent again
// and calls without a clear answer.
package linearize

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Kind is what an operator asked for.
type Kind string

// The kinds of calls.
const (
	Replace  Kind = "replace"  // a whole configuration
	Update   Kind = "update"   // some items of a configuration
	Read     Kind = "read"     // the newest configuration
	Evacuate Kind = "evacuate" // a zone's workers get nothing more
	Finish   Kind = "finish"   // an evacuation is taken back
	ReadZone Kind = "readzone" // whether a zone is evacuated
)

// Outcome is what the operator was told at last.
type Outcome string

// The outcomes of a call.
const (
	Confirmed     Outcome = "confirmed"
	Refused       Outcome = "refused" // a clear no: 400, 409, 412 …
	Indeterminate Outcome = "unclear" // it may hold or not, from its call on at any time
)

// Operation is one call with all its tries: from the first one's start to the
// answer that ended it. An order that is sent again after that is another
// Operation with the same Digest.
type Operation struct {
	Client               int
	CalledAt, ReturnedAt time.Duration // on one clock; Return counts for nothing if the outcome is unclear
	Kind                 Kind
	Outcome              Outcome

	Version, Base int64  // of replace and update: the version it makes, and what it builds on
	Digest        string // of replace and update: names this very order
	IsInvalid     bool   // of replace and update: it must never be confirmed

	ReadVersion int64  // of a confirmed read; 0 where there is no configuration
	ReadDigest  string // the order that made what was read; empty: only the version is judged

	Zone        string // of evacuate, finish and readzone
	IsEvacuated bool   // of a confirmed readzone
}

// maxSearchSteps bounds the search of Check, in steps of the model.
const maxSearchSteps = 2_000_000

// Check reports whether a history is linearizable and, if not, what speaks against
// it, in one line. A search that does not end within its steps is not ok.
func Check(history []Operation) (ok bool, explanation string) {
	return CheckWithin(history, maxSearchSteps)
}

// CheckWithin is Check with a bound on the steps of the search for each part of
// the history: the configuration, and each zone. The same history gives the same
// verdict on any machine.
func CheckWithin(history []Operation, steps int) (ok bool, explanation string) {
	parts := map[string][]Operation{}
	for _, o := range history {
		switch {
		case o.Kind == Read || o.Kind == ReadZone:
			if o.Outcome == Confirmed {
				parts[o.Zone] = append(parts[o.Zone], o)
			}
		default:
			parts[o.Zone] = append(parts[o.Zone], o)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(parts)) {
		part := parts[zone]
		slices.SortStableFunc(part, func(a, b Operation) int { return cmp.Compare(a.CalledAt, b.CalledAt) })
		if text := search(part, steps); text != "" {
			return false, text
		}
	}
	return true, ""
}

// search looks for an order of one part's calls. An empty text: there is one.
func search(part []Operation, steps int) string {
	m, stepCount := newModel(part), 0
	events := []porcupine.Operation{}
	for i, o := range part {
		end := int64(o.ReturnedAt)
		if o.Outcome == Indeterminate {
			end = math.MaxInt64
		}
		events = append(events, porcupine.Operation{ClientId: i, Input: i, Call: int64(o.CalledAt), Return: end})
	}
	verdict, info := porcupine.CheckOperationsVerbose(porcupine.Model{
		Init: func() any { return m.initialState() },
		Step: func(s, input, _ any) (bool, any) {
			if stepCount++; stepCount > steps {
				return false, s
			}
			return m.step(s.(state), input.(int))
		},
		Hash: func(s any) uint64 { return s.(state).hash() },
	}, events, 0)
	switch {
	case verdict == porcupine.Ok:
		return ""
	case stepCount > steps:
		return fmt.Sprintf("undecided: no order of %d calls was found in %d steps", len(part), steps)
	}
	return explain(part, info)
}
