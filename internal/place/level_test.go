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
	m := on(New(), commands...)
	open, older := back("0", 2), end("0", 1)
	open.Hold, open.Deadline, older.Retain = true, 1500, 100_000
	return on(m, ordered("0"), ordered("1"), start("0", 1), back("0", 1), start("0", 2), open, older)
}

func markedAt(at int64) Command {
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
			{"waits as older replicas have it, while the group has agreed on nothing", nil, []Command{markedAt(1600)}, false},
			{"goes on once that run must be over", []Command{Raise(LevelFreesKeys)}, []Command{markedAt(1500)}, true},
			{"waits until then", []Command{Raise(LevelFreesKeys)}, []Command{markedAt(1499)}, false},
			{"goes on where the level is raised later", nil, []Command{markedAt(1600), Raise(LevelFreesKeys)}, true},
			{"keeps to a level that was raised before", []Command{Raise(LevelFreesKeys), Raise(0)}, []Command{markedAt(1600)}, true},
		}
		for _, c := range cases {
			Convey(c.text, func() {
				m := on(keyHeld(c.commands...), c.then...)
				So(m.Ready(1600)["l"] == 1, ShouldEqual, c.isFree)
				So(m.Find("0").State, ShouldEqual, Ended)
				again, err := Restore(m.Image())
				So(err, ShouldBeNil)
				So(again.Image(), ShouldResemble, m.Image())
				So(again.Level(), ShouldEqual, m.Level())
				So(again.Ready(1600)["l"] == 1, ShouldEqual, c.isFree)
			})
		}
		Convey("goes on also at a replica that was read back before", func() {
			again, err := Restore(keyHeld(Raise(LevelFreesKeys)).Image())
			So(err, ShouldBeNil)
			So(on(again, markedAt(1600)).Ready(1600)["l"], ShouldEqual, 1)
		})
	})
	Convey("A run that is brought back when an older one has succeeded, and may go on, holds its key", t, func() {
		open := back("0", 2)
		open.Hold, open.Deadline = true, 1500
		run := []Command{ordered("0"), ordered("1"), start("0", 1), back("0", 1), start("0", 2), end("0", 1), open}
		Convey("until it must be over", func() {
			m := on(on(New(), Raise(LevelFreesKeys)), run...)
			So(m.Find("0").State, ShouldEqual, Ended)
			So(m.Ready(1400), ShouldBeEmpty)
			So(on(m, markedAt(1500)).Ready(1500)["l"], ShouldEqual, 1)
		})
		Convey("not where older replicas would let it go", func() {
			So(on(New(), run...).Ready(0)["l"], ShouldEqual, 1)
		})
	})
	Convey("A key that waits behind a failure is not freed by time", t, func() {
		failed := shut("0", 1, Failed)
		failed.Hold, failed.Retain = true, 100_000
		m := on(New(), Raise(LevelFreesKeys), ordered("0"), ordered("1"), start("0", 1), failed, markedAt(5000))
		So(m.Ready(5000), ShouldBeEmpty)
	})
	Convey("What an older build cannot apply it refuses", t, func() {
		raise := Raise(LevelFreesKeys)
		marked := on(New(), raise).Image()
		So(isRefused(wire.NewPlain(&Command{}).Decode(raise.Encode(), &Command{})), ShouldBeTrue)
		So(isRefused(wire.NewPlain(&image{}).Decode(marked, &image{})), ShouldBeTrue)
		// A build of version 5 takes what is behind its mark for a record.
		command, isMarked := bytes.CutPrefix(raise.Encode(), []byte(wire.MarkNumberNumberText))
		So(isMarked, ShouldBeTrue)
		So(wire.NewOf(&Command{}, 5).Decode(command, &Command{}), ShouldNotBeNil)
		state, isMarked := bytes.CutPrefix(marked, []byte(wire.MarkNumberNumberList))
		So(isMarked, ShouldBeTrue)
		So(wire.NewOf(&image{}, 5).Decode(state, &image{}), ShouldNotBeNil)
	})
	Convey("What a newer build has agreed on this one refuses by name", t, func() {
		newer := Raise(NewestLevel + 1)
		_, err := Decode(newer.Encode())
		So(errs.KindOf(err), ShouldEqual, errs.Rejected)
		So(err.Error(), ShouldContainSubstring, fmt.Sprintf("feature level %d", NewestLevel+1))
		m := New()
		m.level = NewestLevel + 1
		_, err = Restore(m.Image())
		So(errs.KindOf(err), ShouldEqual, errs.Rejected)
	})
}
