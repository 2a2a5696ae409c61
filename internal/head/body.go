package head

import (
	"bytes"
	"io"
)

// readerOf gives bytes as a request's body. Nothing can be read twice of it, so
// no library sends a request again by itself.
func readerOf(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
