package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"caperwheel/internal/check"
)

// The platform's bounds, which are also in the settings files of the processes.
const (
	contactBound     = 4000 * time.Millisecond
	acknowledgeBound = 5000 * time.Millisecond
	drainBound       = 3000 * time.Millisecond
	gracePeriod      = 6 * time.Second
	lossSlack        = 200 * time.Millisecond
	configApplyBound = 3000 * time.Millisecond
	rollbackSlack    = 250 * time.Millisecond
	evacuationBound  = 5000 * time.Millisecond
	finishBound      = 10 * time.Second
	maxEarlyStart    = 100 * time.Millisecond // a run may begin so long before its delay ends
	earlyStartSlack  = 200 * time.Millisecond // tolerance beyond maxEarlyStart before it is a breach
	minTimeLeft      = 50 * time.Millisecond  // a success reported with less time left may run again
	ceilingWindow    = 5 * time.Second
	ceilingOvershoot = 1.1
	ceilingSlack     = 5
	coldOvershoot    = 1.5
	coldSlack        = 5
)

// The rules by which a history is judged, by the platform's names.
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

// judge holds a history with its indexes, and collects the breaches.
type judge struct {
	h           *History
	breaches    []check.Breach
	submissions map[string]Submission
	byId        map[string]Submission
	runs        map[string][]Run // by token, in order of start

	operations    map[string]*operation // by token
	operationList []*operation
	keys          []map[string]string // tenant by API key, for each configuration
	tenants       map[string]string   // tenant by API key, over all configurations
	hasTenants    bool
}

// breach adds a breach of a rule.
func (j *judge) breach(rule, form string, args ...any) {
	j.breaches = append(j.breaches, check.Breach{Rule: rule, Text: fmt.Sprintf(form, args...)})
}

// newJudge indexes a history. The caller holds the history's mutex.
func newJudge(h *History) *judge {
	j := &judge{h: h, submissions: map[string]Submission{}, byId: map[string]Submission{}, runs: map[string][]Run{}}
	slices.SortStableFunc(h.Runs, func(a, b Run) int { return cmp.Compare(a.Start, b.Start) })
	for _, s := range h.Sent {
		j.submissions[s.Token], j.byId[s.Id] = s, s
	}
	for _, r := range h.Runs {
		j.runs[r.Token] = append(j.runs[r.Token], r)
	}
	j.indexKeys()
	j.groupOperations()
	return j
}

// Judge returns every breach of a rule. Without isTimed it leaves out the rules with time bounds, which a busy
// machine may break.
func Judge(h *History, isTimed bool) []check.Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := newJudge(h)
	j.judgeProductRules()
	j.judgeUnasked()
	j.judgeTenancy()
	j.judgeDuplicates()
	j.judgeResponseFields()
	j.judgeCrossTenantQueries()
	j.judgeQuotas()
	j.judgeFinalStates()
	j.judgeCallbacks()
	j.judgeOrdering()
	j.judgeEarlyRuns()
	j.judgeUnanswered()
	j.judgeEdits()
	j.judgeReadBack()
	j.judgeCalls()
	if isTimed {
		j.judgeTimed()
		j.judgeRates()
		j.judgeRouteResponses()
		j.judgeRouteRegressions()
		j.judgeKeyResponses()
		j.judgeKeyRegressions()
		j.judgeQuotaShares()
		j.judgeBrokenConnections()
		j.judgeCommands()
	}
	return j.breaches
}

// platformRuleOf maps the rules of package check to the platform's names for them.
var platformRuleOf = map[string]string{check.RuleRejectedRun: RuleRefused, check.RuleTakenLost: RuleLost, check.RuleAlteredBody: RuleUnasked,
	check.RuleMixedAnswer: RuleMixed, check.RuleStateRegression: RuleMixed, check.RuleRepeatedSuccess: RuleTwice, check.RuleWrongPool: RuleRoute, check.RuleRecovery: RuleRecover}

// addBreaches adds breaches found by package check under the platform's rule names; other takes precedence over
// platformRuleOf, and rules without a name are skipped.
func (j *judge) addBreaches(breaches []check.Breach, other map[string]string) {
	for _, b := range breaches {
		rule := other[b.Rule]
		if rule == "" {
			rule = platformRuleOf[b.Rule]
		}
		if rule != "" {
			j.breach(rule, "%s", b.Text)
		}
	}
}

// productHistory converts the history to the form that package check judges.
func (j *judge) productHistory() *check.History {
	out := check.NewHistory()
	for _, s := range j.h.Sent {
		out.Sent = append(out.Sent, s.Sent)
	}
	for _, r := range j.h.Runs {
		out.Runs = append(out.Runs, r.Run)
	}
	return out
}

// judgeProductRules applies the rules of package check that match the platform's rules and do not depend on time.
func (j *judge) judgeProductRules() {
	h := j.productHistory()
	for i, r := range j.h.Runs {
		next := slices.IndexFunc(j.h.Runs[i+1:], func(n Run) bool { return n.Token == r.Token })
		if next < 0 || r.TimeLeft < minTimeLeft || !j.h.isQuiet(r.Start-contactBound, j.h.Runs[i+1+next].Start, isUnplanned) {
			h.Runs[i].IsAnswerComplete = false // the message may run again
		}
	}
	j.joinFinalStates(h)
	for _, x := range j.h.Observations {
		if s := j.byId[x.Id]; x.State != "unknown" || !j.hasEnded(s, x.AnsweredAt) {
			h.Reads = append(h.Reads, x)
		}
	}
	for _, e := range j.h.Edits {
		if !e.IsInvalid {
			for route, services := range e.Pools {
				h.LanePools[route] = append(h.LanePools[route], services...)
			}
		}
	}
	j.addBreaches(check.Check(h), nil)
}

// finalState is "held", or "unknown" if the message is lost: not ended, but reported as ended or without its body.
func (j *judge) finalState(s Submission) string {
	end, isReported := j.h.FinalStates[s.Token]
	if !isReported || end.State == "queued" && end.BodySum != "" || j.hasEnded(s, end.At) {
		return "held"
	}
	return "unknown"
}

// hasEnded reports whether a message may have ended by a moment.
func (j *judge) hasEnded(s Submission, at time.Duration) bool {
	_, isEnded := j.endOf(s, at)
	return isEnded
}

// endOf returns the earliest moment, up to by, at which a message may have ended, and whether there is one.
func (j *judge) endOf(s Submission, by time.Duration) (time.Duration, bool) {
	route, failed, o := j.h.Routes[s.Lane], 0, j.operationOf(s)
	best, isEnded := by, false
	note := func(at time.Duration) {
		if at <= by {
			best, isEnded = min(best, at), true
		}
	}
	for _, r := range o.runs {
		if r.Status == 500 {
			failed++
		}
		if r.Status >= 200 && r.Status <= 299 || r.Status == 422 || failed > 0 && failed >= route.MaxAttempts {
			note(r.End)
		}
	}
	note(o.submissions[0].SentAt + route.Retention)
	for _, e := range j.h.Edits {
		_, hasRoute := e.Pools[s.Lane]
		mayFollow := s.AnsweredAt < max(e.SentAt, e.AcknowledgedAt)+configApplyBound // accepted until it must be applied
		if !hasRoute && !e.IsInvalid && e.Code/100 != 4 && mayFollow && (e.SentAt > s.AnsweredAt || e.AcknowledgedAt > 0) {
			note(max(e.SentAt, s.AnsweredAt))
		}
	}
	return best, isEnded
}

// judgeTimed applies the rules with time bounds to deliveries, as far as the system was settled at their start.
func (j *judge) judgeTimed() {
	h := j.productHistory()
	for i := range h.Sent {
		h.Sent[i].Outcome, h.Sent[i].Id = "", "" // names are judged by judgeProductRules
	}
	h.Runs = slices.DeleteFunc(h.Runs, func(r check.Run) bool { return !j.h.isSettled(r.Start) })
	for i := range h.Runs {
		h.Runs[i].IsAnswerComplete = false
	}
	h.Edits, h.Zones, h.Outages = j.validEdits(), j.h.Zones, j.h.Outages
	for _, isOfZone := range []bool{true, false} {
		h.Drains = slices.DeleteFunc(slices.Clone(j.h.Marks), func(m check.Drain) bool { return (m.Zone != "") != isOfZone })
		rule := map[bool]string{true: RuleEvac, false: RuleDrain}[isOfZone]
		j.addBreaches(check.Check(h), map[string]string{check.RuleRunAfterDrain: rule, check.RuleWrongPool: RuleConfig})
		h.Edits, h.Outages, h.Sent = nil, nil, nil // judged in the first pass only
	}
}

// validEdits lists the configurations that may have come into force, preceded by the empty one at the start.
func (j *judge) validEdits() []check.Edit {
	out := []check.Edit{{AcknowledgedAt: 1}}
	for _, e := range j.h.Edits {
		if !e.IsInvalid && e.Code/100 != 4 {
			out = append(out, e.Edit)
		}
	}
	return out
}
