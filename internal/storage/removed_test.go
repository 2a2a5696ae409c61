package storage

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// recordingFolder is a folder that records the content of removed files. A file that was removed without a sync of its
// folder may exist again after a power loss, independently of others.
type recordingFolder struct {
	*trackingFolder
	removed map[string][]byte
}

func (f *recordingFolder) Remove(name string) error {
	raw, err := f.Folder.Read(name)
	if err != nil {
		return err
	}
	f.removed[name] = raw
	return f.Folder.Remove(name)
}

// TestRemovedNamesComeBack checks that the state of the groups is unchanged whichever of the removed segments exist
// again after a power loss.
func TestRemovedNamesComeBack(t *testing.T) {
	Convey("Given a log from which segments have been removed", t, func() {
		dir := t.TempDir()
		files := &recordingFolder{newTrackingFolder(dir), map[string][]byte{}}
		l, _, err := Open(files, Options{SegmentBytes: 400})
		So(err, ShouldBeNil)
		for i := int64(1); i < 40; i++ {
			persistEntries(l, 1, i, i, 1)
			persistEntries(l, 2, i, i, 1)
		}
		saveSlot(l, 1, 30, 39)
		saveSlot(l, 2, 20, 39)
		persistEntries(l, 1, 40, 40, 1)
		persistEntries(l, 2, 35, 35, 2) // replaces a tail
		l.Close()
		files.Close()
		names := slices.Sorted(maps.Keys(files.removed))
		So(len(names), ShouldBeGreaterThan, 4)
		whole := newTrackingFolder(dir)
		l, want, err := Open(whole, Options{SegmentBytes: 400})
		So(err, ShouldBeNil)
		l.Close()
		whole.Close()
		for back := range 1 << min(len(names), 6) {
			Convey(fmt.Sprintf("if those of the bit mask %06b exist again, the state is unchanged", back), func() {
				for i, name := range names[:min(len(names), 6)] {
					if back>>i&1 == 1 {
						So(os.WriteFile(filepath.Join(dir, name), files.removed[name], 0o644), ShouldBeNil)
					}
				}
				l, got := reopen(dir, Options{SegmentBytes: 400})
				So(l.HasLostData(), ShouldBeFalse)
				for id, held := range want {
					So(got[id].Hard, ShouldResemble, held.Hard)
					So(got[id].Snapshot, ShouldResemble, held.Snapshot)
					So(got[id].Log, ShouldResemble, held.Log)
					So(got[id].IsDamaged, ShouldBeFalse)
				}
				persistEntries(l, 1, 41, 41, 1)
				saveSlot(l, 1, 41, 41)
				saveSlot(l, 2, 35, 35)
				So(l.Segments(), ShouldEqual, 1) // those that exist again are removed again
				l.Close()
			})
		}
	})
}
