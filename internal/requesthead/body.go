package requesthead

import (
	"bytes"
	"io"
)

// bodyReader gives bytes as a request's body. Nothing can be read twice of it, so
// no library sends a request again by itself.
func bodyReader(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
