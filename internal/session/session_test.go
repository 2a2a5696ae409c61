package session

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/feed"
	"caperwheel/internal/wire"
)

// member returns a member with the given process and age in milliseconds.
func member(name, boot string, age int64) wire.Member {
	return wire.Member{Who: wire.Who{Name: name, Boot: boot}, Age: age}
}

// TestSessions checks which process of a name is a member after what was heard directly or from peers.
func TestSessions(t *testing.T) {
	const timeout = 2 * time.Second
	cases := []struct {
		name string
		do   func(r *Registry)
		at   time.Duration
		boot string // of x; empty for no member
	}{
		{"a daemon heard from within the timeout", func(r *Registry) { r.Renew(member("x", "1", 0), 0, true) }, timeout, "1"},
		{"not one that has been silent for longer", func(r *Registry) { r.Renew(member("x", "1", 0), 0, true) }, timeout + 1, ""},
		{"not one that had been silent when a peer reported it", func(r *Registry) { r.Renew(member("x", "1", 1500), time.Second, false) }, 1600 * time.Millisecond, ""},
		{"the newest process", func(r *Registry) {
			r.Renew(member("x", "1", 0), 0, true)
			r.Renew(member("x", "2", 0), 1, false)
		}, 1, "2"},
		{"not an older process that a peer still reports", func(r *Registry) {
			r.Renew(member("x", "2", 0), time.Second, true)
			r.Renew(member("x", "1", 900), time.Second, false)
		}, time.Second, "2"},
	}
	Convey("A member is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r := NewRegistry(timeout)
				c.do(r)
				_, list := r.Members(c.at)
				boot := ""
				for _, m := range list {
					boot = m.Who.Boot
				}
				So(boot, ShouldEqual, c.boot)
			})
		}
		Convey("relayed by peers with ages that only grow", func() {
			one, two := NewRegistry(timeout), NewRegistry(timeout)
			one.Renew(member("x", "1", 0), 0, true)
			for _, m := range one.SessionsForPeers(time.Second) {
				two.Renew(m, 5*time.Second, false)
			}
			_, list := two.Members(5*time.Second + 500*time.Millisecond)
			So(list[0].Age, ShouldEqual, 1500)
			So(two.SessionsForPeers(5*time.Second), ShouldBeEmpty)
		})
	})
	Convey("The owner of a group is the one of the newest term", t, func() {
		membership := NewMembership()
		a, b := member("a", "1", 0), member("b", "1", 0)
		a.Owns, b.Owns = []wire.Owned{{Group: 1, Term: 3}}, []wire.Owned{{Group: 1, Term: 4}}
		membership.Update("h", []wire.Member{a, b})
		who, _ := membership.Owner(1)
		So(who.Name, ShouldEqual, "b")
		_, isKnown := membership.Owner(2)
		So(isKnown, ShouldBeFalse)
		So([]bool{membership.HasOwner(1), membership.HasOwner(2)}, ShouldResemble, []bool{true, false})
	})
}

// TestFormerLives guards against a late poll of an ended process that replaces the session of the daemon's
// newest process, whose session then seems lost.
func TestFormerLives(t *testing.T) {
	const timeout = 2 * time.Second
	type poll struct {
		boot  string
		at    time.Duration
		isOwn bool
	}
	cases := []struct {
		name  string
		polls []poll
		boot  string // the member's at the last poll
	}{
		{"not a former process whose poll comes late", []poll{{"1", 0, true}, {"2", 1, true}, {"1", 2, true}}, "2"},
		{"nor one whose successor another manager has heard from", []poll{{"1", 0, true}, {"2", 1, false}, {"1", 2, true}}, "2"},
		{"nor one before the previous process", []poll{{"1", 0, true}, {"2", 1, true}, {"3", 2, true}, {"1", 3, true}}, "3"},
		{"nor one with two late polls", []poll{{"1", 0, true}, {"2", 1, true}, {"1", 2, true}, {"1", 3, true}}, "2"},
		{"one that continues to poll, as only a live process does", []poll{{"1", 0, true}, {"2", 1, true}, {"1", 2, true}, {"1", 3, true}, {"1", 4, true}}, "1"},
		{"one that polls after the other has been silent", []poll{{"1", 0, true}, {"2", 1, true}, {"1", timeout + 2, true}}, "1"},
		{"one that another manager has heard from since", []poll{{"1", 0, true}, {"2", 1, true}, {"1", 2, false}}, "1"},
	}
	Convey("A member is", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				r, at := NewRegistry(timeout), time.Duration(0)
				for _, p := range c.polls {
					r.Renew(member("x", p.boot, 0), p.at, p.isOwn)
					at = p.at
				}
				_, list := r.Members(at)
				So(len(list), ShouldEqual, 1)
				So(list[0].Who.Boot, ShouldEqual, c.boot)
			})
		}
	})
}

// TestInterest guards against sending the whole membership to every agent and adapter, again whenever any
// one of them joins or leaves.
func TestInterest(t *testing.T) {
	membersOfKind := func(kind string, count int) (out []wire.Member) {
		for i := range count {
			m := member(kind+string(rune('a'+i)), "1", 0)
			m.Who.Kind = kind
			out = append(out, m)
		}
		return out
	}
	Convey("Given managers, stores, agents and adapters", t, func() {
		membership, view := NewMembership(), feed.NewView(0)
		all := append(append(membersOfKind("manager", 3), membersOfKind("store", 4)...), append(membersOfKind("agent", 20), membersOfKind("adapter", 20)...)...)
		membership.Update(MembershipHash(all), all)
		news := func(kind, hash string) *wire.News {
			return NewsFor(&wire.Poll{Who: wire.Who{Kind: kind}, Revisions: view.Revisions(), MembershipHash: hash}, view, 0, membership)
		}
		Convey("a store receives all members, an agent and an adapter the managers and stores", func() {
			count := map[string]int{}
			for _, kind := range []string{"store", "agent", "adapter"} {
				count[kind] = len(news(kind, "").Members)
			}
			So(count, ShouldResemble, map[string]int{"store": 47, "agent": 7, "adapter": 7})
		})
		Convey("nothing is sent again, and a member that joins does not change what agents receive if it is neither manager nor store", func() {
			hash := news("agent", "").MembershipHash
			So(news("agent", hash).Members, ShouldBeEmpty)
			more := append(all, member("new", "1", 0))
			membership.Update(MembershipHash(more), more)
			So(news("agent", hash).MembershipHash, ShouldEqual, hash)
			So(len(news("store", MembershipHash(all)).Members), ShouldEqual, 48)
		})
		Convey("an agent relays to its adapter what it received", func() {
			received := news("agent", "")
			agent := NewMembership()
			agent.Update(received.MembershipHash, received.Members)
			hash, list := agent.VisibleTo("adapter")
			So(hash, ShouldEqual, received.MembershipHash)
			So(len(list), ShouldEqual, 7)
		})
	})
	Convey("The hash of a list is the same as in earlier builds", t, func() {
		m := wire.Member{Who: wire.Who{Name: "x", Kind: "store", Boot: "1", Zone: "a", Addr: "127.0.0.1:1", Http: "127.0.0.1:2"},
			Owns: []wire.Owned{{Group: 5, Term: 9}, {Group: 6, Term: 1}}}
		sum := sha256.Sum256([]byte(fmt.Sprintf("%v %d/%d %d/%d", m.Who, 5, 9, 6, 1)))
		So(MembershipHash([]wire.Member{m}), ShouldEqual, hex.EncodeToString(sum[:8]))
	})
}

// TestThin guards against sending all that an adapter observes of its workers eight times a second, to its
// agent, from the agent to a manager, and from the manager to its peers.
func TestThin(t *testing.T) {
	fullFact := func(micros int64) wire.Fact {
		return wire.Fact{Counts: map[string]int64{"runs": 3, "run_micros p/w": micros, "run_misses p/w": 5}}
	}
	withFact := func(boot string, f wire.Fact) wire.Member { m := member("x", boot, 0); m.Fact = f; return m }
	Convey("Given a registry that has received all counts of a daemon", t, func() {
		r := NewRegistry(2100 * time.Millisecond)
		r.Renew(withFact("1", fullFact(7)), 0, true)
		counts := func() map[string]int64 { _, list := r.Members(3); return list[0].Fact.Counts }
		Convey("a fact without bulk counts keeps the earlier ones and updates the rest", func() {
			next := withoutBulk(fullFact(9))
			next.Counts["runs"] = 4
			r.Renew(withFact("1", next), 1, true)
			So(counts(), ShouldResemble, map[string]int64{"runs": 4, "run_micros p/w": 7, "run_misses p/w": 5})
			r.Renew(withFact("1", withoutBulk(next)), 2, true)
			So(counts()["run_micros p/w"], ShouldEqual, 7)
		})
		Convey("a complete fact replaces it, also if it has no bulk counts", func() {
			r.Renew(withFact("1", wire.Fact{Counts: map[string]int64{"runs": 1}}), 1, true)
			So(counts(), ShouldResemble, map[string]int64{"runs": 1})
		})
		Convey("nothing is kept from an earlier process", func() {
			r.Renew(withFact("2", withoutBulk(fullFact(9))), 1, true)
			So(counts(), ShouldResemble, map[string]int64{"runs": 3})
		})
		Convey("one of four shares to peers is complete", func() {
			fullShares := 0
			for beat := range 16 {
				r.Renew(withFact("1", fullFact(7)), time.Duration(beat)*120*time.Millisecond, true)
				if _, hasBulk := r.SessionsForPeers(time.Duration(beat) * 120 * time.Millisecond)[0].Fact.Counts["run_micros p/w"]; hasBulk {
					fullShares++
				}
			}
			So(fullShares, ShouldEqual, 4)
		})
	})
	Convey("A fact without bulk counts is never marked", t, func() {
		f := wire.Fact{Counts: map[string]int64{"leaving": 1}}
		So(withoutBulk(f), ShouldResemble, f)
	})
}
