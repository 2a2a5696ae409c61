// Package linearize checks histories of operators' calls (configuration changes, evacuations of zones, and reads of
// both) for linearizability: is there one sequence of the calls, each taking effect between its start and its answer,
// in which a single server would have given the same answers? The model covers versions and the versions they are based
// on, changes that are sent again, and calls whose outcome is indeterminate. The search is done by porcupine.
//
// The simulation (internal/sim), the stand-ins (internal/standin) and the tests of internal/manager record histories
// and call Check.
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

// Kind is the kind of an operator's call.
type Kind string

// Kinds of calls.
const (
	Replace  Kind = "replace"  // replaces the whole configuration
	Update   Kind = "update"   // changes some items of the configuration
	Read     Kind = "read"     // reads the newest configuration
	Evacuate Kind = "evacuate" // evacuates a zone: its workers get no new runs
	Finish   Kind = "finish"   // ends an evacuation of a zone
	ReadZone Kind = "readzone" // reads whether a zone is evacuated
)

// Outcome is the last answer that the operator got to a call.
type Outcome string

// Outcomes of a call.
const (
	Confirmed     Outcome = "confirmed"
	Refused       Outcome = "refused" // a definite refusal: 400, 409, 412 …
	Indeterminate Outcome = "unclear" // it may take effect at any time after its start, or never
)

// Operation is one call with all its retries: from the start of the first attempt to the answer that ended it. A change
// that is sent again after that is another Operation with the same Digest.
type Operation struct {
	Client               int
	CalledAt, ReturnedAt time.Duration // on one clock; ReturnedAt is ignored if the outcome is Indeterminate
	Kind                 Kind
	Outcome              Outcome

	Version, Base int64  // of replace and update: the version it creates, and the version it is based on
	Digest        string // of replace and update: identifies the change
	IsInvalid     bool   // of replace and update: the change is invalid and must never be confirmed

	ReadVersion int64  // of a confirmed read; 0 if there is no configuration
	ReadDigest  string // of a confirmed read: the change that created the version; empty: only the version is checked

	Zone        string // of evacuate, finish and readzone
	IsEvacuated bool   // of a confirmed readzone
}

// maxSearchSteps is the bound of Check on the search for each part of a history, in steps of the model.
const maxSearchSteps = 2_000_000

// Check reports whether a history is linearizable and, if it is not, explains in one line what contradicts it. A search
// that does not end within its bound on steps counts as not linearizable.
func Check(history []Operation) (ok bool, explanation string) {
	return CheckWithin(history, maxSearchSteps)
}

// CheckWithin is Check with the given bound on the steps of the search. The bound applies to each part of the history
// (the configuration, and each zone); the parts are independent and checked separately. It counts steps instead of
// time, so that the same history gives the same verdict on any machine.
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

// search looks for a linearization of the calls of one part. It returns an explanation, or an empty string if there is
// a linearization.
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
		return fmt.Sprintf("undecided: found no linearization of %d calls within %d steps", len(part), steps)
	}
	return explain(part, info)
}
