package place

import (
	"errors"
	"fmt"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/wire"
)

func notified(id string) Command {
	c := take(id)
	c.Head, c.Notify = []byte("POST /a\nx\n"), "http://10.0.0.9:1/x"
	return c
}

func succeededAndDropped(id string, attempt int64) Command {
	c := runSucceeded(id, attempt)
	c.DropsBody = true
	return c
}

func markNotified(ids ...string) Command { return Command{Kind: CmdNotified, Ids: ids} }

func applyAll(m *Machine, commands ...Command) *Machine {
	for _, c := range commands {
		m.Apply(c)
	}
	return m
}

func ids(list []*Message) []string {
	out := []string{}
	for _, e := range list {
		out = append(out, e.Id)
	}
	return out
}

// TestOwed checks which callers must still be notified of the outcome of their messages, on a running place and on one
// that a new owner has restored.
func TestOwed(t *testing.T) {
	cases := []struct {
		name     string
		commands []Command
		pending  []string
		bytes    int64
	}{
		{"none while the message is held", []Command{notified("1")}, []string{}, 12},
		{"none while it runs", []Command{notified("1"), start("1", 1)}, []string{}, 12},
		{"a success", []Command{notified("1"), start("1", 1), runSucceeded("1", 1)}, []string{"1"}, 12},
		{"a failure", []Command{notified("1"), start("1", 1), closedAs("1", 1, Failed)}, []string{"1"}, 12},
		{"a message that expired without a run", []Command{notified("1"), closedAs("1", 0, Expired)}, []string{"1"}, 12},
		{"none for a caller that gave no URL", []Command{take("1"), start("1", 1), runSucceeded("1", 1)}, []string{}, 2},
		{"none once it is notified", []Command{notified("1"), start("1", 1), runSucceeded("1", 1), markNotified("1")}, []string{}, 12},
		{"none after repeated notifications, some of unknown messages", []Command{notified("1"), start("1", 1), runSucceeded("1", 1), markNotified("1", "9"), markNotified("1")}, []string{}, 12},
		{"a success whose notification was recorded too early", []Command{notified("1"), markNotified("1"), start("1", 1), runSucceeded("1", 1)}, []string{"1"}, 12},
		{"all but the notified ones", []Command{notified("2"), notified("1"), start("1", 1), runSucceeded("1", 1), start("2", 1), runSucceeded("2", 1), markNotified("2")}, []string{"1"}, 24},
		{"none once the message is forgotten", []Command{notified("1"), start("1", 1), runSucceeded("1", 1), {Kind: CmdTrim, Ids: []string{"1"}}}, []string{}, 0},
		{"a success whose body is dropped and whose head is kept", []Command{notified("1"), start("1", 1), succeededAndDropped("1", 1)}, []string{"1"}, 10},
		{"… and the head is dropped once it is notified", []Command{notified("1"), start("1", 1), succeededAndDropped("1", 1), markNotified("1")}, []string{}, 0},
		{"none; a failure keeps its body, also where successes do not", []Command{notified("1"), start("1", 1), {Kind: CmdClose, Id: "1", Attempt: 1, State: "failed", DropsBody: true}, markNotified("1")}, []string{}, 12},
		{"none; the head is dropped with the body if there is nobody to notify", []Command{{Kind: CmdTake, Id: "1", Head: []byte("h"), Body: []byte("b"), Deadline: 9}, start("1", 1), succeededAndDropped("1", 1)}, []string{}, 0},
	}
	Convey("Pending notifications:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := applyAll(New(), c.commands...)
				again, err := Restore(m.Snapshot())
				So(err, ShouldBeNil)
				for _, m := range []*Machine{m, again} {
					So(ids(m.PendingNotifications()), ShouldResemble, c.pending)
					So(m.CountPendingNotifications(), ShouldEqual, len(c.pending))
					_, bytes := m.Count()
					So(bytes, ShouldEqual, c.bytes)
					m.RebuildQueue() // as a new owner does
					So(ids(m.PendingNotifications()), ShouldResemble, c.pending)
				}
			})
		}
	})
}

// TestDelays checks that no message is due before its delay has passed since its acceptance.
func TestDelays(t *testing.T) {
	Convey("A delayed message is due when its delay is over, also for a new owner", t, func() {
		late := take("1")
		late.At, late.Delay, late.Deadline = 500, 2000, 9000
		m := applyAll(New(), late)
		So(m.Find("1").Due, ShouldEqual, 2500)
		again, err := Restore(m.Snapshot())
		So(err, ShouldBeNil)
		So(again.Find("1").Due, ShouldEqual, 2500)
	})
}

// isDecodeRefused reports whether decoding was refused. io.EOF does not count, since a build of version 1 accepts a
// record that ends early as a whole one.
func isDecodeRefused(err error) bool { return err != nil && !errors.Is(err, io.EOF) }

// TestVersions checks that this build reads the records of version 1, and that version 1 refuses records with newer
// fields. With prefixes of a single byte, version 1 misread such records at some place times, as commands without
// effect.
func TestVersions(t *testing.T) {
	oldCommand, oldImage := wire.NewRecordCodec(&Command{}), wire.NewRecordCodec(&snapshot{})
	Convey("A command without newer fields is encoded as in version 1, and decoded again", t, func() {
		for _, c := range []Command{take("1"), start("1", 1), runSucceeded("1", 1), runFailed("1", 1), closedAs("1", 1, Failed), tombstone("1")} {
			c.Ids = []string{}
			So(c.Encode(), ShouldResemble, oldCommand.Encode(&c))
			got, err := Decode(oldCommand.Encode(&c))
			So(err, ShouldBeNil)
			So(got.Encode(), ShouldResemble, c.Encode())
		}
	})
	Convey("A snapshot without newer fields is encoded as in version 1, and decoded again", t, func() {
		m := applyAll(New(), take("1"), ordered("2"), start("1", 1), runSucceeded("1", 1))
		var in snapshot
		So(oldImage.Decode(m.Snapshot(), &in), ShouldBeNil)
		So(oldImage.Encode(&in), ShouldResemble, m.Snapshot())
		again, err := Restore(m.Snapshot())
		So(err, ShouldBeNil)
		So(again.Snapshot(), ShouldResemble, m.Snapshot())
	})
	Convey("Records with newer fields are decoded by this build, and refused by version 1 at any place time", t, func() {
		for _, at := range []int64{0, 1, 2, 3, 5, 8, 13, 40, 90, 700, 60_000, 1 << 33} {
			for name, c := range map[string]Command{"head": notified("1"), "delay": {Kind: CmdTake, Id: "1", Delay: 5}, "drop": succeededAndDropped("1", 1)} {
				c.At = at
				got, err := Decode(c.Encode())
				So(err, ShouldBeNil)
				So(got.Encode(), ShouldResemble, c.Encode())
				SoMsg(fmt.Sprintf("%s at %d", name, at), isDecodeRefused(oldCommand.Decode(c.Encode(), &Command{})), ShouldBeTrue)
			}
			c := notified("1")
			c.At = at
			m := applyAll(New(), c)
			again, err := Restore(m.Snapshot())
			So(err, ShouldBeNil)
			So(again.Snapshot(), ShouldResemble, m.Snapshot())
			SoMsg(fmt.Sprintf("snapshot at %d", at), isDecodeRefused(oldImage.Decode(m.Snapshot(), &snapshot{})), ShouldBeTrue)
		}
	})
}
