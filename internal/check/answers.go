package check

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// checkAnswer checks that an answer belongs to its request: body checksum, proof token and message id must match,
// and the answer must be complete. ids maps each message id to the token that it was first given for.
func (c *checker) checkAnswer(s Sent, ids map[string]string) {
	if s.AnsweredBodySum != "" && s.AnsweredBodySum != s.BodySum {
		c.addBreach(RuleMixedAnswer, "the answer for %s has the checksum of another body", s.Token)
	}
	if s.ProofToken != "" && s.ProofToken != AnswerOf(s.Token) {
		c.addBreach(RuleMixedAnswer, "the answer for %s holds the proof of a run of %s", s.Token, s.ProofToken)
	}
	if s.IsTruncated {
		c.addBreach(RuleTruncatedAnswer, "an answer for %s was read without an error but is truncated", s.Token)
	}
	if s.Id == "" {
		return
	}
	if other, isKnown := ids[s.Id]; isKnown && other != s.Token {
		c.addBreach(RuleMixedAnswer, "%s and %s were both given the message id %s", s.Token, other, s.Id)
	}
	ids[s.Id] = s.Token
}

// AnswerOf returns the token of the answer that a back end gives for a message. The call-back that delivers the
// answer has the same token.
func AnswerOf(token string) string { return token + answerSuffix }

// answerSuffix is appended to the token of a message to form the token of its answer.
const answerSuffix = "/answer"

// isFinal reports whether a message in this state never changes state again.
func isFinal(state string) bool {
	return state == "ended" || state == "failed" || state == "expired" || state == "rejected"
}

// checkStatusReads checks all status reads of taken messages: the message must be found, with its own body, and
// neither its state nor its attempt count may go backwards.
func (c *checker) checkStatusReads() {
	byId := map[string]Sent{}
	for _, s := range c.sentByToken {
		if s.Outcome == Taken {
			byId[s.Id] = s
		}
	}
	list := slices.Clone(c.h.Reads)
	slices.SortStableFunc(list, func(a, b StatusRead) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	newest := map[string]StatusRead{} // by message id; only reads that were answered before the next one was sent
	for _, read := range list {
		s, isTaken := byId[read.Id]
		if !isTaken || read.RequestedAt < s.AnsweredAt {
			continue
		}
		switch {
		case read.State == "unknown" || read.State == "rejected" || read.State == "":
			c.addBreach(RuleTakenLost, "%s (%s) was acknowledged as taken and was reported as %q at %v", s.Token, s.Id, read.State, read.AnsweredAt)
		case read.BodySum != "" && read.BodySum != s.BodySum:
			c.addBreach(RuleAlteredBody, "%s: another body was read at %v", s.Id, read.AnsweredAt)
		}
		previous, isKnown := newest[read.Id]
		if isKnown && previous.AnsweredAt <= read.RequestedAt && (isFinal(previous.State) && read.State != previous.State || read.Attempts < previous.Attempts) {
			c.addBreach(RuleStateRegression, "%s was %s after %d attempts at %v and %s after %d attempts at %v", read.Id, previous.State, previous.Attempts, previous.AnsweredAt, read.State, read.Attempts, read.AnsweredAt)
		}
		if !isKnown || previous.AnsweredAt <= read.RequestedAt {
			newest[read.Id] = read
		}
	}
}

// Slow-start ramp of a cold worker: its starts per second begin at rampInitialRate and double rampDoublings times
// within the slow-start period. Up to rampTolerance times the ramp is allowed, because a worker whose duty moves
// meanwhile has two holders until the first one learns of the move.
const (
	rampInitialRate = 2.0
	rampDoublings   = 8.0
	rampTolerance   = 2.0
	rampExtraStarts = 6
)

// maxStarts returns how many starts a cold worker may have had this long after it joined.
func maxStarts(since, slowStart time.Duration) float64 {
	growth := rampDoublings * math.Ln2 / slowStart.Seconds()
	return rampTolerance*rampInitialRate*(math.Exp(growth*since.Seconds())-1)/growth + rampExtraStarts
}

// checkSlowStart checks that each cold worker gets no more starts than its slow-start ramp allows.
func (c *checker) checkSlowStart() {
	for _, cold := range c.h.Colds {
		count := 0
		for _, r := range c.h.Runs {
			since := r.Start - cold.From
			if r.Pool != cold.Pool || r.Worker != cold.Worker || since < 0 || since >= cold.SlowStart {
				continue
			}
			if count++; float64(count) > maxStarts(since, cold.SlowStart) {
				c.addBreach(RuleSlowStart, "%s/%s joined cold at %v and had %d starts %v later", cold.Pool, cold.Worker, cold.From, count, since)
				break
			}
		}
	}
}

// Bounds on recovery. In the last third of RecoveryTimeout after an outage (recoveryWindow), the runs of each kind of
// traffic must succeed for at least a quarter of the messages that callers send in that window.
const (
	RecoveryTimeout  = 12 * time.Second
	recoveryWindow   = 4 * time.Second
	minRecoverySends = 8 // fewer messages are too small a sample to judge
)

// checkRecovery checks that every kind of traffic is served again in time after each outage. The kind of a lane is its
// name up to the first dot.
func (c *checker) checkRecovery() {
	kind := func(lane string) string { first, _, _ := strings.Cut(lane, "."); return first }
	for _, o := range c.h.Outages {
		from, until := o.At+RecoveryTimeout-recoveryWindow, o.At+RecoveryTimeout
		sent, served := map[string]int{}, map[string]int{}
		for _, s := range c.h.Sent {
			if s.SentAt >= from && s.SentAt < until {
				sent[kind(s.Lane)]++
			}
		}
		for _, r := range c.h.Runs {
			if s, isKnown := c.sentByToken[r.Token]; isKnown && r.isSuccess() && r.End >= from && r.End < until {
				served[kind(s.Lane)]++
			}
		}
		for lane, n := range sent {
			if n < minRecoverySends {
				continue
			}
			c.h.CheckedRecoveries++
			if 4*served[lane] < n {
				c.addBreach(RuleRecovery, "%s: only %d of %d messages of %s were served from %v to %v", o.Description, served[lane], n, lane, from, until)
			}
		}
	}
}

// checkCallbacks checks that each message that ended on a lane with call-backs has a call-back with its answer, that it
// runs only in pools that the call-back lane allows, and that no other message is called back.
func (c *checker) checkCallbacks() {
	for token, runs := range c.runsByToken {
		parent, isCallback := strings.CutSuffix(token, answerSuffix)
		s, isKnown := c.sentByToken[parent]
		if !isCallback || !isKnown {
			continue
		}
		end := c.h.Finals[s.Id]
		for _, r := range runs {
			switch {
			case c.h.CallbackLanes[s.Lane] == "" || !c.isPoolAllowed(c.h.CallbackLanes[s.Lane], r):
				c.addBreach(RuleCallback, "the call-back of %s ran in pool %s", parent, r.Pool)
			case end.State != "" && end.State != "ended":
				c.addBreach(RuleCallback, "%s is %s and was called back", parent, end.State)
			case end.State == "ended" && (r.BodySum != end.AnswerSum || r.Id != end.CallbackId):
				c.addBreach(RuleCallback, "the call-back of %s does not carry the answer in its proof", parent)
			}
		}
	}
	for _, s := range c.sentByToken {
		end := c.h.Finals[s.Id]
		if c.h.CallbackLanes[s.Lane] == "" || end.State != "ended" {
			continue
		}
		callback, isRecorded := c.h.Finals[end.CallbackId]
		if end.CallbackId == "" || isRecorded && (callback.State == "unknown" || callback.State == "rejected") {
			c.addBreach(RuleCallback, "%s has ended and its call-back %q is lost", s.Token, end.CallbackId)
		}
	}
}
