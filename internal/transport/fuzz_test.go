package transport

import (
	"bytes"
	"testing"

	"caperwheel/internal/errs"
)

// FuzzFrame: a frame is read whole or refused; its buffer never grows far
// beyond what has come.
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
			t.Fatalf("%d bytes came, room was made for %d", len(raw), cap(body))
		}
		if err == nil && len(body) != int(h.length) {
			t.Fatal("a frame accepted by halves")
		}
		if err != nil && errs.KindOf(err) == errs.Internal {
			t.Fatal(err)
		}
	})
}
