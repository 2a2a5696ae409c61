package config

import (
	"slices"

	"github.com/tidwall/gjson"
)

// maxRememberedEdits is how many edits an older build remembered, by their digests in the document
// itself. Today the configuration's part remembers them.
const maxRememberedEdits = 16

// VersionOf returns the version number that operators gave to a document; 0 for none.
func VersionOf(doc []byte) int64 { return gjson.GetBytes(doc, "version").Int() }

// HasEdit reports whether a document of an older build lists an edit as applied to it or to a document
// that it is based on.
func HasEdit(doc []byte, digest string) bool {
	return digest != "" && slices.Contains(EditsOf(doc), digest)
}

// EditsOf returns the digests of the edits that a document of an older build lists.
func EditsOf(doc []byte) []string {
	out := []string{}
	for _, edit := range gjson.GetBytes(doc, "edits").Array() {
		out = append(out, edit.Str)
	}
	return out
}

// MayHaveForgotten reports whether a document of an older build may be based on edits that it no longer
// lists.
func MayHaveForgotten(doc []byte) bool { return len(EditsOf(doc)) >= maxRememberedEdits }
