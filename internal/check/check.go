package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"
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
	RuleRate     = "endpoint over its rate"
	RuleLeaving  = "new work after leaving"
	RuleUnended  = "ended without a run"
	RuleOpen     = "undecided for good"
	rateWindow   = 5 * time.Second
	rateAllowed  = 1.15 // "not much more" than the agreed rate
	rateHeadroom = 2
)

type checker struct {
	h        *History
	breaches []Breach
	runs     map[string][]Run // by token, in order of start
	bySent   map[string]Sent
}

func (c *checker) breach(rule, form string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, fmt.Sprintf(form, args...)})
}

// Check gives every broken rule.
func Check(h *History) []Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{h: h, runs: map[string][]Run{}, bySent: map[string]Sent{}}
	slices.SortStableFunc(h.Runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	for _, r := range h.Runs {
		c.runs[r.Token] = append(c.runs[r.Token], r)
	}
	for _, s := range h.Sent {
		c.bySent[s.Token] = s
		c.sent(s)
	}
	for _, r := range h.Runs {
		c.run(r)
	}
	c.order()
	c.rates()
	c.marks()
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
	for i, r := range runs {
		if r.Status >= 200 && r.Status < 300 && r.IsWhole && i+1 < len(runs) && !c.wasLost(r) {
			c.breach(RuleDouble, "%s succeeded at %s in attempt %d, and attempt %d came %v later", s.Token, r.Worker,
				r.Attempt, runs[i+1].Attempt, runs[i+1].Start-r.End)
			break
		}
	}
	if end.State == "ended" {
		c.proof(s, end, runs)
	}
}

// wasLost tells whether an adapter was killed about when the run's answer was
// read, before anybody else had it: the window that docs/delivery.md describes.
func (c *checker) wasLost(r Run) bool {
	for _, w := range c.h.Lost {
		if r.End >= w.From && r.End <= w.Until {
			return true
		}
	}
	return false
}

func (c *checker) proof(s Sent, end End, runs []Run) {
	if len(runs) == 0 {
		c.breach(RuleUnended, "%s is ended and no back end saw it", s.Token)
		return
	}
	for _, r := range runs {
		if r.Attempt == end.Attempt && r.Worker == end.Worker && r.Status >= 200 && r.Status < 300 {
			if r.Answer != end.Sum {
				c.breach(RuleMixed, "%s: the proof holds another answer than attempt %d gave", s.Token, r.Attempt)
			}
			return
		}
	}
	c.breach(RuleProof, "%s: attempt %d at %s did not succeed there", s.Token, end.Attempt, end.Worker)
}

// run holds one run against what its message may do.
func (c *checker) run(r Run) {
	s, isKnown := c.bySent[r.Token]
	if !isKnown {
		return // a call-back: its bytes are an answer, not a caller's
	}
	if !slices.Contains(c.h.Pools[s.Lane], r.Pool) {
		c.breach(RulePool, "%s of lane %s ran in pool %s", r.Token, s.Lane, r.Pool)
	}
	if r.Sum != s.Sum {
		c.breach(RuleBytes, "%s arrived altered at %s", r.Token, r.Worker)
	}
}

// order holds each key's runs against the order in which its messages were
// taken, as far as the callers know it.
func (c *checker) order() {
	keys := map[string][]Sent{}
	for _, s := range c.h.Sent {
		if c.h.Order[s.Lane] && s.Told == Taken {
			keys[s.Lane+"\x00"+s.Key] = append(keys[s.Lane+"\x00"+s.Key], s)
		}
	}
	for _, list := range keys {
		slices.SortFunc(list, func(a, b Sent) int { return cmp.Compare(a.ToldAt, b.ToldAt) })
		busy, by := time.Duration(0), ""
		for i, s := range list {
			if i > 0 && s.At < list[i-1].ToldAt {
				busy = 0 // sent before the other was told taken: their order is open
			}
			for _, r := range c.runs[s.Token] {
				if r.Start < busy {
					c.breach(RuleOrder, "key %s: %s started at %v, before %s ended at %v", s.Key, s.Token, r.Start, by, busy)
				}
			}
			for _, r := range c.runs[s.Token] {
				if r.End > busy {
					busy, by = r.End, s.Token
				}
			}
		}
	}
}

// rates holds each capped pool against its rate over any window.
func (c *checker) rates() {
	starts := map[string][]time.Duration{}
	for _, r := range c.h.Runs {
		if c.h.Caps[r.Pool] > 0 {
			starts[r.Pool] = append(starts[r.Pool], r.Start)
		}
	}
	for pool, list := range starts {
		most := int(c.h.Caps[pool]*rateWindow.Seconds()*rateAllowed) + rateHeadroom
		first := 0
		for i, at := range list {
			for list[first] <= at-rateWindow {
				first++
			}
			if i-first+1 > most {
				c.breach(RuleRate, "%s got %d runs in the %v before %v, allowed are %d", pool, i-first+1, rateWindow, at, most)
				break
			}
		}
	}
}

// marks holds leaving workers and emptied cells against their bounds.
func (c *checker) marks() {
	for _, m := range c.h.Marks {
		for _, r := range c.h.Runs {
			isHit := m.Worker != "" && r.Pool == m.Pool && r.Worker == m.Worker ||
				m.Worker == "" && c.h.Cells[r.Pool+"/"+r.Worker] == m.Cell
			if isHit && r.Start > m.From+m.Bound && (m.Until == 0 || r.Start < m.Until) {
				c.breach(RuleLeaving, "%s/%s got %s %v after it was to get no more", r.Pool, r.Worker, r.Token, r.Start-m.From)
			}
		}
	}
}
