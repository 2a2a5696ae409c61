package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"caperwheel/internal/errs"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Pair is a pair of slots that are written alternately. Invariant: the newest intact slot is valid, and a write never
// touches it.
type Pair struct {
	files    FileSystem
	name     string
	sequence uint64
}

// slotHeaderBytes is the size of a slot's header: sequence number, length and checksum of the content.
const slotHeaderBytes = 8 + 4 + 4

// OpenPair reads the newest intact slot; raw is nil if there is none. isTorn reports whether a slot was found that is
// not intact.
func OpenPair(files FileSystem, name string) (p *Pair, raw []byte, isTorn bool, err error) {
	p = &Pair{files: files, name: name}
	for turn := range uint64(2) {
		got, err := files.Read(p.file(turn))
		if errs.Is(err, errs.Unknown) {
			continue
		}
		if err != nil {
			return p, nil, false, err
		}
		sequence, body, isIntact := readSlot(got)
		if !isIntact {
			isTorn = true
			continue
		}
		if raw == nil || sequence > p.sequence {
			p.sequence, raw = sequence, body
		}
	}
	if raw != nil { // a process that crashed may not have synced what has been read
		err = files.Sync(p.file(p.sequence))
	}
	return p, raw, isTorn, err
}

func (p *Pair) file(turn uint64) string { return fmt.Sprintf("%s.%d", p.name, turn%2) }

// readSlot checks the header and the checksum of a slot, and returns its sequence number and content.
func readSlot(got []byte) (sequence uint64, body []byte, isIntact bool) {
	if len(got) < slotHeaderBytes {
		return 0, nil, false
	}
	sequence = binary.BigEndian.Uint64(got)
	size, sum := binary.BigEndian.Uint32(got[8:]), binary.BigEndian.Uint32(got[12:])
	body = got[slotHeaderBytes:]
	if uint32(len(body)) != size || crc32.Update(crc32.Checksum(got[:12], castagnoli), castagnoli, body) != sum {
		return 0, nil, false
	}
	return sequence, body, true
}

// Save writes and syncs the slot that does not hold the newest content.
func (p *Pair) Save(body []byte) error {
	sequence := p.sequence + 1
	raw := binary.BigEndian.AppendUint64(nil, sequence)
	raw = binary.BigEndian.AppendUint32(raw, uint32(len(body)))
	raw = binary.BigEndian.AppendUint32(raw, crc32.Update(crc32.Checksum(raw[:12], castagnoli), castagnoli, body))
	if err := p.files.Write(p.file(sequence), append(raw, body...)); err != nil {
		return err
	}
	p.sequence = sequence
	return nil
}
