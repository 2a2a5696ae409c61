package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"caperwheel/internal/errs"
)

// Merge applies a JSON merge patch (RFC 7396) to a document.
func Merge(doc, patch []byte) ([]byte, error) {
	var base, change any
	if err := json.Unmarshal(doc, &base); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "decode stored configuration")
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "decode patch as JSON")
	}
	if _, isObject := change.(map[string]any); !isObject {
		return nil, errs.New(errs.Invalid, "a patch must be a JSON object")
	}
	out, err := json.Marshal(merge(base, change))
	return out, errs.Wrap(err, errs.Internal, "encode merged configuration")
}

// merge returns base with a decoded patch applied; it may change base.
func merge(base, change any) any {
	patch, isObject := change.(map[string]any)
	if !isObject {
		return change
	}
	out, isObject := base.(map[string]any)
	if !isObject {
		out = map[string]any{}
	}
	for key, value := range patch {
		if value == nil {
			delete(out, key)
		} else {
			out[key] = merge(out[key], value)
		}
	}
	return out
}

// originKey is the root's key for the document that another interface made the configuration from. It
// may hold secrets: reading the configuration returns it in full, but no diff or display shows it.
const originKey = "origin"

// Redact returns a document for display, without the content of its origin. Compile rejects the result,
// so it cannot be written back by mistake.
func Redact(doc []byte) ([]byte, error) {
	var root map[string]json.RawMessage
	if err := json.Unmarshal(doc, &root); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "decode configuration to redact")
	}
	if root[originKey] == nil {
		return doc, nil
	}
	root[originKey] = json.RawMessage(`"left out: it may hold keys"`)
	out, err := json.MarshalIndent(root, "", "  ")
	return append(out, '\n'), errs.Wrap(err, errs.Internal, "encode redacted configuration")
}

// Difference is a path whose value differs between two documents. The values of an origin are left out.
type Difference struct {
	Path string `json:"path"`
	From any    `json:"from,omitempty"`
	To   any    `json:"to,omitempty"`
}

// Diff returns the differences between two documents, sorted by path.
func Diff(from, to []byte) ([]Difference, error) {
	var a, b any
	if err := json.Unmarshal(from, &a); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "decode first document to compare")
	}
	if err := json.Unmarshal(to, &b); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "decode second document to compare")
	}
	return appendDifferences("", a, b, nil), nil
}

// appendDifferences appends the differences between two decoded values at a path to out.
func appendDifferences(path string, a, b any, out []Difference) []Difference {
	x, isX := a.(map[string]any)
	y, isY := b.(map[string]any)
	if !isX || !isY {
		if !reflect.DeepEqual(a, b) { // the number 5 differs from the string "5"
			out = append(out, Difference{path, a, b})
		}
		return out
	}
	keys := map[string]bool{}
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		at := k
		if path != "" {
			at = path + "." + k
		} else if k == originKey {
			out = appendRedacted(x[k], y[k], out)
			continue
		}
		out = appendDifferences(at, x[k], y[k], out)
	}
	return out
}

// appendRedacted adds a difference without values if two origins differ.
func appendRedacted(a, b any, out []Difference) []Difference {
	if reflect.DeepEqual(a, b) {
		return out
	}
	return append(out, Difference{Path: originKey})
}
