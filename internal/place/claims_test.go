package place

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// claimFor returns a command that claims an operation key for a sender.
func claimFor(id, tenant, sender string) Command {
	return Command{Kind: CmdClaim, Id: id, Operation: "op", Tenant: tenant, Sender: sender, Retain: 100}
}

// takeAtHome returns a command that accepts a message at the home of its operation key.
func takeAtHome(id, tenant, sender string) Command {
	c := take(id)
	c.Operation, c.Tenant, c.Sender, c.Retain = "op", tenant, sender, 100
	return c
}

// at returns a command at another place time.
func at(now int64, c Command) Command {
	c.At = now
	return c
}

// TestClaims guards against rule TWICE: sends of one message were given several ids, or one that came later than its
// claim is kept was not.
func TestClaims(t *testing.T) {
	replacing := claimFor("3", "halls", "k1")
	replacing.Replaces = "1"
	cases := []struct {
		name   string
		before []Command
		last   Command
		id     string
		kind   errs.Kind
		count  int
	}{
		{"a new operation key is bound to the proposed id", nil, claimFor("1", "halls", "k1"), "1", "", 1},
		{"the tenant's operation key stays bound to it", []Command{claimFor("1", "halls", "k1")}, claimFor("2", "halls", "k1"), "1", "", 1},
		{"the same with another API key of the tenant", []Command{claimFor("1", "halls", "k1")}, claimFor("2", "halls", "k2"), "1", "", 1},
		{"another tenant's is bound to another id", []Command{claimFor("1", "halls", "k1")}, claimFor("2", "growers", "k3"), "2", "", 2},
		{"another tenant's with an API key that it was given", []Command{claimFor("1", "halls", "k1")}, claimFor("2", "growers", "k1"), "2", "", 2},
		{"a sender gets a tenant", []Command{claimFor("1", "", "k1")}, claimFor("2", "halls", "k1"), "1", "", 1},
		{"a sender loses its tenant", []Command{claimFor("1", "halls", "k1")}, claimFor("2", "", "k1"), "1", "", 1},
		{"a tenant's sender with another API key than a sender without one", []Command{claimFor("1", "", "k1")}, claimFor("2", "halls", "k2"), "2", "", 2},
		{"a tenant's sender, after one without an API key", []Command{claimFor("1", "", "")}, claimFor("2", "halls", ""), "2", "", 2},
		{"two senders without a tenant", []Command{claimFor("1", "", "k1")}, claimFor("2", "", "k2"), "1", "", 1},
		{"an id that was settled is replaced", []Command{claimFor("1", "halls", "k1")}, replacing, "3", "", 1},
		{"an id that was replaced before is not", []Command{claimFor("1", "halls", "k1"), replacing}, func() Command { c := replacing; c.Id = "4"; return c }(), "3", "", 1},
		{"a claim is kept until its time", []Command{claimFor("1", "halls", "k1")}, at(99, claimFor("2", "halls", "k1")), "1", "", 1},
		{"a claim is forgotten then", []Command{claimFor("1", "halls", "k1")}, at(100, claimFor("2", "halls", "k1")), "2", "", 1},
		{"a message at home binds its key", []Command{takeAtHome("1", "halls", "k1")}, claimFor("2", "halls", "k1"), "1", "", 1},
		{"a message at home whose key is bound to another id is refused", []Command{claimFor("1", "halls", "k1")}, takeAtHome("2", "halls", "k1"), "1", errs.Bound, 1},
		{"a message at home whose key is bound to its id is accepted", []Command{claimFor("1", "halls", "k1")}, takeAtHome("1", "halls", "k1"), "1", "", 1},
		{"a message at home is accepted once its key's claim is forgotten", []Command{claimFor("1", "halls", "k1")}, at(100, takeAtHome("2", "halls", "k1")), "2", "", 1},
		{"a message without an operation key makes no claim", nil, take("1"), "1", "", 0},
	}
	Convey("At the level that records claims,", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m := applyAll(New(), RaiseLevel(LevelClaims))
				m = applyAll(m, c.before...)
				restored, err := Restore(m.Snapshot())
				So(err, ShouldBeNil)
				for _, replica := range []*Machine{m, restored} {
					v := replica.Apply(c.last)
					So([]any{v.Id, v.Kind}, ShouldResemble, []any{c.id, c.kind})
					So(replica.ClaimCount(), ShouldEqual, c.count)
				}
				So(restored.Snapshot(), ShouldResemble, m.Snapshot())
			})
		}
	})
	Convey("Below it a claim is refused", t, func() {
		m := applyAll(New(), RaiseLevel(LevelQuotas))
		So(m.Apply(claimFor("1", "", "")).Kind, ShouldEqual, errs.Stale)
		So(m.ClaimCount(), ShouldEqual, 0)
	})
	Convey("The time at which the level rose is kept", t, func() {
		m := New()
		m.Apply(at(5, RaiseLevel(LevelClaims)))
		m.Apply(at(7, RaiseLevel(LevelClaims)))
		So(m.LevelRaisedAt(), ShouldEqual, 5)
		m.Apply(at(9, RaiseLevel(LevelHomes)))
		restored, err := Restore(m.Snapshot())
		So(err, ShouldBeNil)
		So([]int64{restored.Level(), restored.LevelRaisedAt()}, ShouldResemble, []int64{LevelHomes, 9})
	})
	Convey("A build of version 8 refuses the records", t, func() {
		raw := claimFor("1", "halls", "k1").Encode()
		image := applyAll(New(), RaiseLevel(LevelClaims), claimFor("1", "halls", "k1")).Snapshot()
		for range 3 { // the prefixes that it knows
			var isMarked bool
			raw, isMarked = bytes.CutPrefix(raw, []byte(wire.PrefixIntIntString))
			So(isMarked, ShouldBeTrue)
			image, isMarked = bytes.CutPrefix(image, []byte(wire.PrefixIntIntList))
			So(isMarked, ShouldBeTrue)
		}
		So(wire.NewRecordCodecAt(&Command{}, 8).Decode(raw, &Command{}), ShouldNotBeNil)
		So(wire.NewRecordCodecAt(&snapshot{}, 8).Decode(image, &snapshot{}), ShouldNotBeNil)
	})
}
