package store

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// backlogAsks plays some stores with endless backlogs, each of which fills its window at one
// holder that grants a slot each time one comes free, for a second from a moment on. It returns how many asks
// were sent and how many slots were granted.
func backlogAsks(windows []*askWindow, from, hold, perSlot time.Duration) (asked, granted int) {
	type ask struct {
		store int
		until time.Duration
	}
	line, underWay := []ask{}, make([]int, len(windows))
	for now := from; now < from+time.Second; now += time.Millisecond {
		for len(line) > 0 && line[0].until <= now {
			windows[line[0].store].lapsed(now, hold)
			underWay[line[0].store]--
			line = line[1:]
		}
		if now%perSlot == 0 && len(line) > 0 {
			windows[line[0].store].granted()
			underWay[line[0].store]--
			line, granted = line[1:], granted+1
		}
		for i, w := range windows {
			for ; underWay[i] < w.limit(); underWay[i]++ {
				line, asked = append(line, ask{i, now + hold}), asked+1
			}
		}
	}
	return asked, granted
}

// TestAskWindow: under a backlog each store once kept 128 asks waiting at the holders, which
// answered thousands a second that there was no slot.
func TestAskWindow(t *testing.T) {
	const hold, perSlot = 120 * time.Millisecond, 4 * time.Millisecond
	Convey("Stores that share a busy worker ask little more often than slots are granted", t, func() {
		windows := []*askWindow{}
		for range 15 {
			windows = append(windows, newAskWindow())
		}
		for second := range time.Duration(3) { // they settle
			backlogAsks(windows, second*time.Second, hold, perSlot)
		}
		asked, granted := backlogAsks(windows, 3*time.Second, hold, perSlot)
		So(granted, ShouldBeGreaterThanOrEqualTo, int(time.Second/perSlot)-1)
		So(asked, ShouldBeLessThan, 5*granted)
	})
	Convey("A window that has shrunk is as large as before once slots are granted again", t, func() {
		w := newAskWindow()
		for now := time.Duration(0); now < 10*time.Second; now += hold {
			w.lapsed(now, hold)
		}
		So(w.limit(), ShouldEqual, leastWants)
		for range mostWants {
			w.granted()
		}
		So(w.limit(), ShouldEqual, mostWants)
	})
}
