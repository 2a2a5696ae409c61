package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// record is what the log holds of one step of one group.
type record struct {
	Group       int64        `avro:"group"`
	HasHard     bool         `avro:"has_hard"`
	Term        int64        `avro:"term"`
	Vote        string       `avro:"vote"`
	Commit      int64        `avro:"commit"`
	Entries     []wire.Entry `avro:"entries"`
	HasSnapshot bool         `avro:"has_image"`
	Index       int64        `avro:"index"`
	LogTerm     int64        `avro:"log_term"`
	Roster      []string     `avro:"roster"`
	State       []byte       `avro:"state"`
}

// whole is a group's slot: all of its state at a position of the log.
type slotState struct {
	Segment int64  `avro:"segment"`
	Offset  int64  `avro:"offset"`
	State   record `avro:"all"`
}

var (
	recordCodec = wire.NewRecordCodec(&record{})
	slotCodec   = wire.NewRecordCodec(&slotState{})
)

func toRecord(id int64, p *group.DurableUpdate) record {
	r := record{Group: id, Entries: p.Entries, Roster: []string{}}
	if r.Entries == nil {
		r.Entries = []wire.Entry{}
	}
	if p.Hard != nil {
		r.HasHard, r.Term, r.Vote, r.Commit = true, p.Hard.Term, p.Hard.Vote, p.Hard.Commit
	}
	if p.Snapshot != nil {
		r.HasSnapshot, r.Index, r.LogTerm = true, p.Snapshot.Index, p.Snapshot.Term
		r.Roster, r.State = p.Snapshot.Roster, p.Snapshot.State
	}
	return r
}

// groupOf returns the group of an encoded record without decoding the rest: it is the
// record's first field. It reports false where there is none.
func groupOf(body []byte) (id int64, isWhole bool) {
	id, size := binary.Varint(body)
	return id, size > 0
}

// StoredGroup is a group as the disk has it.
type StoredGroup struct {
	Hard      group.HardState
	Snapshot  *group.Snapshot
	Log       []wire.Entry
	IsDamaged bool // something synced was lost: rebuild from peers
}

func (h *StoredGroup) base() int64 {
	if h.Snapshot != nil {
		return h.Snapshot.Index
	}
	return 0
}

// apply takes one record in, as the replica's log did.
func (h *StoredGroup) apply(r *record) {
	if r.HasSnapshot {
		h.Snapshot = &group.Snapshot{Index: r.Index, Term: r.LogTerm, Roster: r.Roster, State: r.State}
		h.Log = nil
	}
	if r.HasHard {
		h.Hard = group.HardState{Term: r.Term, Vote: r.Vote, Commit: r.Commit}
	}
	if len(r.Entries) == 0 {
		return
	}
	keep := r.Entries[0].Index - h.base() - 1
	if keep < 0 || keep > int64(len(h.Log)) {
		h.IsDamaged = true // a gap: a record between is missing
		return
	}
	h.Log = append(h.Log[:keep], r.Entries...)
}

// A log record is a head and an Avro body. synced is how much of the segment
// was known to be on disk when the record was written: it tells a torn tail,
// which was never promised, from damage to something that was.
const recordHeaderBytes = 4 + 4 + 4 + 8

var recordMagic = []byte{0xca, 0x9e, 0x10, 0x91}

func appendRecord(into []byte, body []byte, synced int64) []byte {
	tail := binary.BigEndian.AppendUint64(nil, uint64(synced))
	sum := crc32.Update(crc32.Checksum(tail, castagnoli), castagnoli, body)
	into = append(into, recordMagic...)
	into = binary.BigEndian.AppendUint32(into, uint32(len(body)))
	into = binary.BigEndian.AppendUint32(into, sum)
	return append(append(into, tail...), body...)
}

// readRecord reads the record at the start of raw. size 0 means none is whole.
func readRecord(raw []byte) (body []byte, synced int64, size int) {
	if len(raw) < recordHeaderBytes || !bytes.Equal(raw[:4], recordMagic) {
		return nil, 0, 0
	}
	length := int(binary.BigEndian.Uint32(raw[4:]))
	if length > len(raw)-recordHeaderBytes {
		return nil, 0, 0
	}
	body = raw[recordHeaderBytes : recordHeaderBytes+length]
	if crc32.Update(crc32.Checksum(raw[12:recordHeaderBytes], castagnoli), castagnoli, body) != binary.BigEndian.Uint32(raw[8:]) {
		return nil, 0, 0
	}
	return body, int64(binary.BigEndian.Uint64(raw[12:])), recordHeaderBytes + length
}

// wasSynced looks behind a broken record at offset for a whole one that was
// written after the broken one had been synced.
func wasSynced(raw []byte, offset int) bool {
	for at := offset + 1; ; {
		next := bytes.Index(raw[at:], recordMagic)
		if next < 0 {
			return false
		}
		at += next
		if _, synced, size := readRecord(raw[at:]); size > 0 && synced > int64(offset) {
			return true
		}
		at++
	}
}
