package config

import (
	"encoding/json"
	"slices"

	"caperwheel/internal/errs"
)

// Retirements lists the stores whose retirement was admitted. It is stored at one key, so that two
// managers cannot admit two retirements on the same state.
type Retirements struct {
	Stores []string `json:"stores"`
}

// ReadRetirements decodes the list; no bytes mean an empty list.
func ReadRetirements(raw []byte) (Retirements, error) {
	var r Retirements
	if len(raw) == 0 {
		return r, nil
	}
	err := json.Unmarshal(raw, &r)
	return r, errs.Wrap(err, errs.Corrupt, "decode stored list of retirements")
}

// Has reports whether a store's retirement was admitted.
func (r Retirements) Has(store string) bool { return slices.Contains(r.Stores, store) }

// With returns a copy of the list with a store added.
func (r Retirements) With(store string) Retirements {
	return Retirements{append(slices.Clone(r.Stores), store)}
}

// Without returns a copy of the list with a store removed.
func (r Retirements) Without(store string) Retirements {
	return Retirements{slices.DeleteFunc(slices.Clone(r.Stores), func(s string) bool { return s == store })}
}

// Encode returns the list as JSON.
func (r Retirements) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode list of retirements"))
	}
	return raw
}
