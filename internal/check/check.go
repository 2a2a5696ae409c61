package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Breach is one breach of a rule.
type Breach struct {
	Rule string // one of the Rule constants
	Text string // what was found, with the messages and times concerned
}

// Rules that Check checks. The values are the names of the rules in reports.
const (
	RuleTakenLost       = "taken and lost"                // a message that was acknowledged as taken is lost
	RuleRejectedRun     = "not taken and run"             // a message that was answered or settled as not taken ran
	RuleKeyOverlap      = "ordered overlap"               // messages of one ordering key overlap or run out of order
	RuleRepeatedSuccess = "answered success run again"    // a message runs again after its success was answered
	RuleWrongProof      = "proof of another run"          // the proof names a run that did not succeed
	RuleWrongPool       = "wrong pool"                    // a run in a pool that the lane may not use
	RuleAlteredBody     = "altered bytes"                 // a body differs from the one that was sent
	RuleMixedAnswer     = "answer of another message"     // an answer, id or proof belongs to another message
	RuleTruncatedAnswer = "short answer that looks whole" // a truncated answer was read without an error
	RuleRateExceeded    = "endpoint over its rate"        // a pool got more runs than its rate cap allows
	RuleRunAfterDrain   = "new work after leaving"        // a draining worker or evacuated zone got a new run
	RuleEndedWithoutRun = "ended without a run"           // a message ended that no back end ran
	RuleUnsettled       = "undecided for good"            // an undecided message cannot be settled
	RuleStateRegression = "state went back"               // a later read shows an earlier state or fewer attempts
	RuleStaleConfig     = "older charter in use"          // an older configuration is used after a newer one is in force
	RuleSlowStart       = "cold worker flooded"           // a cold worker got more starts than its ramp allows
	RuleRecovery        = "not served again in time"      // too little traffic was served after an outage
	RuleCallback        = "call-back"                     // a call-back is missing, unexpected or wrong
	RuleEarly           = "before its delay"              // a message ran before its delay had passed
	RuleEarlyExpiry     = "expired before its time"       // a message was reported expired before its patience had passed
)

// checker holds the state of one Check.
type checker struct {
	h           *History
	breaches    []Breach
	runsByToken map[string][]Run // by message token, ordered by start
	sentByToken map[string]Sent
	runsById    map[string][]Run // by message id, ordered by start
}

// addBreach records a breach of a rule.
func (c *checker) addBreach(rule, form string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf(form, args...)})
}

// Check returns all breaches in a history. It sorts h.Runs by start and resets h.ExcusedRepeats and
// h.CheckedRecoveries.
func Check(h *History) []Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ExcusedRepeats, h.CheckedRecoveries = 0, 0
	c := &checker{h: h, runsByToken: map[string][]Run{}, sentByToken: map[string]Sent{}, runsById: map[string][]Run{}}
	slices.SortStableFunc(h.Runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	for _, r := range h.Runs {
		c.runsByToken[r.Token] = append(c.runsByToken[r.Token], r)
		c.runsById[r.Id] = append(c.runsById[r.Id], r)
	}
	ids := map[string]string{}
	for _, s := range h.Sent {
		c.sentByToken[s.Token] = s
		c.checkOutcome(s)
		c.checkAnswer(s, ids)
	}
	for token, runs := range c.runsByToken {
		c.checkRepeats(token, runs)
	}
	for id, end := range h.Finals {
		if end.State == "ended" {
			c.checkProof(id, end)
		}
	}
	for _, r := range h.Runs {
		c.checkRun(r)
	}
	c.checkKeyOrder()
	c.checkKeyOverlap()
	c.checkRates()
	c.checkDrains()
	c.checkStatusReads()
	c.checkExpiries()
	c.checkConfigs()
	c.checkSlowStart()
	c.checkRecovery()
	c.checkCallbacks()
	return c.breaches
}

// checkOutcome compares the outcome that a caller was given with the runs and the final state of the message: a taken
// message is not lost and keeps its body, a message that was not taken is never run, and an undecided one can be
// settled.
func (c *checker) checkOutcome(s Sent) {
	runs := c.runsByToken[s.Token]
	if s.Outcome == NotTaken && len(runs) > 0 {
		c.addBreach(RuleRejectedRun, "%s was answered as not taken and was run by %s", s.Token, runs[0].Worker)
	}
	end, isKnown := c.h.Finals[s.Id]
	if isKnown && end.State == "rejected" && len(runs) > 0 {
		c.addBreach(RuleRejectedRun, "%s was settled as not taken and was run by %s", s.Token, runs[0].Worker)
	}
	if isKnown && s.Outcome == Undecided && end.State == "unknown" {
		c.addBreach(RuleUnsettled, "%s was undecided and cannot be settled", s.Id)
	}
	if s.Outcome == Taken && (!isKnown || end.State == "unknown" || end.State == "rejected" || end.State == "") {
		c.addBreach(RuleTakenLost, "%s (%s) was acknowledged as taken and its final state is %q", s.Token, s.Id, end.State)
	}
	if s.Outcome == Taken && end.BodySum != "" && end.BodySum != s.BodySum {
		c.addBreach(RuleAlteredBody, "%s: the body read back differs from the one sent", s.Id)
	}
}

// checkRepeats checks that a message is not run again after a run that succeeded and whose answer was read. Repeats
// that the kill of an adapter explains are counted and not reported.
func (c *checker) checkRepeats(token string, runs []Run) {
	for i, r := range runs {
		if !r.isSuccess() || !r.IsAnswerComplete || i+1 == len(runs) {
			continue
		}
		if c.isExcusedByKill(r) {
			c.h.ExcusedRepeats++
			continue
		}
		c.addBreach(RuleRepeatedSuccess, "%s succeeded at %s in attempt %d, and attempt %d started %v later", token, r.Worker,
			r.Attempt, runs[i+1].Attempt, runs[i+1].Start-r.End)
		return
	}
}

// isExcusedByKill reports whether the adapter that sent the run was killed at about the time at which it read the
// answer, so that the success may not have been recorded anywhere else. docs/delivery.md describes this window.
func (c *checker) isExcusedByKill(r Run) bool {
	for _, w := range c.h.Kills {
		if r.End >= w.From && r.End <= w.Until && (w.Adapter == "" || r.Adapter == "" || w.Adapter == r.Adapter) {
			return true
		}
	}
	return false
}

// checkProof checks that the proof of an ended message names a run that succeeded and holds the answer of that run.
func (c *checker) checkProof(id string, end FinalState) {
	runs := c.runsById[id]
	if len(runs) == 0 {
		c.addBreach(RuleEndedWithoutRun, "%s has ended and no back end ran it", id)
		return
	}
	for _, r := range runs {
		if r.Attempt == end.Attempt && r.Worker == end.Worker && r.isSuccess() {
			if r.AnswerSum != end.AnswerSum {
				c.addBreach(RuleMixedAnswer, "%s: the proof holds another answer than that of attempt %d", id, r.Attempt)
			}
			return
		}
	}
	c.addBreach(RuleWrongProof, "%s: its proof names attempt %d at %s, which did not succeed there", id, end.Attempt, end.Worker)
}
