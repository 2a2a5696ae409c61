package check

import (
	"cmp"
	"slices"
	"time"
)

const (
	rateWindow   = 5 * time.Second
	rateAllowed  = 1.15 // "not much more" than the agreed rate
	rateHeadroom = 2
)

func (r Run) isSuccess() bool { return r.Status >= 200 && r.Status < 300 }

// run holds one run against what its message may do.
func (c *checker) run(r Run) {
	s, isKnown := c.bySent[r.Token]
	if !isKnown {
		return // a call-back: its bytes are an answer, not a caller's
	}
	if !c.mayUse(s.Lane, r) {
		c.breach(RulePool, "%s of lane %s ran in pool %s", r.Token, s.Lane, r.Pool)
	}
	if r.Sum != s.Sum {
		c.breach(RuleBytes, "%s arrived altered at %s", r.Token, r.Worker)
	}
	if s.Delay > 0 && r.Start < s.At+s.Delay-rounding {
		c.breach(RuleEarly, "%s began %v before its delay of %v was over", r.Token, s.At+s.Delay-r.Start, s.Delay)
	}
}

// rounding is by how much a span that is told in milliseconds may end early.
const rounding = 2 * time.Millisecond

// expiries: nobody may say that a message has expired before it may have.
func (c *checker) expiries() {
	byId := map[string]Sent{}
	for _, s := range c.h.Sent {
		byId[s.Id] = s
	}
	for _, x := range c.h.Sights {
		s, isKnown := byId[x.Id]
		if isKnown && s.Patience > 0 && x.State == "expired" && x.ToldAt < s.At+s.Patience-rounding {
			c.breach(RuleExpired, "%s was expired %v before its patience of %v was over", s.Token, s.At+s.Patience-x.ToldAt, s.Patience)
		}
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

// overlaps: whatever their callers were told, no two messages of one key are at
// back ends at the same time.
func (c *checker) overlaps() {
	busy := map[string][]Run{}
	for _, r := range c.h.Runs { // by start
		s, isKnown := c.bySent[r.Token]
		if !isKnown || !c.h.Order[s.Lane] {
			continue
		}
		key := s.Lane + "\x00" + s.Key
		busy[key] = slices.DeleteFunc(busy[key], func(b Run) bool { return b.End != 0 && b.End <= r.Start })
		for _, b := range busy[key] {
			if b.Token != r.Token {
				c.breach(RuleOrder, "key %s: %s/%d started at %v at %s, while %s/%d was at %s until %v", s.Key, r.Token, r.Attempt,
					r.Start, r.Worker, b.Token, b.Attempt, b.Worker, b.End)
				break
			}
		}
		busy[key] = append(busy[key], r)
	}
}

// rates holds each capped pool against its rate over any window. Where the cap
// was edited, the largest one counts that was in force within the window.
func (c *checker) rates() {
	starts := map[string][]time.Duration{}
	for _, r := range c.h.Runs {
		if c.h.Caps[r.Pool] > 0 {
			starts[r.Pool] = append(starts[r.Pool], r.Start)
		}
	}
	for pool, list := range starts {
		first := 0
		for i, at := range list {
			for list[first] <= at-rateWindow {
				first++
			}
			most := int(c.capOf(pool, at)*rateWindow.Seconds()*rateAllowed) + rateHeadroom
			if i-first+1 > most {
				c.breach(RuleRate, "%s got %d runs in the %v before %v, allowed are %d", pool, i-first+1, rateWindow, at, most)
				break
			}
		}
	}
}
