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

// Worker is one entry of the platform's live list of a pool.
type Worker struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"cell"`
	State   string `json:"state"`           // live or leaving
	Slots   int64  `json:"slots,omitempty"` // runs at once; 0: as the pool says
	IsCold  bool   `json:"cold,omitempty"`  // it has just begun: no more than the pool's cold_rate
	// What it calls itself, where that cannot be spelled as a name; empty where the name says it.
	Identifier string `json:"identifier,omitempty"`
}

// MaxIdentifierBytes bounds a worker's identifier, in bytes: every request to it carries it.
const MaxIdentifierBytes = 1024

// Workers is a pool's live list.
type Workers struct {
	Workers []Worker `json:"workers"`
}

// ReadWorkers reads and checks a live list.
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

const uniqueNameText = "must be a name of its own"

// Check returns what of a worker no list may hold.
func (w Worker) Check() []Fault {
	faults := []Fault{}
	if !isName(w.Name) {
		faults = append(faults, Fault{"name", uniqueNameText})
	}
	if text := CheckAddress(w.Address); text != "" {
		faults = append(faults, Fault{"address", text})
	}
	if !IsIdentifier(w.Identifier) {
		faults = append(faults, Fault{"identifier", fmt.Sprintf("must be at most %d bytes that a header field holds", MaxIdentifierBytes)})
	}
	if w.Slots < 0 || w.Slots > 1000 {
		faults = append(faults, Fault{"slots", "must be from 0 to 1000"})
	}
	if w.State != "live" && w.State != "leaving" {
		faults = append(faults, Fault{"state", "must be live or leaving"})
	}
	return faults
}

// IsIdentifier reports whether a text may be a worker's identifier: a header field carries it whole.
func IsIdentifier(text string) bool {
	return len(text) <= MaxIdentifierBytes && strings.Trim(text, " \t") == text && !strings.ContainsFunc(text, unicode.IsControl) &&
		utf8.ValidString(text)
}

// Encode gives the list's JSON.
func (w Workers) Encode() []byte {
	out, err := json.Marshal(w)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "workers"))
	}
	return out
}

// Patch changes single entries of a list: a worker given replaces the one of
// its name; one with the state gone is taken out.
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
