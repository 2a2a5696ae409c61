package config

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"caperwheel/internal/errs"
)

// Worker is one entry of a pool's worker list.
type Worker struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"cell"`
	State   string `json:"state"`           // live or leaving
	Slots   int64  `json:"slots,omitempty"` // concurrent runs; 0 for the pool's setting
	IsCold  bool   `json:"cold,omitempty"`  // just started: limited to the pool's cold_rate
	// Identifier is the platform's name of the worker if that is not valid as Name; otherwise empty.
	Identifier string `json:"identifier,omitempty"`
}

// MaxIdentifierBytes bounds a worker's identifier: every request to the worker carries it.
const MaxIdentifierBytes = 1024

// Workers is the worker list of a pool, or one bucket of it.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// ReadWorkers decodes and validates a worker list. A worker without a state is live.
func ReadWorkers(doc []byte) (Workers, []Fault) {
	var out Workers
	if err := decodeStrict(doc, &out); err != nil {
		return out, []Fault{{"", "is not a list of workers: " + err.Error()}}
	}
	faults, seen := []Fault{}, map[string]bool{}
	for i, w := range out.Workers {
		path := "workers." + strconv.Itoa(i)
		if w.State == "" {
			w.State = "live"
			out.Workers[i].State = w.State
		}
		for _, fault := range w.Check() {
			faults = append(faults, Fault{path + "." + fault.Path, fault.Text})
		}
		if seen[w.Name] {
			faults = append(faults, Fault{path + ".name", uniqueNameText})
		}
		seen[w.Name] = true
	}
	return out, faults
}

// uniqueNameText is the fault of a name that is invalid or occurs twice.
const uniqueNameText = "must be a unique name of 1 to 64 letters, digits, - and _"

// Check returns the faults of a worker's entry, with paths relative to the entry.
func (w Worker) Check() []Fault {
	faults := []Fault{}
	if !isName(w.Name) {
		faults = append(faults, Fault{"name", uniqueNameText})
	}
	if text := CheckAddress(w.Address); text != "" {
		faults = append(faults, Fault{"address", text})
	}
	if !IsIdentifier(w.Identifier) {
		faults = append(faults, Fault{"identifier", fmt.Sprintf("must be at most %d bytes and valid in a header field", MaxIdentifierBytes)})
	}
	if w.Slots < 0 || w.Slots > 1000 {
		faults = append(faults, Fault{"slots", "must be from 0 to 1000"})
	}
	if w.State != "live" && w.State != "leaving" {
		faults = append(faults, Fault{"state", "must be live or leaving"})
	}
	return faults
}

// IsIdentifier reports whether a text can be a worker's identifier, which is sent in a header field.
func IsIdentifier(text string) bool {
	return len(text) <= MaxIdentifierBytes && strings.Trim(text, " \t") == text && !strings.ContainsFunc(text, unicode.IsControl) &&
		utf8.ValidString(text)
}

// Encode returns the list as JSON.
func (w Workers) Encode() []byte {
	out, err := json.Marshal(w)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode worker list"))
	}
	return out
}

// Patch returns the list with the entries of change added; an entry replaces the one of its name.
func (w Workers) Patch(change Workers) Workers {
	out := Workers{Workers: []Worker{}}
	at := map[string]int{}
	for _, x := range w.Workers {
		at[x.Name] = len(out.Workers)
		out.Workers = append(out.Workers, x)
	}
	for _, x := range change.Workers {
		if i, isKnown := at[x.Name]; isKnown {
			out.Workers[i] = x
		} else {
			out.Workers = append(out.Workers, x)
		}
	}
	return out
}
