package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/check"
)

// The platform's bounds, which its settings files tell too.
const (
	contact      = 4000 * time.Millisecond
	acknowledge  = 5000 * time.Millisecond
	drain        = 3000 * time.Millisecond
	grace        = 6 * time.Second
	lossSlack    = 200 * time.Millisecond
	apply        = 3000 * time.Millisecond
	rollback     = 250 * time.Millisecond
	evacuation   = 5000 * time.Millisecond
	finish       = 10 * time.Second
	earliest     = 100 * time.Millisecond // a run may begin so long before its delay is over
	earlySlack   = 200 * time.Millisecond // and by so much more no rule is broken
	readSpare    = 50 * time.Millisecond  // a success that is told later may run again
	ceilingSpan  = 5 * time.Second
	ceilingShare = 1.1
	ceilingMore  = 5
	coldShare    = 1.5
	coldMore     = 5
)

// Rules that a history is held against, by the platform's names.
const (
	RuleMixed    = "MIXED"
	RuleUnasked  = "UNASKED"
	RuleRefused  = "REFUSED"
	RuleRoute    = "ROUTE"
	RuleDrain    = "DRAIN"
	RuleLost     = "LOST"
	RuleConfig   = "CONFIG"
	RuleEvac     = "EVAC"
	RuleFailback = "FAILBACK"
	RuleOrder    = "ORDER"
	RuleTwice    = "TWICE"
	RuleCeiling  = "CEILING"
	RuleRecover  = "RECOVER"
	RuleAcks     = "ACKS"
	RuleLying    = "LYING"
	RuleQuota    = "QUOTA"
	RuleShape    = "SHAPE"
)

type judge struct {
	h        *History
	breaches []check.Breach
	sent     map[string]Sent
	byId     map[string]Sent
	runs     map[string][]Run // by token, in order of start

	operations map[string]*operation // by token
	list       []*operation
	keys       []map[string]string // the tenants by their API keys, for each configuration
	tenants    map[string]string   // the same for all of them
	hasTenants bool
}

func (j *judge) breach(rule, form string, args ...any) {
	j.breaches = append(j.breaches, check.Breach{Rule: rule, Text: fmt.Sprintf(form, args...)})
}

// newJudge is called with the history's mu held.
func newJudge(h *History) *judge {
	j := &judge{h: h, sent: map[string]Sent{}, byId: map[string]Sent{}, runs: map[string][]Run{}}
	slices.SortStableFunc(h.Runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	for _, s := range h.Sent {
		j.sent[s.Token], j.byId[s.Id] = s, s
	}
	for _, r := range h.Runs {
		j.runs[r.Token] = append(j.runs[r.Token], r)
	}
	j.learnKeys()
	j.gather()
	return j
}

// Judge gives every broken rule. Without isTimed it leaves out the rules that
// hold only for machines that are fast enough, as a busy one is not.
func Judge(h *History, isTimed bool) []check.Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := newJudge(h)
	j.same()
	j.unasked()
	j.tenancy()
	j.twice()
	j.shapes()
	j.pries()
	j.quotas()
	j.ends()
	j.tells()
	j.order()
	j.early()
	j.unanswered()
	j.edits()
	j.readBack()
	j.calls()
	if isTimed {
		j.timed()
		j.rates()
		j.answers()
		j.wentBack()
		j.keyAnswers()
		j.keysWentBack()
		j.shares()
		j.broken()
		j.orders()
	}
	return j.breaches
}

// rulesOf are the platform's names of rules that the product has too.
var rulesOf = map[string]string{check.RuleGhost: RuleRefused, check.RuleLost: RuleLost, check.RuleBytes: RuleUnasked,
	check.RuleMixed: RuleMixed, check.RuleBack: RuleMixed, check.RuleDouble: RuleTwice, check.RulePool: RuleRoute, check.RuleRecovery: RuleRecover}

func (j *judge) take(breaches []check.Breach, other map[string]string) {
	for _, b := range breaches {
		rule := other[b.Rule]
		if rule == "" {
			rule = rulesOf[b.Rule]
		}
		if rule != "" {
			j.breach(rule, "%s", b.Text)
		}
	}
}

// like gives what the product's own check can judge of a history.
func (j *judge) like() *check.History {
	out := check.NewHistory()
	for _, s := range j.h.Sent {
		out.Sent = append(out.Sent, s.Sent)
	}
	for _, r := range j.h.Runs {
		out.Runs = append(out.Runs, r.Run)
	}
	return out
}

// same holds the history against the product's rules that mean the same as the
// platform's, whatever the time.
func (j *judge) same() {
	h := j.like()
	for i, r := range j.h.Runs {
		next := slices.IndexFunc(j.h.Runs[i+1:], func(n Run) bool { return n.Token == r.Token })
		if next < 0 || r.Spare < readSpare || !j.h.isCalm(r.Start-contact, j.h.Runs[i+1+next].Start, unplanned) {
			h.Runs[i].IsWhole = false // it may run again
		}
	}
	j.join(h)
	for _, x := range j.h.Sights {
		if s := j.byId[x.Id]; x.State != "unknown" || !j.hasEnded(s, x.ToldAt) {
			h.Sights = append(h.Sights, x)
		}
	}
	for _, e := range j.h.Edits {
		if !e.IsInvalid {
			for route, services := range e.Pools {
				h.Pools[route] = append(h.Pools[route], services...)
			}
		}
	}
	j.take(check.Check(h), nil)
}

// lastWord is unknown only for a message that is lost: not ended, and its
// bytes do not come back, or it is said to have ended.
func (j *judge) lastWord(s Sent) string {
	end, isAsked := j.h.Ends[s.Token]
	if !isAsked || end.State == "queued" && end.BodySum != "" || j.hasEnded(s, end.At) {
		return "held"
	}
	return "unknown"
}

// hasEnded reports whether a message may have ended by a moment.
func (j *judge) hasEnded(s Sent, at time.Duration) bool {
	_, isOver := j.endOf(s, at)
	return isOver
}

// endOf returns when a message ended at the earliest, as the platform means it.
func (j *judge) endOf(s Sent, by time.Duration) (time.Duration, bool) {
	route, failed, o := j.h.Routes[s.Lane], 0, j.operationOf(s)
	best, isOver := by, false
	note := func(at time.Duration) {
		if at <= by {
			best, isOver = min(best, at), true
		}
	}
	for _, r := range o.runs {
		if r.Status == 500 {
			failed++
		}
		if r.Status >= 200 && r.Status <= 299 || r.Status == 422 || failed > 0 && failed >= route.Attempts {
			note(r.End)
		}
	}
	note(o.sends[0].At + route.Retention)
	for _, e := range j.h.Edits {
		_, isKept := e.Pools[s.Lane]
		mayFollow := s.ToldAt < max(e.At, e.AckAt)+apply // it may be accepted until the change must hold
		if !isKept && !e.IsInvalid && e.Code/100 != 4 && mayFollow && (e.At > s.ToldAt || e.AckAt > 0) {
			note(max(e.At, s.ToldAt))
		}
	}
	return best, isOver
}

// timed holds deliveries against bounds of time, as far as all were in touch.
func (j *judge) timed() {
	h := j.like()
	for i := range h.Sent {
		h.Sent[i].Told, h.Sent[i].Id = "", "" // names are judged by same
	}
	h.Runs = slices.DeleteFunc(h.Runs, func(r check.Run) bool { return !j.h.inTouch(r.Start) })
	for i := range h.Runs {
		h.Runs[i].IsWhole = false
	}
	h.Edits, h.Zones, h.Outages = j.proper(), j.h.Zones, j.h.Outages
	for _, isOfZone := range []bool{true, false} {
		h.Marks = slices.DeleteFunc(slices.Clone(j.h.Marks), func(m check.Mark) bool { return (m.Zone != "") != isOfZone })
		rule := map[bool]string{true: RuleEvac, false: RuleDrain}[isOfZone]
		j.take(check.Check(h), map[string]string{check.RuleLeaving: rule, check.RulePool: RuleConfig})
		h.Edits, h.Outages, h.Sent = nil, nil, nil // judged once
	}
}

// proper lists the configurations that may have come into force, and before
// them the one of the beginning, which has nothing.
func (j *judge) proper() []check.Edit {
	out := []check.Edit{{AckAt: 1}}
	for _, e := range j.h.Edits {
		if !e.IsInvalid && e.Code/100 != 4 {
			out = append(out, e.Edit)
		}
	}
	return out
}
