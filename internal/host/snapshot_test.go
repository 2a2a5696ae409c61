package host

import (
	"bytes"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// TestImageInParts guards against a snapshot larger than a message that cannot be sent, so that a replica
// that needs it is never rebuilt.
func TestImageInParts(t *testing.T) {
	state := bytes.Repeat([]byte("abcdefg"), 50)
	m := wire.GroupMsg{Kind: group.MsgSnapshot, From: "a", Term: 3, Index: 9, Round: 4, Roster: []string{"a"}}
	cases := []struct {
		name       string
		maxBytes   int
		alter      func([]wire.GroupMsg) []wire.GroupMsg
		isComplete bool
	}{
		{"one that fits is sent in one message", 350, func(l []wire.GroupMsg) []wire.GroupMsg { return l }, true},
		{"parts in order are assembled", 100, func(l []wire.GroupMsg) []wire.GroupMsg { return l }, true},
		{"parts in any order are assembled", 40, func(l []wire.GroupMsg) []wire.GroupMsg {
			rand.New(rand.NewPCG(1, 2)).Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
			return l
		}, true},
		{"duplicate parts count once", 100, func(l []wire.GroupMsg) []wire.GroupMsg { return append(l[:2:2], l...) }, true},
		{"a lost part leaves it incomplete", 100, func(l []wire.GroupMsg) []wire.GroupMsg { return l[1:] }, false},
		{"the last part alone leaves it incomplete", 100, func(l []wire.GroupMsg) []wire.GroupMsg { return l[3:] }, false},
		{"a part of another term does not count", 100, func(l []wire.GroupMsg) []wire.GroupMsg { l[0].Term = 2; return l }, false},
		{"a part of another term is replaced when the snapshot is resent", 100, func(l []wire.GroupMsg) []wire.GroupMsg {
			old := l[0]
			old.Term = 2
			return append([]wire.GroupMsg{old}, l...)
		}, true},
	}
	Convey("Of a snapshot", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p, got := partBuffer{}, []wire.GroupMsg{}
				for _, part := range c.alter(splitSnapshot(m, state, c.maxBytes)) {
					if part.Kind == group.MsgSnapshot {
						got = append(got, part)
					} else if snapshot, isComplete := p.add(part); isComplete {
						got = append(got, snapshot)
					}
				}
				So(len(got), ShouldEqual, map[bool]int{true: 1}[c.isComplete])
				if c.isComplete {
					So(bytes.Equal(got[0].State, state), ShouldBeTrue)
					got[0].State = nil
					So(got[0], ShouldResemble, m)
				}
			})
		}
	})
}
