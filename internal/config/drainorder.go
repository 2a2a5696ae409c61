package config

import (
	"encoding/json"

	"caperwheel/internal/errs"
)

// DrainOrder is the value of a zone's or store's key. One key holds the whole state of a zone, so that no
// daemon sees a zone restored before it sees its workers as cold.
//
// Invariant: OtherDrains, IsLastRestore and RestoredAgoMs are set only if Only is OnlyWorkers.
type DrainOrder struct {
	Only          string `json:"only,omitempty"`     // empty: the whole zone is drained
	OtherDrains   int64  `json:"others,omitempty"`   // further drains in force, each with its own restore to come
	IsLastRestore bool   `json:"back,omitempty"`     // the last order restored one of several drains
	RestoredAgoMs int64  `json:"back_ago,omitempty"` // time from the last restore to the last order; 0 for none or if long ago
}

// Values of DrainOrder.Only.
const (
	OnlyWorkers = "workers" // only the workers of the zone are drained
	OnlyCold    = "cold"    // restored; the workers count as cold until the list has caught up
)

// ParseDrainOrder decodes a drain order. One that this build does not understand drains the whole zone.
func ParseDrainOrder(raw []byte) DrainOrder {
	var m DrainOrder
	_ = json.Unmarshal(raw, &m) // an unreadable order drains the whole zone
	return m
}

// Encode returns the order as JSON.
func (m DrainOrder) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode drain order"))
	}
	return raw
}
