package config

import (
	"slices"

	"github.com/tidwall/gjson"
)

// maxRememberedEdits is how many edits an older build remembered by their digests, in the
// configuration itself. Now the part that holds the configuration remembers them.
const maxRememberedEdits = 16

// VersionOf gives the operators' own number of a configuration; 0 for none.
func VersionOf(doc []byte) int64 { return gjson.GetBytes(doc, "version").Int() }

// HasEdit reports whether a configuration of an older build holds an edit, or was made
// from one that does.
func HasEdit(doc []byte, digest string) bool {
	return digest != "" && slices.Contains(EditsOf(doc), digest)
}

// EditsOf gives the edits that a configuration of an older build remembers.
func EditsOf(doc []byte) []string {
	out := []string{}
	for _, edit := range gjson.GetBytes(doc, "edits").Array() {
		out = append(out, edit.Str)
	}
	return out
}

// MayHaveForgotten reports whether a configuration of an older build may come from edits that
// it no longer remembers.
func MayHaveForgotten(doc []byte) bool { return len(EditsOf(doc)) >= maxRememberedEdits }
