package storage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// trackingFolder is a folder that tracks how many bytes of each file are written and how many are synced. failAt
// makes the nth write fail.
type trackingFolder struct {
	*Folder
	written map[string]int64
	synced  map[string]int64
	failAt  int
}

type trackingFile struct {
	File
	f    *trackingFolder
	name string
}

func (f *trackingFolder) Open(name string) (File, error) {
	file, err := f.Folder.Open(name)
	return &trackingFile{file, f, name}, err
}

func (w *trackingFile) Write(raw []byte) (int, error) {
	if w.f.failAt--; w.f.failAt == 0 {
		return 0, errs.New(errs.Disk, "caused by the test")
	}
	w.f.written[w.name] += int64(len(raw))
	return w.File.Write(raw)
}

func (w *trackingFile) Sync() error {
	w.f.synced[w.name] = w.f.written[w.name]
	return nil
}

func (f *trackingFolder) Sync(name string) error {
	raw, err := f.Folder.Read(name)
	f.written[name], f.synced[name] = int64(len(raw)), int64(len(raw))
	return err
}

func newTrackingFolder(dir string) *trackingFolder {
	folder, err := OpenFolder(dir)
	So(err, ShouldBeNil)
	return &trackingFolder{Folder: folder, written: map[string]int64{}, synced: map[string]int64{}}
}

// persistEntries persists the entries of a group from one index to another, and waits until they are synced.
func persistEntries(l *Log, id, from, to, term int64) {
	got := make(chan error, 1)
	entries := []wire.Entry{}
	for i := from; i <= to; i++ {
		entries = append(entries, wire.Entry{Index: i, Term: term, Data: []byte(fmt.Sprint(i))})
	}
	l.Persist(id, &group.DurableUpdate{Hard: &group.HardState{Term: term, Vote: "a"}, Entries: entries}, func(err error) { got <- err })
	So(<-got, ShouldBeNil)
}

// saveSlot saves a slot with a snapshot up to index and the entries from there to last, and waits until it is written.
func saveSlot(l *Log, id, index, last int64) {
	got := make(chan error, 1)
	entries := []wire.Entry{}
	for i := index + 1; i <= last; i++ {
		entries = append(entries, wire.Entry{Index: i, Term: 1})
	}
	l.SaveSlot(id, group.HardState{Term: 1}, &group.Snapshot{Index: index, Term: 1, Roster: []string{"a"}, State: []byte("state")},
		&group.DurableUpdate{Entries: entries}, func(err error) { got <- err })
	So(<-got, ShouldBeNil)
}

func reopen(dir string, opts Options) (*Log, map[int64]*StoredGroup) {
	l, held, err := Open(newTrackingFolder(dir), opts)
	So(err, ShouldBeNil)
	return l, held
}

func TestLogAndSlots(t *testing.T) {
	Convey("Given a disk with two groups", t, func() {
		dir := t.TempDir()
		files := newTrackingFolder(dir)
		l, _, err := Open(files, Options{SegmentBytes: 400})
		So(err, ShouldBeNil)
		persistEntries(l, 1, 1, 3, 1)
		persistEntries(l, 2, 1, 2, 1)
		Convey("everything that was synced is read again", func() {
			l.Close()
			files.Close()
			_, held := reopen(dir, Options{})
			So(len(held[1].Log), ShouldEqual, 3)
			So(held[2].Hard, ShouldResemble, group.HardState{Term: 1, Vote: "a"})
		})
		Convey("a replaced tail stays replaced", func() {
			persistEntries(l, 1, 2, 2, 2)
			l.Close()
			files.Close()
			_, held := reopen(dir, Options{})
			So(len(held[1].Log), ShouldEqual, 2)
			So(held[1].Log[1].Term, ShouldEqual, 2)
		})
		Convey("segments are removed once the slots of all groups cover them", func() {
			for i := int64(4); i < 60; i++ {
				persistEntries(l, 1, i, i, 1)
			}
			So(l.Segments(), ShouldBeGreaterThan, 5)
			saveSlot(l, 1, 50, 59)
			So(l.Segments(), ShouldBeGreaterThan, 5) // group 2 still needs the first one
			So(l.GroupsHoldingSegments([]int64{1, 2}), ShouldResemble, []int64{2})
			saveSlot(l, 2, 2, 2)
			So(l.Segments(), ShouldEqual, 1)
			l.Close()
			files.Close()
			_, held := reopen(dir, Options{})
			So(held[1].Snapshot.Index, ShouldEqual, 50)
			So(len(held[1].Log), ShouldEqual, 9)
			So(held[1].IsDamaged, ShouldBeFalse)
		})
		Convey("a second process cannot open the folder", func() {
			_, err := OpenFolder(dir)
			So(errs.Is(err, errs.Conflict), ShouldBeTrue)
		})
		Convey("a failed write is reported and stops the log", func() {
			files.failAt = 1
			got := make(chan error, 2)
			l.Persist(1, &group.DurableUpdate{}, func(err error) { got <- err })
			So(errs.Is(<-got, errs.Disk), ShouldBeTrue)
			<-l.done
			l.Persist(1, &group.DurableUpdate{}, func(err error) { got <- err })
			So(errs.Is(<-got, errs.Disk), ShouldBeTrue)
		})
	})
}

// TestDamage checks what is detected after a crash or corruption on disk.
func TestDamage(t *testing.T) {
	cases := []struct {
		name      string
		hurt      func(raw []byte) []byte
		isDamaged bool
		log       int
	}{
		{"nothing", func(raw []byte) []byte { return raw }, false, 5},
		{"a torn tail", func(raw []byte) []byte { return raw[:len(raw)-3] }, false, 4},
		{"garbage after the tail", func(raw []byte) []byte { return append(raw, recordMagic...) }, false, 5},
		{"a flipped bit in the last record", func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw }, false, 4},
		{"a flipped bit in a synced record", func(raw []byte) []byte { raw[30] ^= 1; return raw }, true, 0},
	}
	Convey("A log of five records", t, func() {
		for _, c := range cases {
			Convey("with "+c.name, func() {
				dir := t.TempDir()
				l, _, err := Open(newTrackingFolder(dir), Options{})
				So(err, ShouldBeNil)
				for i := int64(1); i <= 5; i++ {
					persistEntries(l, 1, i, i, 1)
				}
				persistEntries(l, 2, 1, 1, 1)
				saveSlot(l, 2, 1, 1)
				l.Close()
				l.files.(*trackingFolder).Close()
				folder := newTrackingFolder(dir)
				raw, err := folder.Read(segmentName(1))
				So(err, ShouldBeNil)
				// The record of group 2 is the last one: cut it off first.
				at := 0
				for range 5 {
					_, _, size := readRecord(raw[at:])
					at += size
				}
				So(folder.Write(segmentName(1), c.hurt(raw[:at])), ShouldBeNil)
				folder.Close()
				l, held := reopen(dir, Options{})
				So(l.HasLostData(), ShouldEqual, c.isDamaged)
				if c.isDamaged {
					So(held[1], ShouldBeNil)
				} else {
					So(held[1].IsDamaged, ShouldBeFalse)
					So(len(held[1].Log), ShouldEqual, c.log)
				}
				So(held[2].IsDamaged, ShouldBeFalse) // its slot covers the lost record
			})
		}
	})
}

func TestPairFallsBack(t *testing.T) {
	Convey("Given a pair written three times", t, func() {
		files := newTrackingFolder(t.TempDir())
		pair, raw, _, err := OpenPair(files, "x")
		So(err, ShouldBeNil)
		So(raw, ShouldBeNil)
		for _, text := range []string{"one", "two", "three"} {
			So(pair.Save([]byte(text)), ShouldBeNil)
		}
		_, raw, isTorn, _ := OpenPair(files, "x")
		So(string(raw), ShouldEqual, "three")
		So(isTorn, ShouldBeFalse)
		Convey("if the newest slot is torn, at any length, the other one is read", func() {
			body, err := files.Read(pair.file(3))
			So(err, ShouldBeNil)
			for range 10 {
				So(files.Folder.Write(pair.file(3), body[:rand.New(rand.NewPCG(1, 1)).IntN(len(body))]), ShouldBeNil)
				_, raw, isTorn, _ := OpenPair(files, "x")
				So(string(raw), ShouldEqual, "two")
				So(isTorn, ShouldBeTrue)
			}
		})
	})
}
