package charter

import (
	"bytes"
	"encoding/json"
	"io"

	"caperwheel/internal/mishap"
)

// strict reads one JSON value and refuses unknown fields and trailing text.
func strict(doc []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return mishap.Wrap(err, mishap.Invalid, "JSON")
	}
	if _, err := d.Token(); err != io.EOF {
		return mishap.New(mishap.Invalid, "text behind the JSON value")
	}
	return nil
}
