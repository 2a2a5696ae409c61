package config

import (
	"encoding/json"

	"caperwheel/internal/errs"
)

// DrainOrder is what stands at a zone's key. One key holds all that can be said of a
// zone, so that no daemon sees a zone restored before it sees its workers cold.
//
// Invariant: Others, IsLastRestore and RestoredAgoMs are set only where Only is OnlyWorkers.
type DrainOrder struct {
	Only          string `json:"only,omitempty"`     // empty: the whole zone is emptied
	OtherDrains   int64  `json:"others,omitempty"`   // emptyings that stand besides, each to be taken back by itself
	IsLastRestore bool   `json:"back,omitempty"`     // the last word was that one of them is taken back
	RestoredAgoMs int64  `json:"back_ago,omitempty"` // milliseconds before the last word in which one was; 0 for long
}

// What an order may be restricted to.
const (
	OnlyWorkers = "workers" // only the workers of the zone get nothing
	OnlyCold    = "cold"    // restored; the workers count as cold until the list can be trusted again
)

// ParseDrainOrder reads a mark. One that says nothing known empties the whole zone.
func ParseDrainOrder(raw []byte) DrainOrder {
	var m DrainOrder
	_ = json.Unmarshal(raw, &m) // an unreadable order empties the whole zone
	return m
}

// Encode gives the order's JSON.
func (m DrainOrder) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "mark"))
	}
	return raw
}
