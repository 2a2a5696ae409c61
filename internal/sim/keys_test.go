package sim

import (
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Numbers of seeds in continuous integration; larger sweeps are run by hand. keySeeds run without the race detector, as
// those of the deliveries do, racedKeySeeds with it, and keyMutantSeeds are the most that the sweep may need to detect a
// removed guard.
const (
	keySeeds       = "100"
	racedKeySeeds  = 3
	keyMutantSeeds = "24"
)

// TestOperationKeysRunOnce guards against double execution: two sends of a tenant with one operation key both ran, because
// the second reached its place after the final state of the first had been deleted, or because another place was asked
// than the one that knew the first.
func TestOperationKeysRunOnce(t *testing.T) {
	swept, err := sweepWith(t, t.TempDir(), "sweep", sourceMutant{kind: "keys"}, keySeeds)
	raced := runParallel(map[string]uint64{"1": 1, "2": 2, "3": racedKeySeeds}, func(seed uint64) []string {
		return RunOperationKeys(seed, selectFaults(PlaceFaults)...).Breaches
	})
	Convey("Each operation runs once while stores are frozen, cut off and killed, owners change, the configuration changes, and the fleet is upgraded", t, func() {
		if err != nil {
			t.Log(swept)
		}
		So(err, ShouldBeNil)
		So(swept, ShouldContainSubstring, "keys: "+keySeeds+" seeds done, 0 broken so far")
		So(len(raced), ShouldEqual, racedKeySeeds)
		for _, breaches := range raced {
			So(breaches, ShouldBeEmpty)
		}
	})
}

// keyWorldMutants are the mutants of the simulated world, with a seed in which each is detected.
var keyWorldMutants = map[Mutant]uint64{ShortRetention: 2, NewIdForRetry: 1, HomeByLane: 3, UnaskedHomes: 2, UnseenAdapters: 6}

// TestKeyWorldMutants checks that the simulation detects a fault of each part of the world.
func TestKeyWorldMutants(t *testing.T) {
	mutants := map[string]Mutant{}
	for mutant := range keyWorldMutants {
		mutants[string(mutant)] = mutant
	}
	found := runParallel(mutants, func(mutant Mutant) string {
		return strings.Join(RunOperationKeysMutant(mutant, keyWorldMutants[mutant], selectFaults(PlaceFaults)...).Breaches, "\n")
	})
	Convey("A double run is detected if", t, func() {
		for name := range mutants {
			Convey(name, func() { So(found[name], ShouldContainSubstring, "TWICE") })
		}
	})
}

// keyMutants each remove one of the guards by which the sends of an operation are one message.
var keyMutants = map[string]sourceMutant{
	"a home waits until no message is remembered that was accepted before claims": {"internal/store/claim.go",
		"	return now-p.olderAdaptersAt > longest && p.now()-p.machine.LevelRaisedAt() > longest.Milliseconds()", "	return !p.environment.HasOlderAdapters()", "", "keys"},
	"a home waits until no adapter has lately placed messages by the older rule": {"internal/store/claim.go",
		"	return now-p.olderAdaptersAt > longest && ", "	return ", "", "keys"},
	"only a new group is a home at once":                             {"internal/store/level.go", "p.machine.IsNew() && ", "", "", "keys"},
	"a home refuses messages of older adapters":                      {"internal/store/claim.go", "	return p.machine.Level() >= place.LevelHomes && ", "	return false && ", "", "keys"},
	"a home knows which of its messages an operation key belongs to": {"internal/place/machine.go", "	m.recordClaim(c)\n", "", "", "keys"},
	"a message whose key belongs to another one is refused":          {"internal/place/machine.go", "known != nil && known.Id != c.Id {", "known != nil && known.Id == \"\" {", "", "keys"},
	"claims are kept for two windows":                                {"internal/place/claims.go", "	wanted.ForgetAt = m.clock + c.Retain\n", "	wanted.ForgetAt = m.clock + c.Retain/4\n", "", "keys"},
	"claims are part of a snapshot":                                  {"internal/place/snapshot.go", "		m.claims.add(known)\n", "		_ = known\n", "", "keys"},
	"a key is bound anew only after its message was settled":         {"internal/intake/operation.go", "		o.bound, o.stage = id, settleStage\n", "		o.bound = id\n		o.rebind(id)\n", "", "keys"},
	"a claim names the API key of its sender":                        {"internal/intake/keyedsend.go", "Sender: e.sender,", "", "", "keys"},
	"a claim is answered once it is committed": {"internal/store/claim.go", "		p.proposeClaim(l, lane, p.pending.begin(claimKey(l), answer))\n",
		"		p.proposeClaim(l, lane, p.pending.begin(claimKey(l), func(any) {}))\n		p.answerClaim(claimBound, l.Id, answer)\n", "", "keys"},
}

// TestKeyMutants checks that the sweep detects each removed guard.
func TestKeyMutants(t *testing.T) {
	dir, results, mu, slots := t.TempDir(), map[string]string{}, sync.Mutex{}, make(chan bool, 2)
	var group sync.WaitGroup
	for name, m := range keyMutants {
		group.Go(func() {
			slots <- true
			defer func() { <-slots }()
			out, err := sweepWith(t, dir, strings.ReplaceAll(name, " ", "-"), m, keyMutantSeeds)
			if err == nil {
				out = "no seed is broken"
			}
			mu.Lock()
			defer mu.Unlock()
			results[name] = out
		})
	}
	group.Wait()
	Convey("A double run is detected unless", t, func() {
		for name := range keyMutants {
			Convey(name, func() { So(strings.Contains(results[name], "TWICE"), ShouldBeTrue) })
		}
	})
}
