package requesthead

import (
	"bytes"
	"io"
)

// bodyReader returns a request body that can be read only once, so that no library resends the request by itself.
func bodyReader(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }
