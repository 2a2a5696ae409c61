package place

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
	"caperwheel/internal/wire"
)

// needing returns a batch of one adapter that needs tokens of a tenant with a rate of 10 per second and a burst of 10.
func needing(holder string, need int64) quota.Batch {
	return quota.Batch{Limits: []quota.Limit{quota.LimitOf("halls", 10, 10)},
		Asks: []quota.Ask{{Holder: holder, Lease: 1000, Count: wire.QuotaCount{Tenant: "halls", Epoch: 1, Need: need}}}}
}

func countAt(batch quota.Batch, at int64) Command {
	c := CountCommand(batch)
	c.At = at
	return c
}

// TestCounts checks that the counts of tenants' limits are part of a place's state, and enabled by a feature level.
func TestCounts(t *testing.T) {
	Convey("A place", t, func() {
		Convey("counts nothing before its group has agreed on it", func() {
			m := New()
			v := m.Apply(countAt(needing("a", 3), 1000))
			So(v.Kind, ShouldEqual, errs.Stale)
			So(m.HeldTokens(), ShouldEqual, 0)
			So(New().Snapshot(), ShouldResemble, applyAll(New()).Snapshot())
		})
		Convey("grants no more than the limit once the group has", func() {
			m := applyAll(New(), RaiseLevel(LevelQuotas))
			So(m.Apply(countAt(needing("a", 7), 1000)).Grants[0].Granted, ShouldEqual, 7)
			So(m.Apply(countAt(needing("b", 7), 1000)).Grants[0].Granted, ShouldEqual, 3)
			So(m.HeldTokens(), ShouldEqual, 10)
			So(m.IsIdle(), ShouldBeTrue)
			Convey("and continues in the same way from a snapshot", func() {
				again, err := Restore(m.Snapshot())
				So(err, ShouldBeNil)
				So(again.Snapshot(), ShouldResemble, m.Snapshot())
				next := countAt(needing("c", 7), 1200)
				So(again.Apply(next), ShouldResemble, m.Apply(next))
				So(again.Snapshot(), ShouldResemble, m.Snapshot())
			})
		})
		Convey("distinguishes a repeated message from the first one", func() {
			m := New()
			So(m.Apply(take("1")).IsRepeat, ShouldBeFalse)
			So(m.Apply(take("1")).IsRepeat, ShouldBeTrue)
			other := take("1")
			other.Checksum = "other"
			So(m.Apply(other).IsRepeat, ShouldBeTrue)
		})
	})
	Convey("A build of version 7", t, func() {
		countPrefixes := func(raw []byte, prefix string) int {
			count := 0
			for bytes.HasPrefix(raw, []byte(prefix)) {
				raw, count = raw[len(prefix):], count+1
			}
			return count
		}
		commandPrefix, snapshotPrefix := wire.PrefixIntIntString, wire.PrefixIntIntList
		Convey("can read the records of a group that has agreed on an older level", func() {
			So(countPrefixes(RaiseLevel(LevelFreesKeys).Encode(), commandPrefix), ShouldEqual, 2)
			old := applyAll(New(), RaiseLevel(LevelFreesKeys)).Snapshot()
			So(countPrefixes(old, snapshotPrefix), ShouldEqual, 2)
			So(wire.NewRecordCodecAt(&snapshot{}, 7).Decode(old[2*len(snapshotPrefix):], &snapshot{}), ShouldBeNil)
			written := append(bytes.Repeat([]byte(snapshotPrefix), 2), wire.NewRecordCodecAt(&snapshot{}, 7).Encode(&snapshot{Clock: 5, Level: LevelFreesKeys})...)
			m, err := Restore(written)
			So(err, ShouldBeNil)
			So([]int64{m.Clock(), m.Level()}, ShouldResemble, []int64{5, LevelFreesKeys})
		})
		Convey("refuses counts", func() {
			count, state := CountCommand(needing("a", 1)).Encode(), applyAll(New(), RaiseLevel(LevelQuotas)).Snapshot()
			So([]int{countPrefixes(count, commandPrefix), countPrefixes(state, snapshotPrefix)}, ShouldResemble, []int{3, 3})
			So(wire.NewRecordCodecAt(&Command{}, 7).Decode(count[2*len(commandPrefix):], &Command{}), ShouldNotBeNil)
			So(wire.NewRecordCodecAt(&snapshot{}, 7).Decode(state[2*len(snapshotPrefix):], &snapshot{}), ShouldNotBeNil)
		})
	})
}
