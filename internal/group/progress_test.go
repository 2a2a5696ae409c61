package group

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestReject checks what a rejected append changes in the progress of a member.
func TestReject(t *testing.T) {
	cases := []struct {
		name         string
		is           peerState
		behind, hint int64
		isTaken      bool
		next         int64
	}{
		{"one of many in flight", peerState{match: 5, next: 20}, 9, 7, true, 8},
		{"the next of them, once the member is probed", peerState{match: 5, next: 8, isProbing: true}, 10, 7, false, 8},
		{"the probe itself", peerState{match: 5, next: 20, isProbing: true}, 19, 12, true, 13},
		{"a probe at an index at which the member's log differs", peerState{match: 5, next: 20, isProbing: true}, 19, 30, true, 19},
		{"an old one, at an index that is known to match", peerState{match: 9, next: 20}, 7, 6, false, 20},
		{"the probe after the last index that is known to match", peerState{match: 9, next: 10, isProbing: true}, 9, 9, false, 10},
		{"a hint below the index that is known to match", peerState{match: 9, next: 20}, 15, 3, true, 10},
		{"one of an older build, which does not report the index", peerState{match: 5, next: 20}, 0, 7, true, 8},
	}
	Convey("A rejected append:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p := c.is
				p.inFlight, p.inFlightBytes = []inFlight{{19, 7}}, 7
				So(p.reject(c.behind, c.hint), ShouldEqual, c.isTaken)
				So(p.next, ShouldEqual, c.next)
				if c.isTaken {
					So(p.isProbing, ShouldBeTrue)
					So(p.inFlight, ShouldBeEmpty)
					So(p.inFlightBytes, ShouldEqual, 0)
				}
			})
		}
	})
}

// TestAccept checks what an accepted append changes in the progress of a member.
func TestAccept(t *testing.T) {
	flight := []inFlight{{10, 100}, {12, 200}, {15, 300}}
	cases := []struct {
		name                   string
		is                     peerState
		index                  int64
		match, next            int64
		isProbing, isImaging   bool
		flightCount, flightSum int
	}{
		{"some of the appends in flight", peerState{match: 9, next: 16, inFlight: flight, inFlightBytes: 600}, 12, 12, 16, false, false, 1, 300},
		{"a part of one append", peerState{match: 9, next: 16, inFlight: flight, inFlightBytes: 600}, 11, 11, 16, false, false, 2, 500},
		{"an old answer", peerState{match: 12, next: 16, inFlight: flight[2:], inFlightBytes: 300}, 9, 12, 16, false, false, 1, 300},
		{"more entries than were sent", peerState{match: 9, next: 16}, 20, 20, 21, false, false, 0, 0},
		{"a probe", peerState{match: 0, next: 9, isProbing: true}, 8, 8, 9, false, false, 0, 0},
		{"an append before the snapshot in transit", peerState{match: 3, next: 5, isProbing: true, snapshotIndex: 40}, 4, 4, 5, true, true, 0, 0},
		{"the snapshot", peerState{match: 3, next: 5, isProbing: true, snapshotIndex: 40}, 40, 40, 41, false, false, 0, 0},
	}
	Convey("A member accepted", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				p := c.is
				p.accept(c.index)
				So(p.match, ShouldEqual, c.match)
				So(p.next, ShouldEqual, c.next)
				So(p.isProbing, ShouldEqual, c.isProbing)
				So(p.snapshotIndex > 0, ShouldEqual, c.isImaging)
				So(len(p.inFlight), ShouldEqual, c.flightCount)
				So(p.inFlightBytes, ShouldEqual, c.flightSum)
			})
		}
	})
}

// TestEntriesFor checks how many entries may be sent to a member at once.
func TestEntriesFor(t *testing.T) {
	Convey("Given an owner with a small entry and large ones", t, func() {
		hasRoom := true
		g := New(Options{Id: 1, Self: "a/0", Roster: []string{"a/0", "b/0", "c/0"}, Bounds: timing.Default,
			HasRoom: func(string) bool { return hasRoom }}, HardState{}, nil, nil, 0)
		var out Output
		g.become(Owner, 1, "a/0", time.Millisecond, &out)
		g.log = nil
		for i, size := range []int{100, appendBytesLimit - 200, 200, InFlightBytesLimit} {
			g.log = append(g.log, wire.Entry{Index: int64(i + 1), Term: 1, Data: make([]byte, size)})
		}
		cases := []struct {
			name   string
			is     peerState
			isFree bool
			count  int
		}{
			{"a probe carries small entries", peerState{next: 1, isProbing: true}, true, 1},
			{"a probe carries no large entries", peerState{next: 2, isProbing: true}, true, 0},
			{"an append carries up to its limit", peerState{next: 1}, true, 2},
			{"an append carries at least one entry of any size", peerState{next: 4}, true, 1},
			{"a link without capacity accepts none", peerState{next: 1}, false, 0},
			{"… but those of a probe", peerState{next: 1, isProbing: true}, false, 1},
			{"the limit of bytes in flight allows none", peerState{next: 1, inFlightBytes: InFlightBytesLimit}, true, 0},
			{"the limit of appends in flight allows none", peerState{next: 1, inFlight: make([]inFlight, inFlightAppendsLimit)}, true, 0},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				hasRoom = c.isFree
				entries, size := g.entriesFor("b/0", &c.is)
				So(len(entries), ShouldEqual, c.count)
				sum := 0
				for _, e := range entries {
					sum += len(e.Data)
				}
				So(size, ShouldEqual, sum)
			})
		}
	})
}
