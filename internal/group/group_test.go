package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

var trio = []string{"a/0", "b/0", "c/0"}

// follower returns "b/0" as a follower.
func follower(roster []string, hard HardState, log []wire.Entry) *Group {
	return New(Options{Id: 1, Self: "b/0", Roster: roster, Bounds: timing.Default, Seed: 1}, hard, nil, log, 0)
}

// entries returns log entries from index 1 on, one of each given term.
func entries(terms ...int64) []wire.Entry {
	out := []wire.Entry{}
	for i, term := range terms {
		out = append(out, wire.Entry{Index: int64(i + 1), Term: term})
	}
	return out
}

// TestVotes checks to which candidates a replica gives its vote.
func TestVotes(t *testing.T) {
	cases := []struct {
		name      string
		roster    []string
		hard      HardState
		log       []wire.Entry
		request   wire.GroupMsg
		isGranted bool
	}{
		{"a new term and an equal log", trio, HardState{Term: 1}, entries(1, 1), wire.GroupMsg{Term: 2, Index: 2, LogTerm: 1}, true},
		{"a shorter log", trio, HardState{Term: 1}, entries(1, 1), wire.GroupMsg{Term: 2, Index: 1, LogTerm: 1}, false},
		{"a shorter log of a later term", trio, HardState{Term: 2}, entries(1, 1), wire.GroupMsg{Term: 3, Index: 1, LogTerm: 2}, true},
		{"an older term", trio, HardState{Term: 5}, nil, wire.GroupMsg{Term: 4, Index: 9, LogTerm: 4}, false},
		{"a vote already given to another", trio, HardState{Term: 2, Vote: "c/0"}, nil, wire.GroupMsg{Term: 2}, false},
		{"a vote already given to the same candidate", trio, HardState{Term: 2, Vote: "a/0"}, nil, wire.GroupMsg{Term: 2}, true},
		{"a replica without state, which may have lost earlier votes", nil, HardState{}, nil, wire.GroupMsg{Term: 2, Index: 9, LogTerm: 1}, false},
	}
	Convey("A replica asked for its vote", t, func() {
		for _, c := range cases {
			Convey("given "+c.name, func() {
				g := follower(c.roster, c.hard, c.log)
				c.request.Kind, c.request.From, c.request.To = MsgVote, "a/0", "b/0"
				out := g.Receive(c.request, time.Millisecond)
				isGranted := false
				for _, m := range append(out.SendNow, out.SendAfterSync...) {
					isGranted = isGranted || m.Kind == MsgVoteReply && !m.Reject
				}
				So(isGranted, ShouldEqual, c.isGranted)
				if isGranted {
					So(out.Persist.Hard.Vote, ShouldEqual, "a/0")
				}
			})
		}
	})
}

func TestImageKeepsWhatWasAcknowledged(t *testing.T) {
	Convey("Given a replica that has acknowledged entry 3", t, func() {
		g := follower(trio, HardState{Term: 1}, nil)
		g.Receive(wire.GroupMsg{Kind: MsgAppend, From: "a/0", To: "b/0", Term: 1, Entries: entries(1, 1, 1)}, 0)
		Convey("a snapshot up to entry 2 does not drop it", func() {
			out := g.Receive(wire.GroupMsg{Kind: MsgSnapshot, From: "a/0", To: "b/0", Term: 1, Index: 2, LogTerm: 1, Roster: trio}, 0)
			So(out.Install, ShouldBeNil)
			So(g.View().Last, ShouldEqual, 3)
			So(g.View().Commit, ShouldEqual, 2)
		})
		Convey("a snapshot of a different history replaces it", func() {
			out := g.Receive(wire.GroupMsg{Kind: MsgSnapshot, From: "c/0", To: "b/0", Term: 2, Index: 2, LogTerm: 2, Roster: trio}, 0)
			So(out.Install, ShouldNotBeNil)
			So(g.View().Last, ShouldEqual, 2)
		})
	})
}

func TestReturningReplicaDisturbsNobody(t *testing.T) {
	Convey("Given a replica that has just heard from its owner", t, func() {
		g := follower(trio, HardState{Term: 4}, nil)
		g.Receive(wire.GroupMsg{Kind: MsgAppend, From: "a/0", To: "b/0", Term: 4}, 0)
		Convey("it denies a pre-vote and stays in its term", func() {
			out := g.Receive(wire.GroupMsg{Kind: MsgPreVote, From: "c/0", To: "b/0", Term: 5, Index: 99, LogTerm: 4}, time.Millisecond)
			So(out.SendNow[0].Reject, ShouldBeTrue)
			So(g.View().Term, ShouldEqual, 4)
		})
		Convey("it grants one once the owner has been silent", func() {
			out := g.Receive(wire.GroupMsg{Kind: MsgPreVote, From: "c/0", To: "b/0", Term: 5, Index: 99, LogTerm: 4}, timing.Default.ConfigApply)
			So(out.SendNow[0].Reject, ShouldBeFalse)
		})
	})
}

func TestRosterChangesOneAtATime(t *testing.T) {
	Convey("Given the owner of a group of one", t, func() {
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0"}, Bounds: timing.Default}, HardState{}, nil, nil, 0)
		g.Tick(timing.Default.ConfigApply)
		So(g.View().Role, ShouldEqual, Owner)
		_, err := g.ChangeRoster(Change{Learn: "b/0"}, 0)
		So(errs.Is(err, errs.Conflict), ShouldBeTrue) // its own term has no commit yet
		g.Synced(1, 1, 0)
		_, err = g.ChangeRoster(Change{Learn: "b/0"}, 0)
		So(err, ShouldBeNil)
		cases := []struct {
			name   string
			change Change
			kind   errs.Kind
		}{
			{"a second change before the first is committed", Change{Learn: "c/0"}, errs.Conflict},
			{"a learner that is behind", Change{Promote: "b/0"}, errs.Conflict},
			{"the last voter", Change{Drop: "a/0"}, errs.Rejected},
		}
		for i, c := range cases {
			Convey("it refuses "+c.name, func() {
				if i > 0 {
					g.Synced(2, 1, 0)
				}
				_, err := g.ChangeRoster(c.change, 0)
				So(errs.KindOf(err), ShouldEqual, c.kind)
			})
		}
	})
}

// TestNewOwner checks what a new owner commits and confirms before an entry of its own term is committed.
func TestNewOwner(t *testing.T) {
	Convey("Given a new owner with an entry of an older term that is not committed", t, func() {
		g := follower(trio, HardState{Term: 1}, entries(1))
		now := timing.Default.ConfigApply
		g.Tick(now)
		g.Receive(wire.GroupMsg{Kind: MsgPreVoteReply, From: "a/0", To: "b/0", Term: 2}, now)
		g.Receive(wire.GroupMsg{Kind: MsgVoteReply, From: "a/0", To: "b/0", Term: 2}, now)
		So(g.View().Role, ShouldEqual, Owner)
		reply := func(index int64) {
			g.Receive(wire.GroupMsg{Kind: MsgAppendReply, From: "a/0", To: "b/0", Term: 2, Index: index, Round: 1}, now)
		}
		Convey("a majority that has the old entry does not commit it yet", func() {
			reply(1)
			So(g.View().Commit, ShouldEqual, 0)
		})
		Convey("a majority that has the owner's first entry commits both, once the owner has synced them too", func() {
			reply(2)
			So(g.View().Commit, ShouldEqual, 0)
			g.Synced(2, 2, now)
			So(g.View().Commit, ShouldEqual, 2)
		})
		Convey("its view is not confirmed before its first entry is committed and a heartbeat round is answered", func() {
			So(g.View().IsConfirmed, ShouldBeFalse)
			reply(1)
			So(g.View().IsConfirmed, ShouldBeFalse)
			reply(2)
			g.Synced(2, 2, now)
			So(g.View().IsConfirmed, ShouldBeTrue)
		})
	})
}
