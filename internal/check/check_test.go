package check

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const s = time.Second

// clean is a history in which nothing is wrong.
func clean() *History {
	h := NewHistory()
	h.Pools["l"], h.Pools["o"], h.Caps["p"], h.Order["o"] = []string{"p"}, []string{"p"}, 1, true
	h.Zones["p/w"] = "c"
	h.AddSent(Sent{Token: "a", Lane: "l", Sum: "sa", Told: Taken, Id: "1", At: 0, ToldAt: 1 * s})
	h.AddSent(Sent{Token: "b", Lane: "l", Sum: "sb", Told: NotTaken, Id: "2"})
	h.AddSent(Sent{Token: "x", Lane: "o", Key: "k", Sum: "sx", Told: Taken, Id: "3", At: 1 * s, ToldAt: 2 * s})
	h.AddSent(Sent{Token: "y", Lane: "o", Key: "k", Sum: "sy", Told: Taken, Id: "4", At: 3 * s, ToldAt: 4 * s})
	h.AddRun(Run{Token: "a", Id: "1", Attempt: 1, Pool: "p", Worker: "w", Sum: "sa", Start: 1 * s, End: 2 * s, Status: 500, IsWhole: true})
	h.AddRun(Run{Token: "a", Id: "1", Attempt: 2, Pool: "p", Worker: "w", Sum: "sa", Start: 3 * s, End: 4 * s, Status: 200, Answer: "ra", IsWhole: true})
	h.AddRun(Run{Token: "x", Id: "3", Attempt: 1, Pool: "p", Worker: "w", Sum: "sx", Start: 5 * s, End: 6 * s, Status: 200, Answer: "rx", IsWhole: true})
	h.AddRun(Run{Token: "y", Id: "4", Attempt: 1, Pool: "p", Worker: "w", Sum: "sy", Start: 7 * s, End: 8 * s, Status: 200, Answer: "ry", IsWhole: true})
	h.Ends["1"] = End{State: "ended", Attempt: 2, Worker: "w", Sum: "ra", BodySum: "sa"}
	h.Ends["3"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "rx"}
	h.Ends["4"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "ry"}
	h.Pools["m"], h.Backs["m"], h.Pools["back"] = []string{"p"}, "back", []string{"p2"}
	h.AddSent(Sent{Token: "q", Lane: "m", Sum: "sq", Told: Taken, Id: "5", ToldAt: 1 * s, GotSum: "sq", GotToken: "q/answer"})
	h.AddRun(Run{Token: "q", Id: "5", Attempt: 1, Pool: "p", Worker: "w", Sum: "sq", Start: 9 * s, End: 10 * s, Status: 200, Answer: "rq", IsWhole: true})
	h.AddRun(Run{Token: "q/answer", Id: "6", Attempt: 1, Pool: "p2", Worker: "w", Sum: "rq", Start: 11 * s, End: 12 * s, Status: 200, Answer: "rr", IsWhole: true})
	h.Ends["5"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "rq", Child: "6"}
	h.Ends["6"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "rr"}
	h.AddSight(Sight{Id: "1", At: 2 * s, ToldAt: 2 * s, State: "started", Attempts: 1})
	h.AddSight(Sight{Id: "1", At: 3 * s, ToldAt: 3 * s, State: "held", Attempts: 1, BodySum: "sa"})
	h.AddSight(Sight{Id: "1", At: 5 * s, ToldAt: 5 * s, State: "ended", Attempts: 2})
	return h
}

// edited adds two configurations: the second was acknowledged at 1 s, moves lane o
// to another pool and lowers a cap.
func edited(h *History) {
	pools := func(o string) map[string][]string {
		return map[string][]string{"l": {"p"}, "o": {o}, "m": {"p"}, "back": {"p2"}}
	}
	h.Caps["p2"] = 10
	h.AddEdit(Edit{At: 0, AckAt: s / 2, Revision: 1, Pools: pools("p"), Caps: map[string]float64{"p": 9, "p2": 10}})
	h.AddEdit(Edit{At: s / 2, AckAt: 3 * s, Revision: 2, Pools: pools("q"), Caps: map[string]float64{"p": 9, "p2": 1}})
}

// sendTen has ten messages sent in the seconds in which traffic must be back.
func sendTen(h *History) {
	for i := range 10 {
		h.AddSent(Sent{Token: string(rune('A' + i)), Lane: "l", Sum: "n", At: 39*s + time.Duration(i), Told: NotTaken})
	}
}

// TestCheckerIsNotBlind breaks each rule on purpose.
func TestCheckerIsNotBlind(t *testing.T) {
	cases := []struct {
		rule string
		hurt func(h *History)
	}{
		{RuleLost, func(h *History) { delete(h.Ends, "1") }},
		{RuleLost, func(h *History) { h.Ends["1"] = End{State: "unknown"} }},
		{RuleGhost, func(h *History) { h.AddRun(Run{Token: "b", Pool: "p", Worker: "w", Sum: "sb", Start: 9 * s}) }},
		{RuleGhost, func(h *History) { h.Sent[0].Told, h.Ends["1"] = Undecided, End{State: "rejected"} }},
		{RuleOpen, func(h *History) { h.Sent[0].Told, h.Ends["1"] = Undecided, End{State: "unknown"} }},
		{RuleOrder, func(h *History) { h.Runs[3].Start = 5 * s }},
		{RuleOrder, func(h *History) { h.Runs[2].End = 8 * s }},
		{RuleDouble, func(h *History) { h.Runs[0].Status = 200 }},
		{RuleProof, func(h *History) { h.Ends["1"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "ra"} }},
		{RuleProof, func(h *History) { h.Ends["1"] = End{State: "ended", Attempt: 2, Worker: "v", Sum: "ra"} }},
		{RuleMixed, func(h *History) { h.Ends["1"] = End{State: "ended", Attempt: 2, Worker: "w", Sum: "rx"} }},
		{RuleUnended, func(h *History) { h.Runs = h.Runs[2:] }},
		{RulePool, func(h *History) { h.Runs[1].Pool = "q" }},
		{RuleBytes, func(h *History) { h.Runs[1].Sum = "other" }},
		{RuleEarly, func(h *History) { h.Sent[0].Delay = s + 3*time.Millisecond }},
		{RuleExpired, func(h *History) {
			h.Sent[0].Patience = 9 * s
			h.AddSight(Sight{Id: "1", At: 8 * s, ToldAt: 8 * s, State: "expired", Attempts: 2})
		}},
		{RuleBytes, func(h *History) {
			h.Ends["1"] = End{State: "ended", Attempt: 2, Worker: "w", Sum: "ra", BodySum: "other"}
		}},
		{RuleMixed, func(h *History) { h.Sent[4].GotSum = "sa" }},
		{RuleMixed, func(h *History) { h.Sent[4].GotToken = "a/answer" }},
		{RuleMixed, func(h *History) { h.Sent[4].Id = "1" }},
		{RuleShort, func(h *History) { h.Sent[4].IsShort = true }},
		{RuleOrder, func(h *History) { h.Sent[2].Told, h.Runs[2].End = Undecided, 0 }},
		{RuleDouble, func(h *History) { // another adapter's death excuses nothing
			h.Runs[0].Status, h.Runs[0].Adapter = 200, "a1"
			h.AddLost(Window{Adapter: "a2", From: 0, Until: 3 * s})
		}},
		{RuleDouble, func(h *History) {
			again := h.Runs[5]
			again.Attempt, again.Start, again.End = 2, 13*s, 14*s
			h.AddRun(again)
		}},
		{RuleLost, func(h *History) { h.AddSight(Sight{Id: "1", At: 2 * s, ToldAt: 3 * s, State: "unknown"}) }},
		{RuleLost, func(h *History) { h.AddSight(Sight{Id: "1", At: 2 * s, ToldAt: 3 * s, State: "rejected"}) }},
		{RuleBytes, func(h *History) { h.AddSight(Sight{Id: "1", At: 2 * s, ToldAt: 2 * s, State: "held", BodySum: "sb"}) }},
		{RuleBack, func(h *History) { h.AddSight(Sight{Id: "1", At: 6 * s, ToldAt: 6 * s, State: "held", Attempts: 2}) }},
		{RuleBack, func(h *History) { h.AddSight(Sight{Id: "1", At: 4 * s, ToldAt: 4 * s, State: "held"}) }},
		{RuleConfig, func(h *History) { edited(h); h.Runs[3].Revision = 1 }},
		{RuleConfig, func(h *History) {
			edited(h)
			h.Sent[3].At, h.Sent[3].ToldAt, h.Sent[3].Revision = 6500*time.Millisecond, 6600*time.Millisecond, 1
		}},
		{RulePool, edited},
		{RuleRate, func(h *History) {
			edited(h)
			for i := range 12 { // no more than the first cap allows, and the second is in force
				h.AddRun(Run{Token: "?", Pool: "p2", Worker: "w", Start: 30*s + time.Duration(i)})
			}
		}},
		{RuleCold, func(h *History) {
			h.AddCold(Cold{Pool: "p", Worker: "w", From: 20 * s, Ease: 10 * s})
			for i := range 16 {
				h.AddRun(Run{Token: "?", Pool: "p", Worker: "w", Start: 20*s + time.Duration(i)*s/16})
			}
		}},
		{RuleRecovery, func(h *History) { sendTen(h); h.AddOutage(Outage{"an outage", 30 * s}) }},
		{RuleCallback, func(h *History) { h.Runs[5].Pool = "p" }},
		{RuleCallback, func(h *History) { h.Runs[5].Sum = "other" }},
		{RuleCallback, func(h *History) { h.Ends["5"] = End{State: "failed"} }},
		{RuleCallback, func(h *History) { h.Ends["6"] = End{State: "unknown"} }},
		{RuleCallback, func(h *History) { h.Ends["5"] = End{State: "ended", Attempt: 1, Worker: "w", Sum: "rq"} }},
		{RuleRate, func(h *History) {
			for i := range 8 {
				h.AddRun(Run{Token: "?", Pool: "p", Worker: "w", Start: 20*s + time.Duration(i)})
			}
		}},
		{RuleLeaving, func(h *History) { h.AddMark(Mark{Pool: "p", Worker: "w", From: 1 * s, Bound: 3 * s}) }},
		{RuleLeaving, func(h *History) { h.AddMark(Mark{Zone: "c", From: 1 * s, Until: 8 * s, Bound: 5 * s}) }},
	}
	Convey("A clean history has no breach", t, func() { So(Check(clean()), ShouldBeEmpty) })
	Convey("A history is flagged that breaks", t, func() {
		for i, c := range cases {
			Convey(c.rule+" "+string(rune('a'+i)), func() {
				h := clean()
				c.hurt(h)
				rules := []string{}
				for _, b := range Check(h) {
					rules = append(rules, b.Rule)
				}
				So(rules, ShouldContain, c.rule)
			})
		}
	})
	Convey("What is allowed is not flagged:", t, func() {
		Convey("a run repeated because its adapter was killed", func() {
			h := clean()
			h.Runs[0].Status = 200
			h.AddLost(Window{From: 0, Until: 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("work under an older charter within the bound, or under one sent and never acknowledged", func() {
			h := clean()
			edited(h)
			h.Edits[1].AckAt = 6 * s
			h.Runs[3].Revision = 1
			So(Check(h), ShouldBeEmpty)
			h.Edits[1].AckAt = 0
			So(Check(h), ShouldBeEmpty)
		})
		Convey("a cold worker's ramp, and a kind of traffic that is served again", func() {
			h := clean()
			h.AddCold(Cold{Pool: "p", Worker: "w", From: 20 * s, Ease: 10 * s})
			sendTen(h)
			h.AddOutage(Outage{"an outage", 30 * s})
			for i := range 3 {
				token := string(rune('A' + i))
				h.Sent[5+i].Told = Undecided
				h.AddRun(Run{Token: token, Id: token, Attempt: 1, Pool: "p", Worker: "w", Sum: "n", Start: 39*s + time.Duration(i)*s,
					End: 40*s + time.Duration(i), Status: 200, IsWhole: true})
			}
			So(Check(h), ShouldBeEmpty)
			So(h.Judged, ShouldEqual, 1)
		})
		Convey("work within the bound of a mark, or after its end", func() {
			h := clean()
			h.AddMark(Mark{Zone: "c", From: 3 * s, Until: 7 * s, Bound: 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("any order of messages sent at once", func() {
			h := clean()
			h.Sent[3].At, h.Runs[3].Start, h.Runs[3].End = 1*s, 3*s, 4*s
			So(Check(h), ShouldBeEmpty)
		})
	})
}
