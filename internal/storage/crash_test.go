package storage

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeathThenPower: a process that dies leaves writes that it never synced.
// Its next life once acted on them; when power was lost later, they were gone,
// and the store took its groups for damaged.
func TestDeathThenPower(t *testing.T) {
	Convey("Given a record that was written and not synced when its process died", t, func() {
		dir := t.TempDir()
		l, _, err := Open(newLossyFolder(dir), Options{})
		So(err, ShouldBeNil)
		persistEntries(l, 1, 1, 3, 1)
		saveSlot(l, 1, 2, 3)
		l.Close()
		l.files.(*lossyFolder).Close()
		at := filepath.Join(dir, segmentName(1))
		raw, err := os.ReadFile(at)
		So(err, ShouldBeNil)
		synced := int64(len(raw))
		last := recordCodec.Encode(&record{Group: 1, HasHard: true, Term: 1, Roster: []string{}})
		So(os.WriteFile(at, appendRecord(raw, last, synced), 0o644), ShouldBeNil)
		Convey("its next life syncs what it read before it acts on it", func() {
			files := newLossyFolder(dir)
			l, _, err := Open(files, Options{})
			So(err, ShouldBeNil)
			So(files.synced[segmentName(1)], ShouldBeGreaterThan, synced)
			So(files.synced[groupFile(1)+".1"], ShouldBeGreaterThan, 0)
			l.Close()
			files.Close()
		})
	})
}
