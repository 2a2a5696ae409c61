package place

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// keyHeld returns a machine with two messages of a key, the first of which has succeeded while a later run of it may go
// on until 1500.
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

// TestLevels checks what depends on a group's feature level.
func TestLevels(t *testing.T) {
	Convey("A key whose message has succeeded while a later run may go on", t, func() {
		cases := []struct {
			text     string
			commands []Command
			then     []Command
			isFree   bool
		}{
			{"stays blocked, as on older replicas, while the group has agreed on no level", nil, []Command{timeMarkAt(1600)}, false},
			{"is released once that run must be over", []Command{RaiseLevel(LevelFreesKeys)}, []Command{timeMarkAt(1500)}, true},
			{"stays blocked until then", []Command{RaiseLevel(LevelFreesKeys)}, []Command{timeMarkAt(1499)}, false},
			{"is released when the level is raised later", nil, []Command{timeMarkAt(1600), RaiseLevel(LevelFreesKeys)}, true},
			{"is released although a lower level was proposed later", []Command{RaiseLevel(LevelFreesKeys), RaiseLevel(0)}, []Command{timeMarkAt(1600)}, true},
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
		Convey("is released also on a replica that was restored before", func() {
			again, err := Restore(keyHeld(RaiseLevel(LevelFreesKeys)).Snapshot())
			So(err, ShouldBeNil)
			So(applyAll(again, timeMarkAt(1600)).Ready(1600)["l"], ShouldEqual, 1)
		})
	})
	Convey("A run that fails after an older one has succeeded, and may still go on, blocks its key", t, func() {
		open := runFailed("0", 2)
		open.HoldsKey, open.Deadline = true, 1500
		run := []Command{ordered("0"), ordered("1"), start("0", 1), runFailed("0", 1), start("0", 2), runSucceeded("0", 1), open}
		Convey("until it must be over", func() {
			m := applyAll(applyAll(New(), RaiseLevel(LevelFreesKeys)), run...)
			So(m.Find("0").State, ShouldEqual, Ended)
			So(m.Ready(1400), ShouldBeEmpty)
			So(applyAll(m, timeMarkAt(1500)).Ready(1500)["l"], ShouldEqual, 1)
		})
		Convey("not at a level at which older replicas would release it", func() {
			So(applyAll(New(), run...).Ready(0)["l"], ShouldEqual, 1)
		})
	})
	Convey("A key that is blocked by a failure is not released by time", t, func() {
		failed := closedAs("0", 1, Failed)
		failed.HoldsKey, failed.Retain = true, 100_000
		m := applyAll(New(), RaiseLevel(LevelFreesKeys), ordered("0"), ordered("1"), start("0", 1), failed, timeMarkAt(5000))
		So(m.Ready(5000), ShouldBeEmpty)
	})
	Convey("An older build refuses what it cannot apply", t, func() {
		raise := RaiseLevel(LevelFreesKeys)
		marked := applyAll(New(), raise).Snapshot()
		So(isDecodeRefused(wire.NewRecordCodec(&Command{}).Decode(raise.Encode(), &Command{})), ShouldBeTrue)
		So(isDecodeRefused(wire.NewRecordCodec(&snapshot{}).Decode(marked, &snapshot{})), ShouldBeTrue)
		// A build of version 5 decodes what follows the prefix as a record.
		command, isMarked := bytes.CutPrefix(raise.Encode(), []byte(wire.PrefixIntIntString))
		So(isMarked, ShouldBeTrue)
		So(wire.NewRecordCodecAt(&Command{}, 5).Decode(command, &Command{}), ShouldNotBeNil)
		state, isMarked := bytes.CutPrefix(marked, []byte(wire.PrefixIntIntList))
		So(isMarked, ShouldBeTrue)
		So(wire.NewRecordCodecAt(&snapshot{}, 5).Decode(state, &snapshot{}), ShouldNotBeNil)
	})
	Convey("This build refuses a newer feature level, and names it in the error", t, func() {
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
