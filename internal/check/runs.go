package check

import (
	"cmp"
	"slices"
	"time"
)

// Bounds on the rate of a pool: in any rateWindow it may get rateTolerance times its rate cap, and rateExtraRuns more.
const (
	rateWindow    = 5 * time.Second
	rateTolerance = 1.15 // the requirement allows "not much more" than the agreed rate
	rateExtraRuns = 2
)

// isSuccess reports whether the run was answered with a 2xx status.
func (r Run) isSuccess() bool { return r.Status >= 200 && r.Status < 300 }

// checkRun checks one run against its message: allowed pool, unaltered body, and not before the delay.
func (c *checker) checkRun(r Run) {
	s, isKnown := c.sentByToken[r.Token]
	if !isKnown {
		return // a call-back: its body is an answer, which no caller sent
	}
	if !c.isPoolAllowed(s.Lane, r) {
		c.addBreach(RuleWrongPool, "%s of lane %s ran in pool %s", r.Token, s.Lane, r.Pool)
	}
	if r.BodySum != s.BodySum {
		c.addBreach(RuleAlteredBody, "the body of %s arrived altered at %s", r.Token, r.Worker)
	}
	if s.Delay > 0 && r.Start < s.SentAt+s.Delay-millisecondRounding {
		c.addBreach(RuleEarly, "%s started %v before its delay of %v was over", r.Token, s.SentAt+s.Delay-r.Start, s.Delay)
	}
}

// millisecondRounding is by how much a period given in whole milliseconds may end early.
const millisecondRounding = 2 * time.Millisecond

// checkExpiries checks that no status read reports a message as expired before its patience has passed.
func (c *checker) checkExpiries() {
	byId := map[string]Sent{}
	for _, s := range c.h.Sent {
		byId[s.Id] = s
	}
	for _, read := range c.h.Reads {
		s, isKnown := byId[read.Id]
		if isKnown && s.Patience > 0 && read.State == "expired" && read.AnsweredAt < s.SentAt+s.Patience-millisecondRounding {
			c.addBreach(RuleEarlyExpiry, "%s was reported as expired %v before the end of its patience of %v", s.Token, s.SentAt+s.Patience-read.AnsweredAt, s.Patience)
		}
	}
}

// checkKeyOrder checks that the messages of each ordering key run one after another in the order in which they were
// taken. Only the callers' view of that order counts: messages that were in flight at the same time may run in any
// order.
func (c *checker) checkKeyOrder() {
	keys := map[string][]Sent{}
	for _, s := range c.h.Sent {
		if c.h.OrderedLanes[s.Lane] && s.Outcome == Taken {
			keys[s.Lane+"\x00"+s.Key] = append(keys[s.Lane+"\x00"+s.Key], s)
		}
	}
	for _, list := range keys {
		slices.SortFunc(list, func(a, b Sent) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
		busyUntil, busyToken := time.Duration(0), ""
		for i, s := range list {
			if i > 0 && s.SentAt < list[i-1].AnsweredAt {
				busyUntil = 0 // sent before the previous message was acknowledged: either order is valid
			}
			for _, r := range c.runsByToken[s.Token] {
				if r.Start < busyUntil {
					c.addBreach(RuleKeyOverlap, "key %s: %s started at %v, before %s ended at %v", s.Key, s.Token, r.Start, busyToken, busyUntil)
				}
			}
			for _, r := range c.runsByToken[s.Token] {
				if r.End > busyUntil {
					busyUntil, busyToken = r.End, s.Token
				}
			}
		}
	}
}

// checkKeyOverlap checks that two messages of one ordering key are never at back ends at the same time, whatever
// outcome their callers were given.
func (c *checker) checkKeyOverlap() {
	busy := map[string][]Run{}
	for _, r := range c.h.Runs { // sorted by start
		s, isKnown := c.sentByToken[r.Token]
		if !isKnown || !c.h.OrderedLanes[s.Lane] {
			continue
		}
		key := s.Lane + "\x00" + s.Key
		busy[key] = slices.DeleteFunc(busy[key], func(b Run) bool { return b.End != 0 && b.End <= r.Start })
		for _, b := range busy[key] {
			if b.Token != r.Token {
				c.addBreach(RuleKeyOverlap, "key %s: %s/%d started at %v at %s, while %s/%d was at %s until %v", s.Key, r.Token, r.Attempt,
					r.Start, r.Worker, b.Token, b.Attempt, b.Worker, b.End)
				break
			}
		}
		busy[key] = append(busy[key], r)
	}
}

// checkRates checks each pool with a rate cap in every rateWindow. If the cap was changed, the largest cap that may
// have been in force within the window applies.
func (c *checker) checkRates() {
	starts := map[string][]time.Duration{}
	for _, r := range c.h.Runs {
		if c.h.RateCaps[r.Pool] > 0 {
			starts[r.Pool] = append(starts[r.Pool], r.Start)
		}
	}
	for pool, list := range starts {
		first := 0
		for i, at := range list {
			for list[first] <= at-rateWindow {
				first++
			}
			maxRuns := int(c.maxRateCap(pool, at)*rateWindow.Seconds()*rateTolerance) + rateExtraRuns
			if i-first+1 > maxRuns {
				c.addBreach(RuleRateExceeded, "%s got %d runs in the %v before %v, at most %d are allowed", pool, i-first+1, rateWindow, at, maxRuns)
				break
			}
		}
	}
}
