package check

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// told holds an answer against the request that it answers.
func (c *checker) told(s Sent, ids map[string]string) {
	if s.GotSum != "" && s.GotSum != s.Sum {
		c.breach(RuleMixed, "the answer for %s tells the checksum of other bytes", s.Token)
	}
	if s.GotToken != "" && s.GotToken != AnswerOf(s.Token) {
		c.breach(RuleMixed, "the answer for %s proves a run of %s", s.Token, s.GotToken)
	}
	if s.IsShort {
		c.breach(RuleShort, "an answer for %s was read without a failure and is not whole", s.Token)
	}
	if s.Id == "" {
		return
	}
	if other, isKnown := ids[s.Id]; isKnown && other != s.Token {
		c.breach(RuleMixed, "%s and %s were both told the id %s", s.Token, other, s.Id)
	}
	ids[s.Id] = s.Token
}

// AnswerOf is the token of the answer that a back end gives for a message, and
// so of the call-back that carries it.
func AnswerOf(token string) string { return token + answerSuffix }

const answerSuffix = "/answer"

func isOver(state string) bool {
	return state == "ended" || state == "failed" || state == "expired" || state == "rejected"
}

// sights: whoever asks for a taken message, whenever, is told of it, with its
// own bytes, and never that it went back.
func (c *checker) sights() {
	byId := map[string]Sent{}
	for _, s := range c.bySent {
		if s.Told == Taken {
			byId[s.Id] = s
		}
	}
	list := slices.Clone(c.h.Sights)
	slices.SortStableFunc(list, func(a, b Sight) int { return cmp.Compare(a.At, b.At) })
	newest := map[string]Sight{} // by id, of those already answered when the next was asked
	for _, x := range list {
		s, isTaken := byId[x.Id]
		if !isTaken || x.At < s.ToldAt {
			continue
		}
		switch {
		case x.State == "unknown" || x.State == "rejected" || x.State == "":
			c.breach(RuleLost, "%s (%s) was told taken and was %q at %v", s.Token, s.Id, x.State, x.ToldAt)
		case x.BodySum != "" && x.BodySum != s.Sum:
			c.breach(RuleBytes, "%s: other bytes were read at %v", s.Id, x.ToldAt)
		}
		was, isKnown := newest[x.Id]
		if isKnown && was.ToldAt <= x.At && (isOver(was.State) && x.State != was.State || x.Attempts < was.Attempts) {
			c.breach(RuleBack, "%s was %s/%d at %v and %s/%d at %v", x.Id, was.State, was.Attempts, was.ToldAt, x.State, x.Attempts, x.ToldAt)
		}
		if !isKnown || was.ToldAt <= x.At {
			newest[x.Id] = x
		}
	}
}

// The ramp that cold workers are held against: starts a second double
// rampDoublings times from rampFirst on while they ease in. Twice that is
// allowed: a duty that moves meanwhile has two holders until the first hears.
const (
	rampFirst     = 2.0
	rampDoublings = 8.0
	rampAllowed   = 2.0
	rampHeadroom  = 6
)

// ramp is how many starts a worker that came cold may have had by then.
func ramp(since, ease time.Duration) float64 {
	growth := rampDoublings * math.Ln2 / ease.Seconds()
	return rampAllowed*rampFirst*(math.Exp(growth*since.Seconds())-1)/growth + rampHeadroom
}

// colds: a worker that comes cold is eased in.
func (c *checker) colds() {
	for _, x := range c.h.Colds {
		count := 0
		for _, r := range c.h.Runs {
			since := r.Start - x.From
			if r.Pool != x.Pool || r.Worker != x.Worker || since < 0 || since >= x.Ease {
				continue
			}
			if count++; float64(count) > ramp(since, x.Ease) {
				c.breach(RuleCold, "%s/%s came cold at %v and had %d starts %v later", x.Pool, x.Worker, x.From, count, since)
				break
			}
		}
	}
}

// Recovery: in the last third of RecoverIn after an outage, a quarter of what
// callers send of each kind is run.
const (
	RecoverIn    = 12 * time.Second
	recoverLook  = 4 * time.Second
	recoverLeast = 8 // fewer sends say nothing
)

func (c *checker) recovery() {
	kind := func(lane string) string { first, _, _ := strings.Cut(lane, "."); return first }
	for _, o := range c.h.Outages {
		from, until := o.At+RecoverIn-recoverLook, o.At+RecoverIn
		sent, served := map[string]int{}, map[string]int{}
		for _, s := range c.h.Sent {
			if s.At >= from && s.At < until {
				sent[kind(s.Lane)]++
			}
		}
		for _, r := range c.h.Runs {
			if s, isKnown := c.bySent[r.Token]; isKnown && r.isSuccess() && r.End >= from && r.End < until {
				served[kind(s.Lane)]++
			}
		}
		for lane, n := range sent {
			if n < recoverLeast {
				continue
			}
			c.h.Judged++
			if 4*served[lane] < n {
				c.breach(RuleRecovery, "%s: %d of %d messages of %s were served from %v to %v", o.Text, served[lane], n, lane, from, until)
			}
		}
	}
}

// callbacks: a success on a lane with call-backs has exactly one, which carries
// its answer, to a pool that may have it.
func (c *checker) callbacks() {
	for token, runs := range c.runs {
		parent, isChild := strings.CutSuffix(token, answerSuffix)
		s, isKnown := c.bySent[parent]
		if !isChild || !isKnown {
			continue
		}
		end := c.h.Ends[s.Id]
		for _, r := range runs {
			switch {
			case c.h.Backs[s.Lane] == "" || !c.mayUse(c.h.Backs[s.Lane], r):
				c.breach(RuleCallback, "the call-back of %s ran in pool %s", parent, r.Pool)
			case end.State != "" && end.State != "ended":
				c.breach(RuleCallback, "%s is %s and was called back", parent, end.State)
			case end.State == "ended" && (r.Sum != end.Sum || r.Id != end.Child):
				c.breach(RuleCallback, "the call-back of %s does not carry the answer that its proof has", parent)
			}
		}
	}
	for _, s := range c.bySent {
		end := c.h.Ends[s.Id]
		if c.h.Backs[s.Lane] == "" || end.State != "ended" {
			continue
		}
		child, isAsked := c.h.Ends[end.Child]
		if end.Child == "" || isAsked && (child.State == "unknown" || child.State == "rejected") {
			c.breach(RuleCallback, "%s is ended and its call-back %q is lost", s.Token, end.Child)
		}
	}
}
