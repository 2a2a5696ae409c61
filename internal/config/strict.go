package config

import (
	"bytes"
	"encoding/json"
	"io"

	"caperwheel/internal/errs"
)

// decodeStrict reads one JSON value and refuses unknown fields and trailing text.
func decodeStrict(doc []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errs.Wrap(err, errs.Invalid, "JSON")
	}
	if _, err := d.Token(); err != io.EOF {
		return errs.New(errs.Invalid, "text behind the JSON value")
	}
	return nil
}
