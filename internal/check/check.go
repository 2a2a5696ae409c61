package check

import (
	"cmp"
	"fmt"
	"slices"
)

// Breach is one broken rule.
type Breach struct {
	Rule string
	Text string
}

// Rules that a history is held against.
const (
	RuleLost     = "taken and lost"
	RuleGhost    = "not taken and run"
	RuleOrder    = "ordered overlap"
	RuleDouble   = "answered success run again"
	RuleProof    = "proof of another run"
	RulePool     = "wrong pool"
	RuleBytes    = "altered bytes"
	RuleMixed    = "answer of another message"
	RuleShort    = "short answer that looks whole"
	RuleRate     = "endpoint over its rate"
	RuleLeaving  = "new work after leaving"
	RuleUnended  = "ended without a run"
	RuleOpen     = "undecided for good"
	RuleBack     = "state went back"
	RuleConfig   = "older charter in use"
	RuleCold     = "cold worker flooded"
	RuleRecovery = "not served again in time"
	RuleCallback = "call-back"
	RuleEarly    = "before its delay"
	RuleExpired  = "expired before its time"
)

type checker struct {
	h        *History
	breaches []Breach
	runs     map[string][]Run // by token, in order of start
	bySent   map[string]Sent
	byId     map[string][]Run
}

func (c *checker) breach(rule, form string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf(form, args...)})
}

// Check gives every broken rule.
func Check(h *History) []Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Spared, h.Judged = 0, 0
	c := &checker{h: h, runs: map[string][]Run{}, bySent: map[string]Sent{}, byId: map[string][]Run{}}
	slices.SortStableFunc(h.Runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	for _, r := range h.Runs {
		c.runs[r.Token] = append(c.runs[r.Token], r)
		c.byId[r.Id] = append(c.byId[r.Id], r)
	}
	ids := map[string]string{}
	for _, s := range h.Sent {
		c.bySent[s.Token] = s
		c.sent(s)
		c.told(s, ids)
	}
	for token, runs := range c.runs {
		c.double(token, runs)
	}
	for id, end := range h.Ends {
		if end.State == "ended" {
			c.proof(id, end)
		}
	}
	for _, r := range h.Runs {
		c.run(r)
	}
	c.order()
	c.overlaps()
	c.rates()
	c.marks()
	c.sights()
	c.expiries()
	c.configs()
	c.colds()
	c.recovery()
	c.callbacks()
	return c.breaches
}

// sent holds what a caller was told against what happened.
func (c *checker) sent(s Sent) {
	runs := c.runs[s.Token]
	if s.Told == NotTaken && len(runs) > 0 {
		c.breach(RuleGhost, "%s was told not taken and was run by %s", s.Token, runs[0].Worker)
	}
	end, isKnown := c.h.Ends[s.Id]
	if isKnown && end.State == "rejected" && len(runs) > 0 {
		c.breach(RuleGhost, "%s was settled as not taken and was run by %s", s.Token, runs[0].Worker)
	}
	if isKnown && s.Told == Undecided && end.State == "unknown" {
		c.breach(RuleOpen, "%s was undecided and cannot be settled", s.Id)
	}
	if s.Told == Taken && (!isKnown || end.State == "unknown" || end.State == "rejected" || end.State == "") {
		c.breach(RuleLost, "%s (%s) was told taken and is %q", s.Token, s.Id, end.State)
	}
	if s.Told == Taken && end.BodySum != "" && end.BodySum != s.Sum {
		c.breach(RuleBytes, "%s: the bytes read back differ", s.Id)
	}
}

// double: what was answered with a success and read is never run again.
func (c *checker) double(token string, runs []Run) {
	for i, r := range runs {
		if !r.isSuccess() || !r.IsWhole || i+1 == len(runs) {
			continue
		}
		if c.wasLost(r) {
			c.h.Spared++
			continue
		}
		c.breach(RuleDouble, "%s succeeded at %s in attempt %d, and attempt %d came %v later", token, r.Worker,
			r.Attempt, runs[i+1].Attempt, runs[i+1].Start-r.End)
		return
	}
}

// wasLost reports whether the adapter that sent the run was killed about when
// its answer was read, before anybody else had it: the window that
// docs/delivery.md describes.
func (c *checker) wasLost(r Run) bool {
	for _, w := range c.h.Lost {
		if r.End >= w.From && r.End <= w.Until && (w.Adapter == "" || r.Adapter == "" || w.Adapter == r.Adapter) {
			return true
		}
	}
	return false
}

// proof: an end carries the run that succeeded, and that run's answer.
func (c *checker) proof(id string, end End) {
	runs := c.byId[id]
	if len(runs) == 0 {
		c.breach(RuleUnended, "%s is ended and no back end saw it", id)
		return
	}
	for _, r := range runs {
		if r.Attempt == end.Attempt && r.Worker == end.Worker && r.isSuccess() {
			if r.Answer != end.Sum {
				c.breach(RuleMixed, "%s: the proof holds another answer than attempt %d gave", id, r.Attempt)
			}
			return
		}
	}
	c.breach(RuleProof, "%s: attempt %d at %s did not succeed there", id, end.Attempt, end.Worker)
}
