package slot

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// slow is a folder whose log segments sync only when they are let.
type slow struct {
	*Folder
	let chan bool
}

type slowFile struct {
	File
	let chan bool
}

func (f *slow) Open(name string) (File, error) {
	file, err := f.Folder.Open(name)
	return &slowFile{file, f.let}, err
}

func (f *slowFile) Sync() error {
	<-f.let
	return f.File.Sync()
}

// TestWaiting: nothing once told how much a disk that stalls had yet to write,
// so that intake went on until memory was full.
func TestWaiting(t *testing.T) {
	Convey("Given a disk that stalls", t, func() {
		folder, err := OpenFolder(t.TempDir())
		So(err, ShouldBeNil)
		let := make(chan bool)
		l, _, err := Open(&slow{folder, let}, Options{})
		So(err, ShouldBeNil)
		done := make(chan error, 100)
		for i := range int64(100) {
			entries := []wire.Entry{{Index: i + 1, Data: make([]byte, 10<<10)}}
			l.Persist(1, &group.Persist{Entries: entries}, func(err error) { done <- err })
		}
		So(l.Waiting(), ShouldBeGreaterThanOrEqualTo, 100*10<<10)
		Convey("nothing waits once it goes on", func() {
			close(let)
			for range 100 {
				So(<-done, ShouldBeNil)
			}
			So(l.Waiting(), ShouldEqual, 0)
		})
	})
}
