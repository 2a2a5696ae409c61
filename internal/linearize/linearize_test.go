package linearize

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// at returns a call that starts at from and returns at to.
func at(from, to int, o Operation) Operation {
	o.CalledAt, o.ReturnedAt = time.Duration(from), time.Duration(to)
	return o
}

// replace returns a call that replaces the configuration.
func replace(outcome Outcome, base, version int64, digest string) Operation {
	return Operation{Kind: Replace, Outcome: outcome, Base: base, Version: version, Digest: digest}
}

// read returns a confirmed read of the configuration.
func read(version int64, digest string) Operation {
	return Operation{Kind: Read, Outcome: Confirmed, ReadVersion: version, ReadDigest: digest}
}

// zoneCall returns a call that evacuates zone z or ends its evacuation.
func zoneCall(kind Kind, outcome Outcome) Operation {
	return Operation{Kind: kind, Outcome: outcome, Zone: "z"}
}

// readZone returns a confirmed read of whether zone z is evacuated.
func readZone(isEvacuated bool) Operation {
	return Operation{Kind: ReadZone, Outcome: Confirmed, Zone: "z", IsEvacuated: isEvacuated}
}

// TestHistories checks the verdict and explanation for small histories with one anomaly each, and for allowed ones.
func TestHistories(t *testing.T) {
	cases := []struct {
		name    string
		says    string // empty: linearizable
		history []Operation
	}{
		{"empty history", "", nil},
		{"sequential changes", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")), at(2, 3, replace(Confirmed, 3, 5, "b")),
			at(4, 5, read(5, "b"))}},
		{"one of two concurrent changes is refused", "", []Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Refused, 0, 3, "b"))}},
		{"a confirmed change is confirmed again after a newer one", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 3, 5, "b")), at(4, 5, replace(Confirmed, 0, 3, "a")), at(6, 7, read(5, "b"))}},
		{"an indeterminate change takes effect later", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")), at(2, 3, read(0, "")),
			at(4, 5, read(3, "a"))}},
		{"an indeterminate change never takes effect", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 0, 4, "b")), at(4, 5, read(4, "b"))}},
		{"an indeterminate change conflicts with another", "", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Refused, 0, 4, "b"))}},
		{"a refused change is sent again once its base exists", "", []Operation{at(0, 1, replace(Refused, 3, 5, "b")),
			at(2, 3, replace(Confirmed, 0, 3, "a")), at(4, 5, replace(Confirmed, 3, 5, "b"))}},
		{"two confirmed with one version", "two changes confirmed with one version",
			[]Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Confirmed, 0, 3, "b"))}},
		{"two confirmed on one base version", "two changes confirmed on one base version",
			[]Operation{at(0, 9, replace(Confirmed, 0, 3, "a")), at(0, 9, replace(Confirmed, 0, 4, "b"))}},
		{"a re-send is refused", "a confirmed change was refused when sent again",
			[]Operation{at(0, 1, replace(Confirmed, 0, 3, "a")), at(2, 3, replace(Refused, 0, 3, "a"))}},
		{"a re-send is refused after many newer changes", "a confirmed change was refused when sent again",
			append(changeChain(20), at(900, 901, replace(Refused, 2, 3, "3")))},
		{"an indeterminate change was read and then refused", "no place for",
			[]Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")), at(2, 3, read(3, "a")), at(4, 5, replace(Refused, 0, 3, "a"))}},
		{"a refused change takes effect", "no place for",
			[]Operation{at(0, 1, replace(Refused, 0, 3, "a")), at(2, 3, read(3, "a"))}},
		{"a first attempt takes effect after its re-send was refused", "no place for", []Operation{at(0, 1, replace(Indeterminate, 0, 3, "a")),
			at(2, 3, replace(Refused, 0, 3, "a")), at(4, 5, read(3, "a"))}},
		{"a stale read after a newer confirmation", "a stale read", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 3, replace(Confirmed, 3, 5, "b")), at(4, 5, read(3, "a"))}},
		{"a read concurrent with a change returns either version", "", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 9, replace(Confirmed, 3, 5, "b")), at(4, 5, read(3, "a")), at(6, 7, read(5, "b"))}},
		{"a later read returns an older version", "no place for", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(2, 9, replace(Confirmed, 3, 5, "b")), at(4, 5, read(5, "b")), at(6, 7, read(3, "a"))}},
		{"a read of the losing change with the winner's version", "a read of another change", []Operation{at(0, 1, replace(Confirmed, 0, 3, "a")),
			at(0, 1, replace(Indeterminate, 0, 3, "b")), at(4, 5, read(3, "b"))}},
		{"an invalid change is confirmed", "an invalid change", []Operation{at(0, 1,
			Operation{Kind: Replace, Outcome: Confirmed, Version: 3, Digest: "a", IsInvalid: true})}},
		{"a valid change is refused", "no place for", []Operation{at(0, 1, replace(Refused, 0, 3, "a"))}},
		{"an evacuation is in force until it is ended", "", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, readZone(true)),
			at(4, 5, zoneCall(Finish, Confirmed)), at(6, 7, readZone(false))}},
		{"an evacuation is lost", "no place for", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, readZone(false))}},
		{"one evacuation of two is ended", "", []Operation{at(0, 1, zoneCall(Evacuate, Confirmed)), at(2, 3, zoneCall(Evacuate, Confirmed)),
			at(4, 5, zoneCall(Finish, Confirmed)), at(6, 7, readZone(true))}},
		{"an evacuation is refused", "a zone call was refused", []Operation{at(0, 1, zoneCall(Evacuate, Refused))}},
	}
	Convey("Given a history of operators' calls:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				ok, text := Check(c.history)
				So(ok, ShouldEqual, c.says == "")
				So(text, ShouldContainSubstring, c.says)
				So(strings.Contains(text, "\n"), ShouldBeFalse)
			})
		}
		Convey("a search that exceeds its bound is reported as undecided", func() {
			ok, text := CheckWithin(changeChain(20), 10)
			So(ok, ShouldBeFalse)
			So(text, ShouldContainSubstring, "undecided")
		})
	})
}

// changeChain returns count confirmed changes, one after another, each based on the previous one.
func changeChain(count int) (out []Operation) {
	for i := range count {
		out = append(out, at(10*i, 10*i+1, replace(Confirmed, int64(i), int64(i)+1, fmt.Sprint(i+1))))
	}
	return out
}

// TestLongHistories checks that histories of hundreds of changes from eight operators, a third of whose answers is
// lost, are decided within the bound on steps, and that one wrong answer at the end is found. It guards against a
// search that grows exponentially with the calls in flight.
func TestLongHistories(t *testing.T) {
	Convey("Given 500 changes with eight in flight at a time and lost answers", t, func() {
		for seed := range uint64(8) {
			history := randomHistory(rand.New(rand.NewPCG(seed, 1)), 500)
			ok, text := Check(history)
			So(text, ShouldBeBlank)
			So(ok, ShouldBeTrue)
			last := history[len(history)-1]
			ok, _ = Check(append(history, at(1e9, 1e9+1, read(last.Base-1, ""))))
			So(ok, ShouldBeFalse)
		}
	})
}

// randomHistory generates a linearizable history of operators' calls. Each call takes effect, if it does, between its
// start and its answer. Some changes are based on an old version, some are sent again, and a third of the answers is
// lost.
func randomHistory(r *rand.Rand, count int) (out []Operation) {
	version, taken, refused := int64(0), map[string]bool{}, map[string]bool{}
	for i := range count {
		o := replace("", version, version+1+r.Int64N(3), fmt.Sprint(i))
		if len(out) > 0 && r.IntN(4) == 0 {
			o = out[r.IntN(len(out))]
		} else if r.IntN(4) == 0 {
			o.Base--
		}
		switch {
		case refused[o.Digest]:
			continue
		case taken[o.Digest]:
			o.Outcome = Confirmed
		case o.Base == version:
			o.Outcome, version, taken[o.Digest] = Confirmed, o.Version, true
		default:
			o.Outcome = Refused
		}
		if r.IntN(3) == 0 {
			o.Outcome = Indeterminate
		}
		refused[o.Digest] = refused[o.Digest] || o.Outcome == Refused
		o.Client = i % 8
		out = append(out, at(10*i-r.IntN(80), 10*i+r.IntN(80), o))
	}
	return append(out, at(20*count, 20*count+1, Operation{Kind: Read, Outcome: Confirmed, ReadVersion: version, Base: version}))
}
