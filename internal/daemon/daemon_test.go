package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/settings"
)

// TestLive: a daemon made without New, as hollow ones are, once ended the
// process when its session asked for the seeds.
func TestLive(t *testing.T) {
	Convey("Given a daemon whose settings nobody watches", t, func() {
		d := &Daemon{Settings: settings.Settings{Seeds: []string{"a"}}}
		Convey("its session turns to the seeds of its start", func() {
			So(d.NewSessionClient(nil).Seeds(), ShouldResemble, []string{"a"})
			So(d.CurrentSettings().Seeds, ShouldResemble, []string{"a"})
		})
		Convey("once they are watched, to the newest", func() {
			seeds := d.NewSessionClient(nil).Seeds
			d.current.Store(&settings.Settings{Seeds: []string{"b"}})
			So(seeds(), ShouldResemble, []string{"b"})
			So(d.CurrentSettings().Seeds, ShouldResemble, []string{"b"})
		})
	})
}
