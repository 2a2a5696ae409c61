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
	h.Cells["p/w"] = "c"
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
	return h
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
		{RuleBytes, func(h *History) {
			h.Ends["1"] = End{State: "ended", Attempt: 2, Worker: "w", Sum: "ra", BodySum: "other"}
		}},
		{RuleRate, func(h *History) {
			for i := range 8 {
				h.AddRun(Run{Token: "?", Pool: "p", Worker: "w", Start: 20*s + time.Duration(i)})
			}
		}},
		{RuleLeaving, func(h *History) { h.AddMark(Mark{Pool: "p", Worker: "w", From: 1 * s, Bound: 3 * s}) }},
		{RuleLeaving, func(h *History) { h.AddMark(Mark{Cell: "c", From: 1 * s, Until: 8 * s, Bound: 5 * s}) }},
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
			h.AddLost(Window{0, 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("work within the bound of a mark, or after its end", func() {
			h := clean()
			h.AddMark(Mark{Cell: "c", From: 3 * s, Until: 7 * s, Bound: 3 * s})
			So(Check(h), ShouldBeEmpty)
		})
		Convey("any order of messages sent at once", func() {
			h := clean()
			h.Sent[3].At, h.Runs[3].Start = 1*s, 5*s
			So(Check(h), ShouldBeEmpty)
		})
	})
}
