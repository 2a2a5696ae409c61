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

// historyBytesLimit is how many bytes of the arrays before it an array is compressed against;
// the library takes no more.
const historyBytesLimit = 8 << 10

// minCompressedBytes is the size of an array, in bytes, below which compression saves less than a
// packet's head.
const minCompressedBytes = 64

// shouldCompress reports whether the arrays of a session are compressed: those between zones,
// whose bytes cost more than the time that compression takes.
func shouldCompress(self, peer wire.Who, version int64) bool {
	return version >= compressionSinceVersion && self.Zone != peer.Zone
}

// compressionHistory holds the newest arrays of one direction of a session, as they were before
// compression. Both ends keep it alike, so that an array is compressed against what the
// other end has already received. A nil history compresses nothing.
//
// Invariant: after each array both ends hold the same bytes, at most historyBytesLimit of them.
type compressionHistory struct{ bytes []byte }

func newCompressionHistory(isCompressed bool) *compressionHistory {
	if !isCompressed {
		return nil
	}
	return &compressionHistory{}
}

// add notes an array that has been sent or received.
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

// compress appends the compressed array to out. It reports false, with out as it was, where
// that is no shorter.
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

// decompress appends the array that was compressed to out, at most limit bytes.
func (h *compressionHistory) decompress(out, compressed []byte, limit int) ([]byte, error) {
	reader := inflaterPool.Get().(io.ReadCloser)
	defer inflaterPool.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(compressed), h.bytes); err != nil {
		return out, errs.Wrap(err, errs.Corrupt, "compressed array")
	}
	buffer := bytes.NewBuffer(out)
	_, err := io.CopyN(buffer, reader, int64(limit)+1)
	switch {
	case err == nil:
		return out, errs.New(errs.TooLarge, "a compressed array of more than %d bytes", limit)
	case !errors.Is(err, io.EOF):
		return out, errs.Wrap(err, errs.Corrupt, "compressed array")
	}
	return buffer.Bytes(), nil
}

var inflaterPool = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
