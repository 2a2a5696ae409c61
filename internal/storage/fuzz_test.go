package storage

import (
	"bytes"
	"testing"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// FuzzRecord checks that a record is read as it was written or not at all, and never beyond the end of the data.
func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, []byte("body"), 7))
	f.Add(append(bytes.Clone(recordMagic), 0xff, 0xff, 0xff, 0xff))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, synced, size := readRecord(raw)
		if size > len(raw) || size > 0 && !bytes.Equal(appendRecord(nil, body, synced), raw[:size]) {
			t.Fatalf("%d of %d bytes are read as %q", size, len(raw), body)
		}
		if size == 0 && len(raw) > 0 { // a broken record and the data after it
			wasSynced(raw, 0)
		}
		if sequence, body, isIntact := readSlot(raw); isIntact && len(body)+slotHeaderBytes != len(raw) {
			t.Fatalf("slot %d has %d bytes of %d", sequence, len(body), len(raw))
		}
	})
}

// FuzzSegment checks that a log with any tail opens or returns an error, and that an intact record before the tail is
// kept or its group is marked as damaged.
func FuzzSegment(f *testing.F) {
	one := toRecord(1, &group.DurableUpdate{Hard: &group.HardState{Term: 1, Vote: "a"}, Entries: []wire.Entry{{Index: 1, Term: 1, Data: []byte("d")}}})
	first := appendRecord(nil, recordCodec.Encode(&one), 0)
	f.Add([]byte{})
	f.Add(first)
	f.Add(first[:len(first)-1])
	f.Add(append(bytes.Clone(first), first...))
	f.Fuzz(func(t *testing.T, tail []byte) {
		folder, err := OpenFolder(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		defer folder.Close()
		if err := folder.Write(segmentName(1), append(bytes.Clone(first), tail...)); err != nil {
			t.Fatal(err)
		}
		log, held, err := Open(folder, Options{})
		if err != nil {
			return
		}
		defer log.Close()
		if h := held[1]; h == nil || !h.IsDamaged && h.Hard.Term < 1 {
			t.Fatalf("the first record is lost, and its group is not marked as damaged: %+v", h)
		}
	})
}
