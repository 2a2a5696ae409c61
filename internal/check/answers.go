package check

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// checkAnswer holds an answer against the request that it answers.
func (c *checker) checkAnswer(s Sent, ids map[string]string) {
	if s.AnsweredBodySum != "" && s.AnsweredBodySum != s.BodySum {
		c.addBreach(RuleMixedAnswer, "the answer for %s tells the checksum of other bytes", s.Token)
	}
	if s.ProofToken != "" && s.ProofToken != AnswerOf(s.Token) {
		c.addBreach(RuleMixedAnswer, "the answer for %s proves a run of %s", s.Token, s.ProofToken)
	}
	if s.IsTruncated {
		c.addBreach(RuleTruncatedAnswer, "an answer for %s was read without a failure and is not whole", s.Token)
	}
	if s.Id == "" {
		return
	}
	if other, isKnown := ids[s.Id]; isKnown && other != s.Token {
		c.addBreach(RuleMixedAnswer, "%s and %s were both told the id %s", s.Token, other, s.Id)
	}
	ids[s.Id] = s.Token
}

// AnswerOf is the token of the answer that a back end gives for a message, and
// so of the call-back that carries it.
func AnswerOf(token string) string { return token + answerSuffix }

const answerSuffix = "/answer"

func isFinal(state string) bool {
	return state == "ended" || state == "failed" || state == "expired" || state == "rejected"
}

// checkStatusReads: whoever asks for a taken message, whenever, is told of it, with its
// own bytes, and never that it went back.
func (c *checker) checkStatusReads() {
	byId := map[string]Sent{}
	for _, s := range c.sentByToken {
		if s.Outcome == Taken {
			byId[s.Id] = s
		}
	}
	list := slices.Clone(c.h.Reads)
	slices.SortStableFunc(list, func(a, b StatusRead) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
	newest := map[string]StatusRead{} // by id, of those already answered when the next was asked
	for _, x := range list {
		s, isTaken := byId[x.Id]
		if !isTaken || x.RequestedAt < s.AnsweredAt {
			continue
		}
		switch {
		case x.State == "unknown" || x.State == "rejected" || x.State == "":
			c.addBreach(RuleTakenLost, "%s (%s) was told taken and was %q at %v", s.Token, s.Id, x.State, x.AnsweredAt)
		case x.BodySum != "" && x.BodySum != s.BodySum:
			c.addBreach(RuleAlteredBody, "%s: other bytes were read at %v", s.Id, x.AnsweredAt)
		}
		was, isKnown := newest[x.Id]
		if isKnown && was.AnsweredAt <= x.RequestedAt && (isFinal(was.State) && x.State != was.State || x.Attempts < was.Attempts) {
			c.addBreach(RuleStateRegression, "%s was %s/%d at %v and %s/%d at %v", x.Id, was.State, was.Attempts, was.AnsweredAt, x.State, x.Attempts, x.AnsweredAt)
		}
		if !isKnown || was.AnsweredAt <= x.RequestedAt {
			newest[x.Id] = x
		}
	}
}

// The ramp that cold workers are held against: starts a second double
// rampDoublings times from rampInitialRate on while they ease in. Twice that is
// allowed: a duty that moves meanwhile has two holders until the first hears.
const (
	rampInitialRate = 2.0
	rampDoublings   = 8.0
	rampTolerance   = 2.0
	rampExtraStarts = 6
)

// maxStarts is how many starts a worker that came cold may have had by then.
func maxStarts(since, ease time.Duration) float64 {
	growth := rampDoublings * math.Ln2 / ease.Seconds()
	return rampTolerance*rampInitialRate*(math.Exp(growth*since.Seconds())-1)/growth + rampExtraStarts
}

// checkSlowStart: a worker that comes cold is eased in.
func (c *checker) checkSlowStart() {
	for _, x := range c.h.Colds {
		count := 0
		for _, r := range c.h.Runs {
			since := r.Start - x.From
			if r.Pool != x.Pool || r.Worker != x.Worker || since < 0 || since >= x.SlowStart {
				continue
			}
			if count++; float64(count) > maxStarts(since, x.SlowStart) {
				c.addBreach(RuleSlowStart, "%s/%s came cold at %v and had %d starts %v later", x.Pool, x.Worker, x.From, count, since)
				break
			}
		}
	}
}

// Recovery: in the last third of RecoveryTimeout after an outage, a quarter of what
// callers send of each kind is run.
const (
	RecoveryTimeout  = 12 * time.Second
	recoveryWindow   = 4 * time.Second
	minRecoverySends = 8 // fewer sends say nothing
)

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
				c.addBreach(RuleRecovery, "%s: %d of %d messages of %s were served from %v to %v", o.Description, served[lane], n, lane, from, until)
			}
		}
	}
}

// checkCallbacks: a success on a lane with call-backs has exactly one, which carries
// its answer, to a pool that may have it.
func (c *checker) checkCallbacks() {
	for token, runs := range c.runsByToken {
		parent, isChild := strings.CutSuffix(token, answerSuffix)
		s, isKnown := c.sentByToken[parent]
		if !isChild || !isKnown {
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
				c.addBreach(RuleCallback, "the call-back of %s does not carry the answer that its proof has", parent)
			}
		}
	}
	for _, s := range c.sentByToken {
		end := c.h.Finals[s.Id]
		if c.h.CallbackLanes[s.Lane] == "" || end.State != "ended" {
			continue
		}
		child, isAsked := c.h.Finals[end.CallbackId]
		if end.CallbackId == "" || isAsked && (child.State == "unknown" || child.State == "rejected") {
			c.addBreach(RuleCallback, "%s is ended and its call-back %q is lost", s.Token, end.CallbackId)
		}
	}
}
