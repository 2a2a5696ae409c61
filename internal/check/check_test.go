package check

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const s = time.Second

// cleanHistory returns a history without breaches.
func cleanHistory() *History {
	h := NewHistory()
	h.LanePools["l"], h.LanePools["o"], h.RateCaps["p"], h.OrderedLanes["o"] = []string{"p"}, []string{"p"}, 1, true
	h.Zones["p/w"] = "c"
	h.AddSent(Sent{Token: "a", Lane: "l", BodySum: "sa", Outcome: Taken, Id: "1", SentAt: 0, AnsweredAt: 1 * s})
	h.AddSent(Sent{Token: "b", Lane: "l", BodySum: "sb", Outcome: NotTaken, Id: "2"})
	h.AddSent(Sent{Token: "x", Lane: "o", Key: "k", BodySum: "sx", Outcome: Taken, Id: "3", SentAt: 1 * s, AnsweredAt: 2 * s})
	h.AddSent(Sent{Token: "y", Lane: "o", Key: "k", BodySum: "sy", Outcome: Taken, Id: "4", SentAt: 3 * s, AnsweredAt: 4 * s})
	h.AddRun(Run{Token: "a", Id: "1", Attempt: 1, Pool: "p", Worker: "w", BodySum: "sa", Start: 1 * s, End: 2 * s, Status: 500, IsAnswerComplete: true})
	h.AddRun(Run{Token: "a", Id: "1", Attempt: 2, Pool: "p", Worker: "w", BodySum: "sa", Start: 3 * s, End: 4 * s, Status: 200, AnswerSum: "ra", IsAnswerComplete: true})
	h.AddRun(Run{Token: "x", Id: "3", Attempt: 1, Pool: "p", Worker: "w", BodySum: "sx", Start: 5 * s, End: 6 * s, Status: 200, AnswerSum: "rx", IsAnswerComplete: true})
	h.AddRun(Run{Token: "y", Id: "4", Attempt: 1, Pool: "p", Worker: "w", BodySum: "sy", Start: 7 * s, End: 8 * s, Status: 200, AnswerSum: "ry", IsAnswerComplete: true})
	h.Finals["1"] = FinalState{State: "ended", Attempt: 2, Worker: "w", AnswerSum: "ra", BodySum: "sa"}
	h.Finals["3"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "rx"}
	h.Finals["4"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "ry"}
	h.LanePools["m"], h.CallbackLanes["m"], h.LanePools["back"] = []string{"p"}, "back", []string{"p2"}
	h.AddSent(Sent{Token: "q", Lane: "m", BodySum: "sq", Outcome: Taken, Id: "5", AnsweredAt: 1 * s, AnsweredBodySum: "sq", ProofToken: "q/answer"})
	h.AddRun(Run{Token: "q", Id: "5", Attempt: 1, Pool: "p", Worker: "w", BodySum: "sq", Start: 9 * s, End: 10 * s, Status: 200, AnswerSum: "rq", IsAnswerComplete: true})
	h.AddRun(Run{Token: "q/answer", Id: "6", Attempt: 1, Pool: "p2", Worker: "w", BodySum: "rq", Start: 11 * s, End: 12 * s, Status: 200, AnswerSum: "rr", IsAnswerComplete: true})
	h.Finals["5"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "rq", CallbackId: "6"}
	h.Finals["6"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "rr"}
	h.AddRead(StatusRead{Id: "1", RequestedAt: 2 * s, AnsweredAt: 2 * s, State: "started", Attempts: 1})
	h.AddRead(StatusRead{Id: "1", RequestedAt: 3 * s, AnsweredAt: 3 * s, State: "held", Attempts: 1, BodySum: "sa"})
	h.AddRead(StatusRead{Id: "1", RequestedAt: 5 * s, AnsweredAt: 5 * s, State: "ended", Attempts: 2})
	return h
}

// addConfigEdits adds two configurations. The second one was acknowledged at 3 s; it moves lane o to another pool and
// lowers the rate cap of p2.
func addConfigEdits(h *History) {
	pools := func(o string) map[string][]string {
		return map[string][]string{"l": {"p"}, "o": {o}, "m": {"p"}, "back": {"p2"}}
	}
	h.RateCaps["p2"] = 10
	h.AddEdit(Edit{SentAt: 0, AcknowledgedAt: s / 2, Revision: 1, Pools: pools("p"), RateCaps: map[string]float64{"p": 9, "p2": 10}})
	h.AddEdit(Edit{SentAt: s / 2, AcknowledgedAt: 3 * s, Revision: 2, Pools: pools("q"), RateCaps: map[string]float64{"p": 9, "p2": 1}})
}

// addTenSends adds ten messages that are sent in the window in which recovery is checked.
func addTenSends(h *History) {
	for i := range 10 {
		h.AddSent(Sent{Token: string(rune('A' + i)), Lane: "l", BodySum: "n", SentAt: 39*s + time.Duration(i), Outcome: NotTaken})
	}
}

// TestCheckerIsNotBlind breaks each rule in a history that is otherwise clean and requires Check to report that rule.
// It guards against a checker that accepts everything.
func TestCheckerIsNotBlind(t *testing.T) {
	cases := []struct {
		rule string
		hurt func(h *History)
	}{
		{RuleTakenLost, func(h *History) { delete(h.Finals, "1") }},
		{RuleTakenLost, func(h *History) { h.Finals["1"] = FinalState{State: "unknown"} }},
		{RuleRejectedRun, func(h *History) { h.AddRun(Run{Token: "b", Pool: "p", Worker: "w", BodySum: "sb", Start: 9 * s}) }},
		{RuleRejectedRun, func(h *History) { h.Sent[0].Outcome, h.Finals["1"] = Undecided, FinalState{State: "rejected"} }},
		{RuleUnsettled, func(h *History) { h.Sent[0].Outcome, h.Finals["1"] = Undecided, FinalState{State: "unknown"} }},
		{RuleKeyOverlap, func(h *History) { h.Runs[3].Start = 5 * s }},
		{RuleKeyOverlap, func(h *History) { h.Runs[2].End = 8 * s }},
		{RuleRepeatedSuccess, func(h *History) { h.Runs[0].Status = 200 }},
		{RuleWrongProof, func(h *History) { h.Finals["1"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "ra"} }},
		{RuleWrongProof, func(h *History) { h.Finals["1"] = FinalState{State: "ended", Attempt: 2, Worker: "v", AnswerSum: "ra"} }},
		{RuleMixedAnswer, func(h *History) { h.Finals["1"] = FinalState{State: "ended", Attempt: 2, Worker: "w", AnswerSum: "rx"} }},
		{RuleEndedWithoutRun, func(h *History) { h.Runs = h.Runs[2:] }},
		{RuleWrongPool, func(h *History) { h.Runs[1].Pool = "q" }},
		{RuleAlteredBody, func(h *History) { h.Runs[1].BodySum = "other" }},
		{RuleEarly, func(h *History) { h.Sent[0].Delay = s + 3*time.Millisecond }},
		{RuleEarlyExpiry, func(h *History) {
			h.Sent[0].Patience = 9 * s
			h.AddRead(StatusRead{Id: "1", RequestedAt: 8 * s, AnsweredAt: 8 * s, State: "expired", Attempts: 2})
		}},
		{RuleAlteredBody, func(h *History) {
			h.Finals["1"] = FinalState{State: "ended", Attempt: 2, Worker: "w", AnswerSum: "ra", BodySum: "other"}
		}},
		{RuleMixedAnswer, func(h *History) { h.Sent[4].AnsweredBodySum = "sa" }},
		{RuleMixedAnswer, func(h *History) { h.Sent[4].ProofToken = "a/answer" }},
		{RuleMixedAnswer, func(h *History) { h.Sent[4].Id = "1" }},
		{RuleTruncatedAnswer, func(h *History) { h.Sent[4].IsTruncated = true }},
		{RuleKeyOverlap, func(h *History) { h.Sent[2].Outcome, h.Runs[2].End = Undecided, 0 }},
		{RuleRepeatedSuccess, func(h *History) { // the kill of another adapter excuses nothing
			h.Runs[0].Status, h.Runs[0].Adapter = 200, "a1"
			h.AddKill(KillWindow{Adapter: "a2", From: 0, Until: 3 * s})
		}},
		{RuleRepeatedSuccess, func(h *History) {
			again := h.Runs[5]
			again.Attempt, again.Start, again.End = 2, 13*s, 14*s
			h.AddRun(again)
		}},
		{RuleTakenLost, func(h *History) {
			h.AddRead(StatusRead{Id: "1", RequestedAt: 2 * s, AnsweredAt: 3 * s, State: "unknown"})
		}},
		{RuleTakenLost, func(h *History) {
			h.AddRead(StatusRead{Id: "1", RequestedAt: 2 * s, AnsweredAt: 3 * s, State: "rejected"})
		}},
		{RuleAlteredBody, func(h *History) {
			h.AddRead(StatusRead{Id: "1", RequestedAt: 2 * s, AnsweredAt: 2 * s, State: "held", BodySum: "sb"})
		}},
		{RuleStateRegression, func(h *History) {
			h.AddRead(StatusRead{Id: "1", RequestedAt: 6 * s, AnsweredAt: 6 * s, State: "held", Attempts: 2})
		}},
		{RuleStateRegression, func(h *History) { h.AddRead(StatusRead{Id: "1", RequestedAt: 4 * s, AnsweredAt: 4 * s, State: "held"}) }},
		{RuleStaleConfig, func(h *History) { addConfigEdits(h); h.Runs[3].Revision = 1 }},
		{RuleStaleConfig, func(h *History) {
			addConfigEdits(h)
			h.Sent[3].SentAt, h.Sent[3].AnsweredAt, h.Sent[3].Revision = 6500*time.Millisecond, 6600*time.Millisecond, 1
		}},
		{RuleWrongPool, addConfigEdits},
		{RuleRateExceeded, func(h *History) {
			addConfigEdits(h)
			for i := range 12 { // allowed under the first cap, but the second one is in force
				h.AddRun(Run{Token: "?", Pool: "p2", Worker: "w", Start: 30*s + time.Duration(i)})
			}
		}},
		{RuleSlowStart, func(h *History) {
			h.AddCold(ColdStart{Pool: "p", Worker: "w", From: 20 * s, SlowStart: 10 * s})
			for i := range 16 {
				h.AddRun(Run{Token: "?", Pool: "p", Worker: "w", Start: 20*s + time.Duration(i)*s/16})
			}
		}},
		{RuleRecovery, func(h *History) { addTenSends(h); h.AddOutage(Outage{"an outage", 30 * s}) }},
		{RuleCallback, func(h *History) { h.Runs[5].Pool = "p" }},
		{RuleCallback, func(h *History) { h.Runs[5].BodySum = "other" }},
		{RuleCallback, func(h *History) { h.Finals["5"] = FinalState{State: "failed"} }},
		{RuleCallback, func(h *History) { h.Finals["6"] = FinalState{State: "unknown"} }},
		{RuleCallback, func(h *History) { h.Finals["5"] = FinalState{State: "ended", Attempt: 1, Worker: "w", AnswerSum: "rq"} }},
		{RuleRateExceeded, func(h *History) {
			for i := range 8 {
				h.AddRun(Run{Token: "?", Pool: "p", Worker: "w", Start: 20*s + time.Duration(i)})
			}
		}},
		{RuleRunAfterDrain, func(h *History) { h.AddDrain(Drain{Pool: "p", Worker: "w", From: 1 * s, Grace: 3 * s}) }},
		{RuleRunAfterDrain, func(h *History) { h.AddDrain(Drain{Zone: "c", From: 1 * s, Until: 8 * s, Grace: 5 * s}) }},
	}
	Convey("A clean history has no breach", t, func() { So(Check(cleanHistory()), ShouldBeEmpty) })
	Convey("A history is reported that breaks", t, func() {
		for i, c := range cases {
			Convey(c.rule+" "+string(rune('a'+i)), func() {
				h := cleanHistory()
				c.hurt(h)
				rules := []string{}
				for _, b := range Check(h) {
					rules = append(rules, b.Rule)
				}
				So(rules, ShouldContain, c.rule)
			})
		}
	})
	Convey("What is allowed is not reported:", t, func() {
		Convey("a run repeated because its adapter was killed", func() {
			h := cleanHistory()
			h.Runs[0].Status = 200
			h.AddKill(KillWindow{From: 0, Until: 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("runs under an older configuration within the timeout, or under one that was never acknowledged", func() {
			h := cleanHistory()
			addConfigEdits(h)
			h.Edits[1].AcknowledgedAt = 6 * s
			h.Runs[3].Revision = 1
			So(Check(h), ShouldBeEmpty)
			h.Edits[1].AcknowledgedAt = 0
			So(Check(h), ShouldBeEmpty)
		})
		Convey("a cold worker within its ramp, and a kind of traffic that is served again", func() {
			h := cleanHistory()
			h.AddCold(ColdStart{Pool: "p", Worker: "w", From: 20 * s, SlowStart: 10 * s})
			addTenSends(h)
			h.AddOutage(Outage{"an outage", 30 * s})
			for i := range 3 {
				token := string(rune('A' + i))
				h.Sent[5+i].Outcome = Undecided
				h.AddRun(Run{Token: token, Id: token, Attempt: 1, Pool: "p", Worker: "w", BodySum: "n", Start: 39*s + time.Duration(i)*s,
					End: 40*s + time.Duration(i), Status: 200, IsAnswerComplete: true})
			}
			So(Check(h), ShouldBeEmpty)
			So(h.CheckedRecoveries, ShouldEqual, 1)
		})
		Convey("runs within the grace period of a drain, or after its end", func() {
			h := cleanHistory()
			h.AddDrain(Drain{Zone: "c", From: 3 * s, Until: 7 * s, Grace: 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("any order of messages that were sent concurrently", func() {
			h := cleanHistory()
			h.Sent[3].SentAt, h.Runs[3].Start, h.Runs[3].End = 1*s, 3*s, 4*s
			So(Check(h), ShouldBeEmpty)
		})
	})
}
