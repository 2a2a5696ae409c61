package standin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
)

// The tenants of test histories, with their API keys.
const (
	hall, hallKey     = "hall", "api-key-hall"
	grower, growerKey = "grower", "api-key-grower"
)

// tenantsOf returns the tenants of a test history, with the API keys of tenant hall.
func tenantsOf(hallKeys ...string) []tenant {
	return []tenant{{Name: hall, ApiKeys: hallKeys, Rate: 2, Burst: 2}, {Name: grower, ApiKeys: []string{growerKey}, Rate: 100, Burst: 100}}
}

// tenantHistory returns a history without a breach in which all messages belong to tenants. One message is submitted
// again after it was accepted, and gets the same message name.
func tenantHistory() *History {
	h := cleanHistory()
	for i := range h.Edits {
		h.Edits[i].Tenants = tenantsOf(hallKey)
	}
	for i := range h.Sent {
		h.Sent[i].Tenant, h.Sent[i].ApiKey, h.Sent[i].Operation = hall, hallKey, "op-"+h.Sent[i].Token
	}
	for i := range h.Runs {
		h.Runs[i].Tenant = hall
	}
	addRepeat(h, "a2", 0, 20*s)
	h.FinalStates["a2"] = h.FinalStates["a"]
	return h
}

// addRepeat adds a repeated submission through another daemon, which returns the first one's message name.
func addRepeat(h *History, token string, of int, at time.Duration) *Submission {
	x := h.Sent[of]
	x.Token, x.SentAt, x.AnsweredAt, x.Daemon = token, at, at+10*ms, "front-2"
	x.Outcome, x.Code, x.Id = check.Taken, 202, "id of "+h.Sent[of].Token
	h.Sent = append(h.Sent, x)
	return &h.Sent[len(h.Sent)-1]
}

// addLateSubmission adds a submission of tenant hall after those of cleanHistory.
func addLateSubmission(h *History, key string, code int, at time.Duration) *Submission {
	outcome := check.NotTaken
	if code == 202 {
		outcome = check.Taken
	}
	x := newSubmission(fmt.Sprint("late", len(h.Sent)), "r", "", at, outcome, code)
	x.Tenant, x.ApiKey, x.Operation = hall, key, "op-"+x.Token
	h.Sent = append(h.Sent, x)
	return &h.Sent[len(h.Sent)-1]
}

// changeKeys adds a configuration in which tenant hall has other API keys.
func changeKeys(h *History, ack time.Duration, keys ...string) {
	changeTenants(h, ack, tenantsOf(keys...))
}

// changeTenants adds a configuration with other tenants, acknowledged at ack.
func changeTenants(h *History, ack time.Duration, tenants []tenant) {
	last := h.Edits[len(h.Edits)-1]
	next := Edit{Edit: check.Edit{SentAt: ack - s, AcknowledgedAt: ack, Revision: last.Revision + 2, Pools: last.Pools}, Base: last.Revision, Code: 200, Tenants: tenants}
	next.Document = []byte(fmt.Sprintf(`{"version":%d}`, next.Revision))
	h.Edits, h.Read.Doc = append(h.Edits, next), next.Document
}

// addBurst adds so many messages of tenant hall that are submitted at the same moment and run.
func addBurst(h *History, count int, at time.Duration) {
	for range count {
		x := addLateSubmission(h, hallKey, 202, at)
		r := newRun(x.Token, "p", "w", at+20*ms, at+30*ms, 200)
		r.Tenant = hall
		h.Runs = append(h.Runs, r)
	}
}

// maxInWindow is how many messages of tenant hall may run within one window by the judge: (2 x 5 + 2) x 1.1 + 20.
const maxInWindow = 33

var flaggedTenancy = []struct {
	rule, text string
	breakRule  func(h *History)
}{
	{RuleUnasked, "a worker that receives the wrong tenant", func(h *History) { h.Runs[1].Tenant = grower }},
	{RuleUnasked, "a worker that receives no tenant", func(h *History) { h.Runs[1].Tenant = "" }},
	{RuleUnasked, "a worker that receives the API key", func(h *History) { h.Runs[1].KeyField = "Authorization" }},
	{RuleRoute, "a run of a message without an API key", func(h *History) { h.Sent[0].ApiKey = "" }},
	{RuleRoute, "a run of a message with an unknown API key", func(h *History) { h.Sent[0].ApiKey = "api-key-other" }},
	{RuleRoute, "a run of a message with an API key that only an invalid configuration has", func(h *History) {
		changeKeys(h, 40*s, "api-key-other")
		h.Edits[2].IsInvalid, h.Edits[2].Code, h.Edits[2].AcknowledgedAt, h.Read.Doc = true, 400, 0, h.Edits[1].Document
		h.Sent[0].ApiKey = "api-key-other"
	}},
	{RuleTwice, "two submissions with the same operation key that both ran", func(h *History) {
		r := newRun("a2", "p", "w", 21*s, 22*s, 200)
		r.BodySum, r.RequestLine, r.Tenant = "sum of a", "POST /a", hall
		h.Runs = append(h.Runs, r)
	}},
	{RuleTwice, "two submissions with the same operation key and different API keys that both ran, at the end of the window", func(h *History) {
		changeKeys(h, 40*s, hallKey, "api-key-new")
		x := addRepeat(h, "a3", 0, 10*s+keyWindow-ms)
		x.ApiKey, x.Outcome, x.Code, x.Id = "api-key-new", check.Undecided, 504, ""
		r := newRun("a3", "p", "w", x.SentAt, x.SentAt+s, 500)
		r.BodySum, r.RequestLine, r.Tenant = "sum of a", "POST /a", hall
		h.Runs = append(h.Runs, r)
	}},
	{RuleTwice, "two message names for the same operation key", func(h *History) { h.Sent[6].Id = "id of another" }},
	{RuleMixed, "one message name for the same operation key of two tenants", func(h *History) { h.Sent[6].ApiKey = growerKey }},
	{RuleMixed, "a repeat that is refused as a conflict", func(h *History) {
		h.Sent[6].Outcome, h.Sent[6].Code, h.Sent[6].Id = check.NotTaken, 409, ""
	}},
	{RuleLost, "an accepted message that is unknown only when queried for its repeat", func(h *History) { h.FinalStates["a2"] = FinalState{"unknown", "", "", 12 * s} }},
	{RuleOrder, "a start before another message of the tenant and key has ended", func(h *History) { h.Runs[3].Start = 14*s + 500*ms }},
	{RuleConfig, "401 for a valid API key", func(h *History) { addLateSubmission(h, hallKey, 401, 40*s) }},
	{RuleConfig, "401 for an added API key, after the apply bound", func(h *History) {
		changeKeys(h, 40*s, hallKey, "api-key-new")
		addLateSubmission(h, "api-key-new", 401, 40*s+configApplyBound+ms)
	}},
	{RuleConfig, "202 for a removed API key, after the apply bound", func(h *History) {
		changeKeys(h, 40*s, "api-key-new")
		addLateSubmission(h, hallKey, 202, 40*s+configApplyBound+ms)
	}},
	{RuleConfig, "a run with a removed API key, without a response that accepts it", func(h *History) {
		changeKeys(h, 40*s, "api-key-new")
		x := addLateSubmission(h, hallKey, 504, 40*s+configApplyBound+ms)
		x.Outcome = check.Undecided
		r := newRun(x.Token, "p", "w", 45*s, 46*s, 200)
		r.Tenant = hall
		h.Runs = append(h.Runs, r)
	}},
	{RuleConfig, "a daemon that refuses an API key that it accepted before", func(h *History) {
		h.Disruptions = []Disruption{{Daemon: "core-1", From: 11 * s, Until: 12 * s}}
		addLateSubmission(h, hallKey, 401, 12*s)
	}},
	{RuleConfig, "an acknowledged configuration in which two tenants share an API key", func(h *History) {
		changeKeys(h, 40*s, hallKey, growerKey)
		h.Edits[2].IsInvalid = true
	}},
	{RuleQuota, "more requests in one window than the limit", func(h *History) { addBurst(h, maxInWindow+1, 40*s) }},
	{RuleQuota, "more requests than the limit in a window that is not aligned to the clock", func(h *History) {
		addBurst(h, maxInWindow/2+1, 42*s)
		addBurst(h, maxInWindow/2+1, 42*s+quotaWindow-100*ms)
	}},
	{RuleQuota, "more requests than a lowered limit, after its apply bound", func(h *History) {
		h.Edits[0].Tenants[0].Rate, h.Edits[1].Tenants[0].Rate = 100, 100
		changeKeys(h, 40*s, hallKey)
		addBurst(h, maxInWindow+1, 40*s+configApplyBound+ms)
	}},
	{RuleQuota, "a tenant that is allowed far less than its limit", func(h *History) {
		for i := range 2 * minJudgedSubmissions {
			code := 429
			if i%2 == 0 {
				code = 202
			}
			x := addLateSubmission(h, growerKey, code, 40*s+time.Duration(i)*50*ms)
			x.Tenant, x.RetryAfter = grower, "1"
		}
	}},
	{RuleMixed, "a message that is returned to another tenant", func(h *History) { h.CrossTenantQueries = []CrossTenantQuery{{"a", hall, growerKey, 200}} }},
	{RuleShape, "429 without a Retry-After", func(h *History) { addLateSubmission(h, hallKey, 429, 40*s) }},
	{RuleShape, "429 with a Retry-After that is not a number", func(h *History) { addLateSubmission(h, hallKey, 429, 40*s).RetryAfter = "soon" }},
	{RuleShape, "429 with a Retry-After that is too long", func(h *History) { addLateSubmission(h, hallKey, 429, 40*s).RetryAfter = "61" }},
	{RuleShape, "401 with a message name", func(h *History) { addLateSubmission(h, "api-key-other", 401, 40*s).Id = "id of z" }},
}

// TestTenancyIsJudged breaks each rule about tenants, API keys and quotas on purpose.
func TestTenancyIsJudged(t *testing.T) {
	Convey("The judge reports a breach for a history with", t, func() {
		for _, c := range flaggedTenancy {
			Convey(c.rule+": "+c.text, func() {
				h := tenantHistory()
				c.breakRule(h)
				rules := []string{}
				for _, b := range Judge(h, true) {
					rules = append(rules, b.Rule)
				}
				So(rules, ShouldContain, c.rule)
			})
		}
	})
	Convey("The judge reports no breach for a history with", t, func() {
		for _, c := range unflaggedTenancy {
			Convey(c.text, func() {
				h := tenantHistory()
				c.vary(h)
				So(Judge(h, true), ShouldBeEmpty)
			})
		}
	})
}

// TestShares checks the share of a tenant's limit that was refused.
func TestShares(t *testing.T) {
	cases := []struct {
		text             string
		accepted         func(i int) bool // of 400 submissions, 20 ms apart, of a tenant with rate 2 and burst 2
		allowed, refused int
		share            float64
	}{
		{"all submissions are refused", func(int) bool { return false }, 17, 400, 1},
		{"one in 25 is accepted", func(i int) bool { return i%25 == 0 }, 17, 384, 1 - 16.0/17},
		{"one in 20 is accepted", func(i int) bool { return i%20 == 0 }, 17, 380, 0},
	}
	Convey("Of an overloading tenant", t, func() {
		for _, c := range cases {
			Convey(c.text, func() {
				h := tenantHistory()
				h.Sent, h.FinalStates = nil, map[string]FinalState{}
				for i := range 400 {
					code := 429
					if c.accepted(i) {
						code = 202
					}
					addLateSubmission(h, hallKey, code, 40*s+time.Duration(i)*20*ms)
				}
				f := newJudge(h).tenantFigures()
				So(f, ShouldHaveLength, 1)
				So([]int{f[0].Allowed, f[0].Refused}, ShouldResemble, []int{c.allowed, c.refused})
				So(f[0].Share, ShouldAlmostEqual, c.share, 0.001)
			})
		}
	})
}
