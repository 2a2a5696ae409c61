// Package transport implements the links between daemons over TCP. A Node accepts sessions and holds one
// Peer per link and address; every daemon has one Node, made by package daemon. The data path follows
// chapter 3 of Suriarachchi's thesis: messages are buffered per peer up to a count, a worker pool encodes
// each buffer to one byte array that starts with the count, and one long-lived connection per peer carries
// length and array. Checksums, flow control by credits, replies, keep-alive and the handshake are
// additions.
package transport

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"caperwheel/internal/errs"
)

// A frame is a fixed header and one byte array. The header holds the array's length, its checksum, the
// batch number, and how many messages of the other direction the sender of the frame has consumed since the
// session opened.
const frameHeaderSize = 20

// compressedFlag is set in the length field if the array is compressed.
const compressedFlag = 1 << 31

// frameHeader is the decoded header of a frame.
type frameHeader struct {
	length       uint32 // of the array as sent
	isCompressed bool
	checksum     uint32 // of the array as sent
	seq          uint32
	consumed     uint64
}

// readChunkBytes is the least number of bytes by which the read buffer grows.
const readChunkBytes = 64 << 10

// castagnoli is the CRC table of the frame checksum.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode writes the header into the first frameHeaderSize bytes of raw.
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

// decodeFrameHeader reads the header from the first frameHeaderSize bytes of raw.
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

// readFrame reads one frame into a reused buffer and verifies the array's checksum.
func readFrame(r io.Reader, buffer []byte, limit int) (frameHeader, []byte, error) {
	var raw [frameHeaderSize]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		return frameHeader{}, buffer, errs.Wrap(err, errs.Lost, "read frame header")
	}
	h := decodeFrameHeader(raw[:])
	if int(h.length) > limit {
		return h, buffer, errs.New(errs.TooLarge, "frame declares an array of %d bytes, limit %d", h.length, limit)
	}
	buffer = buffer[:0]
	for len(buffer) < int(h.length) { // grows with the bytes that have arrived, not with the declared length
		at := len(buffer)
		buffer = slices.Grow(buffer, min(int(h.length)-at, max(at, readChunkBytes)))
		buffer = buffer[:min(int(h.length), cap(buffer))]
		if _, err := io.ReadFull(r, buffer[at:]); err != nil {
			return h, buffer, errs.Wrap(err, errs.Lost, "read frame array")
		}
	}
	if crc32.Checksum(buffer, castagnoli) != h.checksum {
		return h, buffer, errs.New(errs.Corrupt, "frame array does not match its checksum")
	}
	return h, buffer, nil
}
