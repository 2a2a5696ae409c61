package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// record is the log record of one step of one group.
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

// slotState is the content of a slot: the whole state of a group as of a position in the log.
type slotState struct {
	Segment int64  `avro:"segment"`
	Offset  int64  `avro:"offset"`
	State   record `avro:"all"`
}

var (
	recordCodec = wire.NewRecordCodec(&record{})
	slotCodec   = wire.NewRecordCodec(&slotState{})
)

// toRecord returns the log record for a durable update of a group.
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

// groupOf returns the group of an encoded record without decoding the rest, as it is the first field. It returns
// false if there is no valid number.
func groupOf(body []byte) (id int64, isValid bool) {
	id, size := binary.Varint(body)
	return id, size > 0
}

// StoredGroup is the state of a group as read from disk.
type StoredGroup struct {
	Hard      group.HardState
	Snapshot  *group.Snapshot
	Log       []wire.Entry
	IsDamaged bool // synced data was lost, so the replica must be rebuilt from its peers
}

// base returns the index of the snapshot; 0 for none.
func (h *StoredGroup) base() int64 {
	if h.Snapshot != nil {
		return h.Snapshot.Index
	}
	return 0
}

// apply applies one record, with the same effect as the durable update that it was written for.
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
		h.IsDamaged = true // a gap: the record in between is missing
		return
	}
	h.Log = append(h.Log[:keep], r.Entries...)
}

// recordHeaderBytes is the size of a log record's header, which precedes an Avro body: magic, length, checksum, and how
// many bytes of the segment had been synced when the record was written. The last distinguishes a torn tail, which was
// never acknowledged, from damage to synced records.
const recordHeaderBytes = 4 + 4 + 4 + 8

// recordMagic is the start of each log record, by which wasSynced finds records after a broken one.
var recordMagic = []byte{0xca, 0x9e, 0x10, 0x91}

// appendRecord appends an encoded record with its header; synced is the number of bytes of the segment that are synced.
func appendRecord(into []byte, body []byte, synced int64) []byte {
	tail := binary.BigEndian.AppendUint64(nil, uint64(synced))
	sum := crc32.Update(crc32.Checksum(tail, castagnoli), castagnoli, body)
	into = append(into, recordMagic...)
	into = binary.BigEndian.AppendUint32(into, uint32(len(body)))
	into = binary.BigEndian.AppendUint32(into, sum)
	return append(append(into, tail...), body...)
}

// readRecord reads the record at the start of raw. A size of 0 means that there is no intact one.
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

// wasSynced reports whether a broken record at offset had been synced. If so, and if any intact record was written
// after that, its header says so.
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
