package transport

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// compressionSinceVersion is the wire version from which arrays may be compressed.
const compressionSinceVersion = 5

// historyBytesLimit is how many bytes of earlier arrays serve as the dictionary; the library supports no
// more.
const historyBytesLimit = 8 << 10

// minCompressedBytes is the array size in bytes below which compression saves less than the header of a
// packet.
const minCompressedBytes = 64

// shouldCompress reports whether the arrays of a session are compressed: only between zones, where bytes
// cost more than the CPU time of compression.
func shouldCompress(self, peer wire.Who, version int64) bool {
	return version >= compressionSinceVersion && self.Zone != peer.Zone
}

// compressionHistory is the compression dictionary of one direction of a session: the newest arrays before
// compression. Both ends keep the same one, so that an array is compressed against what the peer has
// already received. A nil history means that the session does not compress.
//
// Invariant: after each array both ends hold the same bytes, at most historyBytesLimit of them.
type compressionHistory struct{ bytes []byte }

// newCompressionHistory returns an empty history, or nil for a session without compression.
func newCompressionHistory(isCompressed bool) *compressionHistory {
	if !isCompressed {
		return nil
	}
	return &compressionHistory{}
}

// add appends an array that was sent or received.
func (h *compressionHistory) add(array []byte) {
	if len(array) >= historyBytesLimit {
		h.bytes = append(h.bytes[:0], array[len(array)-historyBytesLimit:]...)
		return
	}
	if excess := len(h.bytes) + len(array) - historyBytesLimit; excess > 0 {
		kept := copy(h.bytes, h.bytes[excess:])
		h.bytes = h.bytes[:kept]
	}
	h.bytes = append(h.bytes, array...)
}

// compress appends the compressed array to out. It returns false, with out unchanged, if compression does
// not make the array shorter.
func (h *compressionHistory) compress(out, array []byte) ([]byte, bool) {
	if len(array) < minCompressedBytes {
		return out, false
	}
	buffer := bytes.NewBuffer(out)
	err := flate.StatelessDeflate(buffer, array, true, h.bytes)
	if err != nil || buffer.Len()-len(out) >= len(array) {
		return out, false
	}
	return buffer.Bytes(), true
}

// decompress appends the decompressed array, at most limit bytes, to out.
func (h *compressionHistory) decompress(out, compressed []byte, limit int) ([]byte, error) {
	reader := inflaterPool.Get().(io.ReadCloser)
	defer inflaterPool.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(compressed), h.bytes); err != nil {
		return out, errs.Wrap(err, errs.Corrupt, "decompress array")
	}
	buffer := bytes.NewBuffer(out)
	_, err := io.CopyN(buffer, reader, int64(limit)+1)
	switch {
	case err == nil:
		return out, errs.New(errs.TooLarge, "array decompresses to more than %d bytes", limit)
	case !errors.Is(err, io.EOF):
		return out, errs.Wrap(err, errs.Corrupt, "decompress array")
	}
	return buffer.Bytes(), nil
}

// inflaterPool holds reusable decompressors.
var inflaterPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
