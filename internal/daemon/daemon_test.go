package daemon

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/settings"
)

// TestLive guards against a panic in a daemon that was made without New, as those of the simulation are, when its
// session requests the seeds.
func TestLive(t *testing.T) {
	Convey("Given a daemon without a watcher of its settings", t, func() {
		d := &Daemon{Settings: settings.Settings{Seeds: []string{"a"}}}
		Convey("its session uses the seeds of its start", func() {
			So(d.NewSessionClient(nil).Seeds(), ShouldResemble, []string{"a"})
			So(d.CurrentSettings().Seeds, ShouldResemble, []string{"a"})
		})
		Convey("with a watcher it uses the newest", func() {
			seeds := d.NewSessionClient(nil).Seeds
			d.current.Store(&settings.Settings{Seeds: []string{"b"}})
			So(seeds(), ShouldResemble, []string{"b"})
			So(d.CurrentSettings().Seeds, ShouldResemble, []string{"b"})
		})
	})
}
