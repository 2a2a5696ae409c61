package standin

import (
	"caperwheel/internal/check"
)

// unflaggedTenancy are histories with tenants that contain no breach.
var unflaggedTenancy = []struct {
	text string
	vary func(h *History)
}{
	{"no breach", func(*History) {}},
	{"a repeat whose outcome is unknown", func(h *History) {
		h.Sent[6].Outcome, h.Sent[6].Code, h.Sent[6].Id = check.Undecided, 504, ""
		delete(h.FinalStates, "a2")
	}},
	{"a first submission whose outcome is unknown and whose repeat got its message name", func(h *History) {
		h.Sent[0].Outcome, h.Sent[0].Code, h.Sent[0].Id = check.Undecided, 0, ""
		delete(h.FinalStates, "a")
	}},
	{"a repeat that is throttled", func(h *History) {
		h.Sent[6].Outcome, h.Sent[6].Code, h.Sent[6].Id, h.Sent[6].RetryAfter = check.NotTaken, 429, "", "1"
		delete(h.FinalStates, "a2")
	}},
	{"two runs with the same operation key after the end of its window", func(h *History) {
		x := addRepeat(h, "a3", 0, 10*s+keyWindow)
		x.Id = "id of a3"
		r := newRun("a3", "p", "w", x.SentAt, x.SentAt+s, 200)
		r.BodySum, r.RequestLine, r.Tenant = "sum of a", "POST /a", hall
		h.Runs = append(h.Runs, r)
		h.FinalStates["a3"] = FinalState{"completed", r.Stamp, "", 80 * s}
	}},
	{"two submissions with the same operation key to workers that deduplicate, one run broken off", func(h *History) {
		o := h.Routes["o"]
		o.HasDeduplication = true
		h.Routes["o"] = o
		x := addRepeat(h, "x2", 2, 11*s+500*ms)
		x.Outcome, x.Code, x.Id = check.Undecided, 504, ""
		h.Sent[3].SentAt, h.Sent[3].AnsweredAt = 12*s, 12*s+10*ms
		r := newRun("x2", "q", "v", 13*s, 13*s+ms, 0)
		r.BodySum, r.RequestLine, r.Tenant, r.IsAnswerComplete = "sum of x", "POST /x", hall, false
		h.Runs = append(h.Runs, r)
	}},
	{"two tenants with the same operation key and order key", func(h *History) {
		h.Sent[3].ApiKey, h.Sent[3].Tenant, h.Runs[3].Tenant = growerKey, grower, grower
		h.Sent[3].Operation, h.Runs[3].Start = h.Sent[2].Operation, 14*s+500*ms
	}},
	{"a message without an API key on a public route", func(h *History) {
		r := h.Routes["r"]
		r.IsPublic = true
		h.Routes["r"] = r
		for i := range h.Edits {
			h.Edits[i].Public = []string{"r"}
		}
		x := addLateSubmission(h, "", 202, 40*s)
		x.Tenant = ""
		h.Runs = append(h.Runs, newRun(x.Token, "p", "w", 41*s, 42*s, 200))
	}},
	{"401 without an API key, with an unknown one, and with a removed one", func(h *History) {
		changeKeys(h, 30*s, "api-key-new")
		h.Edits[2].SentAt = 29 * s
		for _, key := range []string{"", "api-key-other", hallKey} {
			addLateSubmission(h, key, 401, 40*s)
		}
	}},
	{"202 and 401 with an API key that is added or removed, before the apply bound", func(h *History) {
		changeKeys(h, 40*s, "api-key-new")
		addLateSubmission(h, hallKey, 202, 40*s+configApplyBound-ms)
		addLateSubmission(h, hallKey, 401, 40*s+configApplyBound-ms)
		addLateSubmission(h, "api-key-new", 401, 40*s+configApplyBound-ms)
	}},
	{"a message whose API key is removed after it was accepted", func(h *History) {
		changeKeys(h, 15*s, "api-key-new")
		h.Edits[2].SentAt, h.Edits[2].Revision, h.Edits[2].Base = 14*s, 4, 3
		h.Edits[1], h.Edits[2] = h.Edits[2], h.Edits[1]
		h.Edits[2].Tenants, h.Edits[2].Base = tenantsOf("api-key-new"), 4
		h.Read.Doc = h.Edits[2].Document
		h.Sent[6].ApiKey = "api-key-new"
	}},
	{"as many requests as the limit in one window", func(h *History) { addBurst(h, maxInWindow, 40*s) }},
	{"as many requests as the limit in each of two windows", func(h *History) {
		addBurst(h, maxInWindow, 40*s)
		addBurst(h, maxInWindow, 40*s+quotaWindow+ms)
	}},
	{"more requests than the limit accepted in one window, half of them run in a later one", func(h *History) {
		addBurst(h, 2*maxInWindow, 40*s)
		for i := range maxInWindow {
			h.Runs[len(h.Runs)-1-i].Start += quotaWindow + s
			h.Runs[len(h.Runs)-1-i].End += quotaWindow + s
		}
	}},
	{"more requests than a lowered limit, before its apply bound", func(h *History) {
		h.Edits[0].Tenants[0].Rate, h.Edits[1].Tenants[0].Rate = 100, 100
		changeKeys(h, 40*s, hallKey)
		addBurst(h, maxInWindow+1, 40*s+configApplyBound-ms)
	}},
	{"more requests than a lowered limit during a disruption and the contact bound after it", func(h *History) {
		h.Edits[0].Tenants[0].Rate, h.Edits[1].Tenants[0].Rate = 100, 100
		changeKeys(h, 40*s, hallKey)
		h.Disruptions = []Disruption{{Daemon: "front-1", From: 41 * s, Until: 50 * s}}
		addBurst(h, maxInWindow+1, 50*s+contactBound)
	}},
	{"a message that is not returned to others", func(h *History) {
		h.CrossTenantQueries = []CrossTenantQuery{{"a", hall, growerKey, 404}, {"a", hall, "", 401}}
	}},
	{"an overloading tenant that is refused beyond its limit", func(h *History) {
		addBurst(h, 2, 40*s)
		for range 200 {
			addLateSubmission(h, hallKey, 429, 40*s+ms).RetryAfter = "1"
		}
	}},
}
