package charter

import (
	"encoding/json"
	"slices"

	"github.com/tidwall/gjson"

	"caperwheel/internal/mishap"
)

// mostEdits is how many edits a charter remembers by their digests.
const mostEdits = 16

// VersionOf gives the operators' own number of a charter; 0 for none.
func VersionOf(doc []byte) int64 { return gjson.GetBytes(doc, "version").Int() }

// HasEdit tells whether a charter holds an edit, or was made from one that does.
func HasEdit(doc []byte, digest string) bool {
	return digest != "" && slices.Contains(editsOf(doc), digest)
}

func editsOf(doc []byte) []string {
	out := []string{}
	for _, edit := range gjson.GetBytes(doc, "edits").Array() {
		out = append(out, edit.Str)
	}
	return out
}

// WithEdit gives a document the newest digests of its base and its own.
func WithEdit(doc, base []byte, digest string) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &fields); err != nil {
		return nil, mishap.Wrap(err, mishap.Invalid, "charter")
	}
	edits := append(editsOf(base), digest)
	raw, err := json.Marshal(edits[max(0, len(edits)-mostEdits):])
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Internal, "edits")
	}
	fields["edits"] = raw
	out, err := json.Marshal(fields)
	return out, mishap.Wrap(err, mishap.Invalid, "charter")
}
