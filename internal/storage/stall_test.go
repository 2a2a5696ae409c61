package storage

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// stallingFolder is a folder whose log segments sync only when the test allows it.
type stallingFolder struct {
	*Folder
	release chan bool
}

type stallingFile struct {
	File
	release chan bool
}

func (f *stallingFolder) Open(name string) (File, error) {
	file, err := f.Folder.Open(name)
	return &stallingFile{file, f.release}, err
}

func (f *stallingFile) Sync() error {
	<-f.release
	return f.File.Sync()
}

// TestWaiting guards against accepting messages until memory is full while the disk stalls, as happened when the
// unsynced bytes were not counted.
func TestWaiting(t *testing.T) {
	Convey("Given a disk that stalls", t, func() {
		folder, err := OpenFolder(t.TempDir())
		So(err, ShouldBeNil)
		let := make(chan bool)
		l, _, err := Open(&stallingFolder{folder, let}, Options{})
		So(err, ShouldBeNil)
		done := make(chan error, 100)
		for i := range int64(100) {
			entries := []wire.Entry{{Index: i + 1, Data: make([]byte, 10<<10)}}
			l.Persist(1, &group.DurableUpdate{Entries: entries}, func(err error) { done <- err })
		}
		So(l.UnsyncedBytes(), ShouldBeGreaterThanOrEqualTo, 100*10<<10)
		Convey("no bytes are unsynced once the disk continues", func() {
			close(let)
			for range 100 {
				So(<-done, ShouldBeNil)
			}
			So(l.UnsyncedBytes(), ShouldEqual, 0)
		})
	})
}
