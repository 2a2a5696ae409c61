package config

import (
	"bytes"
	"encoding/json"
	"io"

	"caperwheel/internal/errs"
)

// decodeStrict decodes one JSON value and rejects unknown fields and trailing text.
func decodeStrict(doc []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(doc))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errs.Wrap(err, errs.Invalid, "decode JSON")
	}
	if _, err := d.Token(); err != io.EOF {
		return errs.New(errs.Invalid, "text follows after the JSON value")
	}
	return nil
}
