// Package transport is the daemon-to-daemon link of caperwheel. The ordinary
// path is that of Suriarachchi's thesis (chapter 3): messages are buffered per
// peer up to a count, a pool turns each buffer into one byte array that starts
// with the count, and one long-lived connection per peer carries length and
// array. Checksums, credits, replies and the handshake are ours.
package transport

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"caperwheel/internal/errs"
)

// A frame is a fixed head and one byte array. The head holds the array's
// length, its checksum, the batch number, and how many messages of the other
// direction the sender of the frame has consumed since the session opened.
const frameHeaderSize = 20

// compressedFlag is set in the length of an array that is compressed.
const compressedFlag = 1 << 31

type frameHeader struct {
	length       uint32 // of the array as it travels
	isCompressed bool
	checksum     uint32 // of the array as it travels
	seq          uint32
	consumed     uint64
}

const readChunkBytes = 64 << 10

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (h frameHeader) encode(raw []byte) {
	length := h.length
	if h.isCompressed {
		length |= compressedFlag
	}
	binary.BigEndian.PutUint32(raw[0:], length)
	binary.BigEndian.PutUint32(raw[4:], h.checksum)
	binary.BigEndian.PutUint32(raw[8:], h.seq)
	binary.BigEndian.PutUint64(raw[12:], h.consumed)
}

func decodeFrameHeader(raw []byte) frameHeader {
	length := binary.BigEndian.Uint32(raw[0:])
	return frameHeader{
		length:       length &^ compressedFlag,
		isCompressed: length&compressedFlag != 0,
		checksum:     binary.BigEndian.Uint32(raw[4:]),
		seq:          binary.BigEndian.Uint32(raw[8:]),
		consumed:     binary.BigEndian.Uint64(raw[12:]),
	}
}

// readFrame reads one frame into a reused buffer.
func readFrame(r io.Reader, buffer []byte, limit int) (frameHeader, []byte, error) {
	var raw [frameHeaderSize]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return frameHeader{}, buffer, errs.Wrap(err, errs.Lost, "read head")
	}
	h := decodeFrameHeader(raw[:])
	if int(h.length) > limit {
		return h, buffer, errs.New(errs.TooLarge, "frame of %d bytes, limit %d", h.length, limit)
	}
	buffer = buffer[:0]
	for len(buffer) < int(h.length) { // no more room is made than a told length has come true for
		at := len(buffer)
		buffer = slices.Grow(buffer, min(int(h.length)-at, max(at, readChunkBytes)))
		buffer = buffer[:min(int(h.length), cap(buffer))]
		if _, err := io.ReadFull(r, buffer[at:]); err != nil {
			return h, buffer, errs.Wrap(err, errs.Lost, "read array")
		}
	}
	if crc32.Checksum(buffer, castagnoli) != h.checksum {
		return h, buffer, errs.New(errs.Corrupt, "frame checksum")
	}
	return h, buffer, nil
}
