package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeathThenPower guards against acting on records that a crashed process wrote and never synced: they were lost
// in a later power loss, and the store regarded its groups as damaged.
func TestDeathThenPower(t *testing.T) {
	Convey("Given a record that was written and not synced when its process crashed", t, func() {
		dir := t.TempDir()
		l, _, err := Open(newTrackingFolder(dir), Options{})
		So(err, ShouldBeNil)
		persistEntries(l, 1, 1, 3, 1)
		saveSlot(l, 1, 2, 3)
		l.Close()
		l.files.(*trackingFolder).Close()
		at := filepath.Join(dir, segmentName(1))
		raw, err := os.ReadFile(at)
		So(err, ShouldBeNil)
		synced := int64(len(raw))
		last := recordCodec.Encode(&record{Group: 1, HasHard: true, Term: 1, Roster: []string{}})
		So(os.WriteFile(at, appendRecord(raw, last, synced), 0o644), ShouldBeNil)
		Convey("the next process syncs what it has read before it acts on it", func() {
			files := newTrackingFolder(dir)
			l, _, err := Open(files, Options{})
			So(err, ShouldBeNil)
			So(files.synced[segmentName(1)], ShouldBeGreaterThan, synced)
			So(files.synced[groupFile(1)+".1"], ShouldBeGreaterThan, 0)
			l.Close()
			files.Close()
		})
	})
}
