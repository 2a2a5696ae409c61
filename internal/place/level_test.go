package place

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// keyHeld is two messages of a key, the first of which succeeds while a later run of its may go on
// until 1500.
func keyHeld(commands ...Command) *Machine {
	m := applyAll(New(), commands...)
	open, older := runFailed("0", 2), runSucceeded("0", 1)
	open.HoldsKey, open.Deadline, older.Retain = true, 1500, 100_000
	return applyAll(m, ordered("0"), ordered("1"), start("0", 1), runFailed("0", 1), start("0", 2), open, older)
}

func timeMarkAt(at int64) Command {
	c := TimeMark()
	c.At = at
	return c
}

// TestLevels is the table of what a group's feature level decides.
func TestLevels(t *testing.T) {
	Convey("A key whose message succeeded while a later run may go on", t, func() {
		cases := []struct {
			text     string
			commands []Command
			then     []Command
			isFree   bool
		}{
			{"waits as older replicas have it, while the group has agreed on nothing", nil, []Command{timeMarkAt(1600)}, false},
			{"goes on once that run must be over", []Command{RaiseLevel(LevelFreesKeys)}, []Command{timeMarkAt(1500)}, true},
			{"waits until then", []Command{RaiseLevel(LevelFreesKeys)}, []Command{timeMarkAt(1499)}, false},
			{"goes on where the level is raised later", nil, []Command{timeMarkAt(1600), RaiseLevel(LevelFreesKeys)}, true},
			{"keeps to a level that was raised before", []Command{RaiseLevel(LevelFreesKeys), RaiseLevel(0)}, []Command{timeMarkAt(1600)}, true},
		}
		for _, c := range cases {
			Convey(c.text, func() {
				m := applyAll(keyHeld(c.commands...), c.then...)
				So(m.Ready(1600)["l"] == 1, ShouldEqual, c.isFree)
				So(m.Find("0").State, ShouldEqual, Ended)
				again, err := Restore(m.Snapshot())
				So(err, ShouldBeNil)
				So(again.Snapshot(), ShouldResemble, m.Snapshot())
				So(again.Level(), ShouldEqual, m.Level())
				So(again.Ready(1600)["l"] == 1, ShouldEqual, c.isFree)
			})
		}
		Convey("goes on also at a replica that was read back before", func() {
			again, err := Restore(keyHeld(RaiseLevel(LevelFreesKeys)).Snapshot())
			So(err, ShouldBeNil)
			So(applyAll(again, timeMarkAt(1600)).Ready(1600)["l"], ShouldEqual, 1)
		})
	})
	Convey("A run that is brought back when an older one has succeeded, and may go on, holds its key", t, func() {
		open := runFailed("0", 2)
		open.HoldsKey, open.Deadline = true, 1500
		run := []Command{ordered("0"), ordered("1"), start("0", 1), runFailed("0", 1), start("0", 2), runSucceeded("0", 1), open}
		Convey("until it must be over", func() {
			m := applyAll(applyAll(New(), RaiseLevel(LevelFreesKeys)), run...)
			So(m.Find("0").State, ShouldEqual, Ended)
			So(m.Ready(1400), ShouldBeEmpty)
			So(applyAll(m, timeMarkAt(1500)).Ready(1500)["l"], ShouldEqual, 1)
		})
		Convey("not where older replicas would let it go", func() {
			So(applyAll(New(), run...).Ready(0)["l"], ShouldEqual, 1)
		})
	})
	Convey("A key that waits behind a failure is not freed by time", t, func() {
		failed := closedAs("0", 1, Failed)
		failed.HoldsKey, failed.Retain = true, 100_000
		m := applyAll(New(), RaiseLevel(LevelFreesKeys), ordered("0"), ordered("1"), start("0", 1), failed, timeMarkAt(5000))
		So(m.Ready(5000), ShouldBeEmpty)
	})
	Convey("What an older build cannot apply it refuses", t, func() {
		raise := RaiseLevel(LevelFreesKeys)
		marked := applyAll(New(), raise).Snapshot()
		So(isDecodeRefused(wire.NewRecordCodec(&Command{}).Decode(raise.Encode(), &Command{})), ShouldBeTrue)
		So(isDecodeRefused(wire.NewRecordCodec(&snapshot{}).Decode(marked, &snapshot{})), ShouldBeTrue)
		// A build of version 5 takes what is behind its mark for a record.
		command, isMarked := bytes.CutPrefix(raise.Encode(), []byte(wire.PrefixIntIntString))
		So(isMarked, ShouldBeTrue)
		So(wire.NewRecordCodecAt(&Command{}, 5).Decode(command, &Command{}), ShouldNotBeNil)
		state, isMarked := bytes.CutPrefix(marked, []byte(wire.PrefixIntIntList))
		So(isMarked, ShouldBeTrue)
		So(wire.NewRecordCodecAt(&snapshot{}, 5).Decode(state, &snapshot{}), ShouldNotBeNil)
	})
	Convey("What a newer build has agreed on this one refuses by name", t, func() {
		newer := RaiseLevel(NewestLevel + 1)
		_, err := Decode(newer.Encode())
		So(errs.KindOf(err), ShouldEqual, errs.Rejected)
		So(err.Error(), ShouldContainSubstring, fmt.Sprintf("feature level %d", NewestLevel+1))
		m := New()
		m.level = NewestLevel + 1
		_, err = Restore(m.Snapshot())
		So(errs.KindOf(err), ShouldEqual, errs.Rejected)
	})
}
