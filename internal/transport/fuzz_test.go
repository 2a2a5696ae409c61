package transport

import (
	"bytes"
	"testing"

	"caperwheel/internal/errs"
)

// FuzzFrame guards against frames that are accepted incompletely, and against a buffer that grows far
// beyond the bytes received.
func FuzzFrame(f *testing.F) {
	whole := make([]byte, frameHeaderSize+3)
	frameHeader{length: 3, checksum: 0, seq: 1}.encode(whole)
	f.Add(whole)
	huge := make([]byte, frameHeaderSize)
	frameHeader{length: 1 << 25}.encode(huge)
	f.Add(huge)
	f.Add([]byte("cwh"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, body, err := readFrame(bytes.NewReader(raw), nil, 1<<26)
		if cap(body) > 4*len(raw)+4*readChunkBytes {
			t.Fatalf("received %d bytes, but the buffer has a capacity of %d", len(raw), cap(body))
		}
		if err == nil && len(body) != int(h.length) {
			t.Fatal("an incomplete frame was accepted")
		}
		if err != nil && errs.KindOf(err) == errs.Internal {
			t.Fatal(err)
		}
	})
}
