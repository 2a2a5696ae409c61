package place

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWhere checks what a message waits for.
func TestWhere(t *testing.T) {
	delayed := take("0")
	delayed.Delay = 500
	paused := runFailed("0", 1)
	paused.Deadline = 80
	short := take("0")
	short.Deadline = 50
	pick := func(m *Machine) { m.Pick("l", 100) }
	cases := []struct {
		text     string
		commands []Command
		then     func(m *Machine)
		id       string
		want     WaitStatus
		isKnown  bool
	}{
		{"a slot if it may run", []Command{take("0")}, nil, "0", WaitStatus{WaitSlot, "", 100, -1}, true},
		{"its delay", []Command{delayed}, nil, "0", WaitStatus{WaitTime, "", -1, 400}, true},
		{"a slot, once the backoff between two runs is over", []Command{take("0"), start("0", 1), paused, timeMarkAt(20)}, nil, "0", WaitStatus{WaitSlot, "", 20, -1}, true},
		{"another message of its key", []Command{ordered("0"), ordered("1")}, nil, "1", WaitStatus{WaitKey, "0", -1, -1}, true},
		{"its start once it is picked", []Command{take("0")}, pick, "0", WaitStatus{WaitStart, "", 100, -1}, true},
		{"its run", []Command{take("0"), start("0", 1)}, nil, "0", WaitStatus{WaitRun, "", -1, -1}, true},
		{"its end once its deadline is over", []Command{short}, nil, "0", WaitStatus{WaitEnd, "", 50, -1}, true},
		{"nothing once it is over", []Command{take("0"), start("0", 1), runSucceeded("0", 1)}, nil, "0", WaitStatus{WaitNothing, "", -1, -1}, true},
		{"nothing if it is unknown", nil, nil, "0", WaitStatus{WaitNothing, "", -1, -1}, false},
	}
	Convey("At place time 100 a message waits for", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				m := applyAll(New(), c.commands...)
				if c.then != nil {
					c.then(m)
				}
				got, isKnown := m.WaitStatus(c.id, 100)
				So(got, ShouldResemble, c.want)
				So(isKnown, ShouldEqual, c.isKnown)
			})
		}
	})
}

// TestDelayed checks how many messages are delayed, and how long until the first of them may run.
func TestDelayed(t *testing.T) {
	delayed := func(id string, delay int64) Command {
		c := take(id)
		c.Delay = delay
		return c
	}
	Convey("Of messages with delays of 500 and 300 and one without, two wait at place time 100", t, func() {
		m := applyAll(New(), delayed("0", 500), delayed("1", 300), take("2"))
		count, first := m.Delayed(100)
		So([]int64{int64(count), first}, ShouldResemble, []int64{2, 200})
		Convey("and none once their delays are over", func() {
			m.Ready(500)
			count, first := m.Delayed(500)
			So([]int64{int64(count), first}, ShouldResemble, []int64{0, 0})
		})
	})
}
