package standin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
)

const (
	s  = time.Second
	ms = time.Millisecond
)

func newRun(token, service, worker string, start, end time.Duration, status int) Run {
	stamp := ""
	if status == 200 {
		stamp = "stamp of " + token
	}
	return Run{Run: check.Run{Token: token, Id: token, Pool: service, Worker: worker, BodySum: "sum of " + token, Start: start, End: end,
		Status: status, IsAnswerComplete: status != 0}, RequestLine: "POST /" + token, Stamp: stamp, TimeLeft: s}
}

func newSubmission(token, route, key string, at time.Duration, outcome check.Outcome, code int) Submission {
	out := Submission{Sent: check.Sent{Token: token, Lane: route, Key: key, BodySum: "sum of " + token, SentAt: at, AnsweredAt: at + 10*ms, Outcome: outcome},
		RequestLine: "POST /" + token, Code: code, Daemon: "front-1", Incarnation: 1}
	if outcome == check.Taken {
		out.Id = "id of " + token
	}
	return out
}

// cleanHistory returns a history without a breach: a message that failed once, an ordered pair, a refused message, a
// dead letter and a queued message.
func cleanHistory() *History {
	h := NewHistory()
	pools := map[string][]string{"r": {"p"}, "o": {"q"}}
	h.Routes["r"] = Route{Service: "p", Timeout: 2 * s, MaxAttempts: 3, Retention: 90 * s}
	h.Routes["o"] = Route{Service: "q", IsOrdered: true, Timeout: 2 * s, MaxAttempts: 2, Retention: 90 * s}
	h.Services["p"], h.Services["q"] = Service{ColdRate: 2}, Service{Rate: 1}
	h.Zones["p/w"], h.Zones["q/v"] = "north", "south"
	h.Edits = []Edit{
		{Edit: check.Edit{SentAt: 1 * s, AcknowledgedAt: 2 * s, Revision: 3, Pools: pools}, Document: []byte(`{"version":3}`), Code: 200},
		{Edit: check.Edit{SentAt: 30 * s, AcknowledgedAt: 31 * s, Revision: 5, Pools: pools}, Base: 3, Document: []byte(`{"version":5,"x":1.0}`), Code: 200}}
	h.Read = ReadBack{200, []byte(`{"x":1,"version":5}`)}
	h.Sent = []Submission{newSubmission("a", "r", "", 10*s, check.Taken, 202), newSubmission("b", "r", "", 10*s, check.NotTaken, 503),
		newSubmission("x", "o", "k", 11*s, check.Taken, 202), newSubmission("y", "o", "k", 12*s, check.Taken, 202),
		newSubmission("d", "r", "", 13*s, check.Taken, 202), newSubmission("w", "r", "", 14*s, check.Taken, 202)}
	h.Sent[0].IsNotified = true
	h.Runs = []Run{newRun("a", "p", "w", 10*s, 11*s, 500), newRun("a", "p", "w", 12*s, 13*s, 200), newRun("x", "q", "v", 14*s, 15*s, 200),
		newRun("y", "q", "v", 16*s, 17*s, 200), newRun("d", "p", "w", 18*s, 19*s, 422)}
	at := 60 * s
	h.FinalStates = map[string]FinalState{"a": {"completed", "stamp of a", "", at}, "x": {"completed", "stamp of x", "", at},
		"y": {"completed", "stamp of y", "", at}, "d": {"dead_letter", "", "", at}, "w": {"queued", "", "sum of w", at}}
	h.Callbacks = []Callback{{"a", "completed", "stamp of a", 14 * s}}
	return h
}

func addArrivals(h *History, service string, isCold bool, count int) {
	for i := range count {
		h.Arrivals = append(h.Arrivals, Arrival{Service: service, Worker: "w", At: 20*s + time.Duration(i)*10*ms, IsCold: isCold})
	}
}

// removeRoute adds a configuration without route r, acknowledged at ack.
func removeRoute(h *History, version int64, ack time.Duration) {
	h.Edits = append(h.Edits, Edit{Edit: check.Edit{SentAt: ack - s, AcknowledgedAt: ack, Revision: version, Pools: map[string][]string{"o": {"q"}}}, Base: 5,
		Document: []byte(fmt.Sprintf(`{"version":%d}`, version)), Code: 200})
	h.Read.Doc = h.Edits[len(h.Edits)-1].Document
}

func addObservation(h *History, state, sum string) {
	at := 20*s + time.Duration(len(h.Observations))*s
	h.Observations = append(h.Observations, check.StatusRead{Id: "id of w", RequestedAt: at, AnsweredAt: at + 10*ms, State: state, BodySum: sum})
}

func addCommand(h *History, at, ack time.Duration) {
	h.Commands = append(h.Commands, Command{Text: "a command", At: at, AckAt: ack})
}

// addOutage adds ten submissions within the time in which traffic must have recovered from an outage.
func addOutage(h *History, runCount int) {
	h.Outages = []check.Outage{{Description: "an outage", At: 30 * s}}
	for i := range 10 {
		token := fmt.Sprint("n", i)
		h.Sent = append(h.Sent, newSubmission(token, "r", "", 39*s, check.Undecided, 0))
		if i < runCount {
			h.Runs = append(h.Runs, newRun(token, "p", "w", 39*s, 40*s, 200))
		}
	}
}

// addBrokenConnection adds a submission whose connection a stopping daemon closed.
func addBrokenConnection(h *History, after time.Duration, isPlanned bool) {
	x := newSubmission("c", "r", "", 40*s, check.Undecided, 0)
	x.IsConnectionBroken, x.AnsweredAt = true, x.SentAt+after
	h.Sent = append(h.Sent, x)
	h.Disruptions = append(h.Disruptions, Disruption{Daemon: "front-1", From: 39 * s, Until: 45 * s, IsPlanned: isPlanned})
}

var flagged = []struct {
	rule, text string
	breakRule  func(h *History)
}{
	{RuleMixed, "a state with a stamp that no run returned", func(h *History) { h.FinalStates["a"] = FinalState{"completed", "stamp of x", "", 60 * s} }},
	{RuleMixed, "a state without a stamp", func(h *History) { h.FinalStates["a"] = FinalState{"completed", "", "", 60 * s} }},
	{RuleMixed, "a dead letter for a message that has not ended", func(h *History) { h.FinalStates["w"] = FinalState{"dead_letter", "", "", 60 * s} }},
	{RuleMixed, "a dead letter for a message with an attempt left", func(h *History) {
		h.Runs = append(h.Runs, newRun("w", "p", "w", 20*s, 21*s, 500), newRun("w", "p", "w", 22*s, 23*s, 500))
		h.FinalStates["w"] = FinalState{"dead_letter", "", "", 60 * s}
	}},
	{RuleMixed, "a call-back with a stamp that no run returned", func(h *History) { h.Callbacks[0].Stamp = "x" }},
	{RuleMixed, "a dead-letter call-back for a message that has not ended", func(h *History) { h.Callbacks[0] = Callback{"a", "dead_letter", "", 12 * s} }},
	{RuleMixed, "a call-back with a state that is not final", func(h *History) { h.Callbacks[0].State = "queued" }},
	{RuleMixed, "a call-back that was not requested", func(h *History) { h.Callbacks[0].Token = "x" }},
	{RuleMixed, "two messages with the same name", func(h *History) { h.Sent[2].Id = h.Sent[3].Id }},
	{RuleUnasked, "a different body read at the end", func(h *History) { h.FinalStates["w"] = FinalState{"queued", "", "others", 60 * s} }},
	{RuleUnasked, "a different body read during the run", func(h *History) { addObservation(h, "held", "others") }},
	{RuleLost, "an unknown message during the run", func(h *History) { addObservation(h, "unknown", "") }},
	{RuleMixed, "a final state that changes back to queued", func(h *History) { addObservation(h, "ended", ""); addObservation(h, "held", "") }},
	{RuleUnasked, "a run of a message that was never submitted", func(h *History) { h.Runs = append(h.Runs, newRun("z", "p", "w", 20*s, 21*s, 200)) }},
	{RuleUnasked, "a run with an altered body", func(h *History) { h.Runs[1].BodySum = "others" }},
	{RuleUnasked, "a run with an altered path", func(h *History) { h.Runs[1].RequestLine = "POST /b" }},
	{RuleRefused, "a run of a refused message", func(h *History) { h.Runs = append(h.Runs, newRun("b", "p", "w", 20*s, 21*s, 200)) }},
	{RuleRoute, "a run by a service that no configuration allows", func(h *History) { h.Runs[1].Pool = "q" }},
	{RuleLost, "an unknown message at the end", func(h *History) { h.FinalStates["w"] = FinalState{"unknown", "", "", 60 * s} }},
	{RuleLost, "a queued message without its body", func(h *History) { h.FinalStates["w"] = FinalState{"queued", "", "", 60 * s} }},
	{RuleLost, "a message without any response at the end", func(h *History) { h.FinalStates["w"] = FinalState{At: 60 * s} }},
	{RuleLost, "a final state reported for a queued message", func(h *History) { h.FinalStates["w"] = FinalState{"completed", "", "", 60 * s} }},
	{RuleLost, "a request whose connection a stopping daemon closes", func(h *History) { addBrokenConnection(h, s, true) }},
	{RuleOrder, "a start before the end of the previous message of the key", func(h *History) { h.Runs[3].Start = 14*s + 500*ms }},
	{RuleOrder, "a start before the end of the delay", func(h *History) { h.Sent[0].Delay = 310 * ms }},
	{RuleOrder, "a start between two attempts of the previous message of the key", func(h *History) { h.Runs[2].Status = 500 }},
	{RuleTwice, "a run after a reported success", func(h *History) { h.Runs = append(h.Runs, newRun("a", "p", "w", 20*s, 21*s, 200)) }},
	{RuleCeiling, "arrivals beyond the rate limit", func(h *History) { addArrivals(h, "q", false, 11) }},
	{RuleFailback, "arrivals at a cold worker beyond its limit", func(h *History) { addArrivals(h, "p", true, 9) }},
	{RuleDrain, "an arrival at a worker after the drain bound", func(h *History) {
		h.Marks = []check.Drain{{Pool: "p", Worker: "w", From: 14 * s, Grace: drainBound}}
	}},
	{RuleEvac, "an arrival in an evacuated zone after the bound", func(h *History) {
		h.Marks = []check.Drain{{Zone: "north", From: 12 * s, Grace: evacuationBound}}
	}},
	{RuleConfig, "a run of a removed route", func(h *History) { removeRoute(h, 9, 14*s) }},
	{RuleConfig, "404 for a configured route", func(h *History) { h.Sent[1].Code = 404 }},
	{RuleConfig, "404 for a route that the daemon served before, after a disruption", func(h *History) {
		h.Sent[1].SentAt, h.Sent[1].Code = 12*s, 404
		h.Disruptions = []Disruption{{Daemon: "core-1", From: 11 * s, Until: 12 * s}}
	}},
	{RuleConfig, "202 for a removed route", func(h *History) {
		removeRoute(h, 9, 35*s)
		h.Sent = append(h.Sent, newSubmission("late", "r", "", 45*s, check.Taken, 202))
	}},
	{RuleConfig, "an invalid configuration that is acknowledged", func(h *History) { h.Edits[1].IsInvalid = true }},
	{RuleConfig, "two acknowledged configurations with the same base version", func(h *History) { removeRoute(h, 7, 50*s); h.Edits[2].Base = 3 }},
	{RuleConfig, "an older configuration read back", func(h *History) { h.Read.Doc = []byte(`{"version":3}`) }},
	{RuleConfig, "an altered configuration read back", func(h *History) { h.Read.Doc = []byte(`{"version":5,"x":2}`) }},
	{RuleConfig, "no configuration read back", func(h *History) { h.Read = ReadBack{} }},
	{RuleConfig, "a refused configuration read back", func(h *History) {
		h.Read.Doc, h.Edits = []byte(`{"version":8}`), append(h.Edits, Edit{Edit: check.Edit{SentAt: 40 * s, Revision: 8}, Base: 5, Code: 412, Document: []byte(`{"version":8}`)})
	}},
	{RuleConfig, "a refused configuration in force", func(h *History) {
		h.Edits = append(h.Edits, Edit{Edit: check.Edit{SentAt: 11 * s, Revision: 4, Pools: map[string][]string{"r": {"n"}}}, Base: 3, Code: 412})
		h.Runs[1].Pool = "n"
	}},
	{RuleRecover, "traffic that does not recover", func(h *History) { addOutage(h, 2) }},
	{RuleAcks, "a command that is never acknowledged", func(h *History) { addCommand(h, 20*s, 0) }},
	{RuleAcks, "a command acknowledged late", func(h *History) { addCommand(h, 20*s, 26*s) }},
}

var unflagged = []struct {
	text string
	vary func(h *History)
}{
	{"no breach", func(*History) {}},
	{"404 before the first configuration must be applied", func(h *History) { h.Sent[1].SentAt, h.Sent[1].AnsweredAt, h.Sent[1].Code = 3*s, 3*s+10*ms, 404 }},
	{"a second run after an unplanned disruption", func(h *History) {
		h.Runs = append(h.Runs, newRun("a", "p", "w", 20*s, 21*s, 200))
		h.Disruptions = []Disruption{{Daemon: "store-1", From: 14 * s, Until: 15 * s}}
	}},
	{"a second run after a success whose response was lost", func(h *History) {
		h.Runs[1].IsAnswerComplete = false
		h.Runs = append(h.Runs, newRun("a", "p", "w", 20*s, 21*s, 200))
	}},
	{"a second run after a success reported too late", func(h *History) {
		h.Runs[1].TimeLeft = 20 * ms
		h.Runs = append(h.Runs, newRun("a", "p", "w", 20*s, 21*s, 200))
	}},
	{"a dead letter after all its attempts", func(h *History) {
		for i := range 3 {
			h.Runs = append(h.Runs, newRun("w", "p", "w", time.Duration(20+2*i)*s, time.Duration(21+2*i)*s, 500))
		}
		h.FinalStates["w"] = FinalState{"dead_letter", "", "", 60 * s}
	}},
	{"a dead letter after the retention, and one of a removed route", func(h *History) {
		h.FinalStates["w"] = FinalState{"dead_letter", "", "", 105 * s}
		removeRoute(h, 9, 50*s)
	}},
	{"an ended message that is no longer known", func(h *History) { h.FinalStates["d"] = FinalState{"unknown", "", "", 60 * s} }},
	{"messages of one key sent concurrently, run in any order", func(h *History) { h.Sent[3].SentAt, h.Runs[3].Start = 11*s, 14*s }},
	{"arrivals up to the rate limit, and many at a warm worker", func(h *History) { addArrivals(h, "q", false, 10); addArrivals(h, "p", false, 60) }},
	{"arrivals at a cold worker up to its limit", func(h *History) { addArrivals(h, "p", true, 8) }},
	{"arrivals within the bound of a drain, and after the end of an evacuation", func(h *History) {
		h.Marks = []check.Drain{{Pool: "p", Worker: "w", From: 16 * s, Grace: drainBound}, {Zone: "south", From: 5 * s, Until: 13 * s, Grace: evacuationBound}}
	}},
	{"late arrivals during a disruption", func(h *History) {
		h.Marks = []check.Drain{{Pool: "p", Worker: "w", From: 14 * s, Grace: drainBound}}
		h.Disruptions = []Disruption{{Daemon: "core-1", From: 15 * s, Until: 16 * s}}
	}},
	{"a connection that a killed daemon breaks", func(h *History) { addBrokenConnection(h, s, false) }},
	{"a connection that a stopping daemon closes at once", func(h *History) { addBrokenConnection(h, 100*ms, true) }},
	{"a newer configuration without a conclusive response read back", func(h *History) {
		removeRoute(h, 9, 50*s)
		h.Edits[2].AcknowledgedAt, h.Edits[2].Code = 0, 0
	}},
	{"traffic that recovers", func(h *History) { addOutage(h, 3) }},
	{"an acknowledged command, and one during a disruption", func(h *History) {
		addCommand(h, 20*s, 21*s)
		addCommand(h, 40*s, 0)
		h.Disruptions = []Disruption{{Daemon: "core-1", From: 41 * s, Until: 42 * s, IsPlanned: true}}
	}},
}

// TestJudgeIsNotBlind breaks each rule of the platform on purpose.
func TestJudgeIsNotBlind(t *testing.T) {
	Convey("The judge reports a breach for a history with", t, func() {
		for _, c := range flagged {
			Convey(c.rule+": "+c.text, func() {
				h := cleanHistory()
				c.breakRule(h)
				rules := []string{}
				for _, b := range Judge(h, true) {
					rules = append(rules, b.Rule)
				}
				So(rules, ShouldContain, c.rule)
			})
		}
	})
	Convey("The judge reports no breach for a history with", t, func() {
		for _, c := range unflagged {
			Convey(c.text, func() {
				h := cleanHistory()
				c.vary(h)
				So(Judge(h, true), ShouldBeEmpty)
			})
		}
	})
}
