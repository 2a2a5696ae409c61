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
		return nil, errs.Wrap(err, errs.Corrupt, "charter")
	}
	if err := json.Unmarshal(patch, &change); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "patch")
	}
	if _, isObject := change.(map[string]any); !isObject {
		return nil, errs.New(errs.Invalid, "a patch must be an object")
	}
	out, err := json.Marshal(merge(base, change))
	return out, errs.Wrap(err, errs.Internal, "merged configuration")
}

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

// originKey is the root's key for the document that a configuration was made from. What it holds is
// another interface's, and may be secret: it is given whole to whoever reads the configuration, and never shown.
const originKey = "origin"

// Redact returns a configuration to be shown: without its origin. It cannot be taken for the whole
// one, since Compile refuses it.
func Redact(doc []byte) ([]byte, error) {
	var root map[string]json.RawMessage
	if err := json.Unmarshal(doc, &root); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "configuration")
	}
	if root[originKey] == nil {
		return doc, nil
	}
	root[originKey] = json.RawMessage(`"left out: it may hold keys"`)
	out, err := json.MarshalIndent(root, "", "  ")
	return append(out, '\n'), errs.Wrap(err, errs.Internal, "configuration")
}

// Difference is one path whose value differs between two documents. The values of an origin are not given.
type Difference struct {
	Path string `json:"path"`
	From any    `json:"from,omitempty"`
	To   any    `json:"to,omitempty"`
}

// Diff lists what differs, in order of paths.
func Diff(from, to []byte) ([]Difference, error) {
	var a, b any
	if err := json.Unmarshal(from, &a); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "first document")
	}
	if err := json.Unmarshal(to, &b); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "second document")
	}
	return appendDifferences("", a, b, nil), nil
}

func appendDifferences(path string, a, b any, out []Difference) []Difference {
	x, isX := a.(map[string]any)
	y, isY := b.(map[string]any)
	if !isX || !isY {
		if !reflect.DeepEqual(a, b) { // 5 is not "5"
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

// appendRedacted tells that origins differ, and no more.
func appendRedacted(a, b any, out []Difference) []Difference {
	if reflect.DeepEqual(a, b) {
		return out
	}
	return append(out, Difference{Path: originKey})
}
