package config

import (
	"encoding/json"
	"slices"

	"caperwheel/internal/errs"
)

// Retirements are the stores whose retirement was admitted. They stand at one key,
// so that two admitted at once by two managers cannot both hold.
type Retirements struct {
	Stores []string `json:"stores"`
}

// ReadRetirements reads them; nothing is there before the first one.
func ReadRetirements(raw []byte) (Retirements, error) {
	var r Retirements
	if len(raw) == 0 {
		return r, nil
	}
	err := json.Unmarshal(raw, &r)
	return r, errs.Wrap(err, errs.Corrupt, "retirements")
}

// Has reports whether a store's retirement was admitted.
func (r Retirements) Has(store string) bool { return slices.Contains(r.Stores, store) }

// With gives them with one more.
func (r Retirements) With(store string) Retirements {
	return Retirements{append(slices.Clone(r.Stores), store)}
}

// Without gives them with one less.
func (r Retirements) Without(store string) Retirements {
	return Retirements{slices.DeleteFunc(slices.Clone(r.Stores), func(s string) bool { return s == store })}
}

// Encode gives their JSON.
func (r Retirements) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "retirements"))
	}
	return raw
}
