package standin

import (
	"slices"
	"strconv"
	"time"
)

// keysOf maps the API keys of a configuration to the tenants that hold them.
func keysOf(tenants []tenant) map[string]string {
	out := map[string]string{}
	for _, t := range tenants {
		for _, key := range t.ApiKeys {
			out[key] = t.Name
		}
	}
	return out
}

// indexKeys records which configuration contains which API key.
func (j *judge) indexKeys() {
	j.keys, j.tenants = make([]map[string]string, len(j.h.Edits)), map[string]string{}
	for i, e := range j.h.Edits {
		j.keys[i] = keysOf(e.Tenants)
		if e.IsInvalid {
			continue
		}
		for key, name := range j.keys[i] {
			j.tenants[key] = name
		}
		j.hasTenants = j.hasTenants || len(e.Tenants) > 0
	}
}

// tenantOf returns the tenant that holds the submission's API key in any configuration, or else the client's tenant.
func (j *judge) tenantOf(s Submission) string {
	if name, isKnown := j.tenants[s.ApiKey]; isKnown {
		return name
	}
	return s.Tenant
}

// judgeTenancy checks that a worker receives the tenant that holds the client's API key but never the key itself, and
// runs nothing whose key no tenant ever held.
func (j *judge) judgeTenancy() {
	for _, r := range j.h.Runs {
		s, isKnown := j.submissions[r.Token]
		if !isKnown || !j.hasTenants {
			continue
		}
		holder, isHeld := j.tenants[s.ApiKey]
		isPublic := j.h.Routes[s.Lane].IsPublic
		switch {
		case r.KeyField != "":
			j.breach(RuleUnasked, "worker %s received an API key in field %s of %s", r.Worker, r.KeyField, r.Token)
		case !isHeld && !isPublic:
			j.breach(RuleRoute, "worker %s ran %s, whose API key %q is in no configuration", r.Worker, r.Token, s.ApiKey)
		case r.Tenant != holder && !(isPublic && r.Tenant == ""):
			j.breach(RuleUnasked, "worker %s received %s as a message of tenant %q, but tenant %q holds its API key", r.Worker, r.Token, r.Tenant, holder)
		}
	}
}

// judgeCrossTenantQueries checks that no query returns a message of another tenant.
func (j *judge) judgeCrossTenantQueries() {
	for _, p := range j.h.CrossTenantQueries {
		if p.Code/100 == 2 {
			j.breach(RuleMixed, "a query with the API key %q returned %s, a message of tenant %q", p.ApiKey, p.Token, p.Tenant)
		}
	}
}

// maxRetryAfterSeconds is the longest Retry-After that a response may have.
const maxRetryAfterSeconds = 60

// judgeResponseFields checks that a 429 has a valid Retry-After, and that a 401 has no message name.
func (j *judge) judgeResponseFields() {
	for _, s := range j.h.Sent {
		seconds, err := strconv.Atoi(s.RetryAfter)
		if s.Code == 429 && (err != nil || seconds < 0 || seconds > maxRetryAfterSeconds) {
			j.breach(RuleShape, "%s got 429 from %s with the invalid Retry-After %q", s.Token, s.Daemon, s.RetryAfter)
		}
		if s.Code == 401 && s.Id != "" {
			j.breach(RuleShape, "%s got 401 from %s together with the message name %s", s.Token, s.Daemon, s.Id)
		}
	}
}

// accessDecision is whether a configuration lets a submission pass.
type accessDecision int

const (
	noRoute accessDecision = iota
	noKey
	granted
)

// accessUnder returns what the configuration at index edit decides for a submission.
func (j *judge) accessUnder(edit int, s Submission) accessDecision {
	e := j.h.Edits[edit]
	_, isHeld := j.keys[edit][s.ApiKey]
	switch {
	case len(e.Pools[s.Lane]) == 0:
		return noRoute
	case isHeld || len(e.Tenants) == 0 || slices.Contains(e.Public, s.Lane):
		return granted
	}
	return noKey
}

// inForce lists the indexes of the configurations that settled daemons may use between first and last. An empty list
// means that possibly none is in force.
func (j *judge) inForce(first, last time.Duration) []int {
	newest, out := int64(0), []int{}
	for _, e := range j.h.Edits {
		if !e.IsInvalid && e.AcknowledgedAt > 0 && e.AcknowledgedAt+configApplyBound < first {
			newest = max(newest, e.Revision)
		}
	}
	if newest == 0 {
		return nil
	}
	for i, e := range j.h.Edits {
		isExcluded := e.IsInvalid || e.Code/100 == 4 || e.SentAt > last || e.AcknowledgedAt > 0 && e.Revision < newest
		if !isExcluded {
			out = append(out, i)
		}
	}
	return out
}

// judgeKeyResponses compares the responses to API keys, and the runs, with the configurations that may be in force.
func (j *judge) judgeKeyResponses() {
	for _, s := range j.h.Sent {
		hasRun := len(j.runs[s.Token]) > 0
		if !j.h.isSettled(s.SentAt) || s.Code != 401 && s.Code != 202 && !hasRun {
			continue
		}
		list := j.inForce(s.SentAt, s.AnsweredAt)
		isDecidedAs := func(what accessDecision) bool {
			return slices.ContainsFunc(list, func(i int) bool { return j.accessUnder(i, s) == what })
		}
		switch {
		case len(list) == 0:
		case s.Code == 401 && !isDecidedAs(noKey) && !isDecidedAs(noRoute):
			j.breach(RuleConfig, "%s, sent at %v, got 401 from %s although the configuration in force has its API key %s", s.Token, s.SentAt, s.Daemon, s.ApiKey)
		case s.Code != 401 && isDecidedAs(noKey) && !isDecidedAs(granted):
			j.breach(RuleConfig, "%s was sent to %s at %v with the API key %q, which the configuration in force does not have: status %d, run %t", s.Token, s.Daemon, s.SentAt, s.ApiKey, s.Code, hasRun)
		}
	}
}

// judgeKeyRegressions checks that a daemon that has accepted an API key does not refuse it later in the same
// incarnation, unless a newer configuration removes the key.
func (j *judge) judgeKeyRegressions() {
	type daemonKey struct {
		daemon      string
		incarnation int64
		key         string
	}
	acceptedAt := map[daemonKey]time.Duration{}
	for _, s := range j.h.Sent {
		id := daemonKey{s.Daemon, s.Incarnation, s.ApiKey}
		if at, isKnown := acceptedAt[id]; s.Code == 202 && s.ApiKey != "" && (!isKnown || s.AnsweredAt < at) {
			acceptedAt[id] = s.AnsweredAt
		}
	}
	for _, s := range j.h.Sent {
		at, isKnown := acceptedAt[daemonKey{s.Daemon, s.Incarnation, s.ApiKey}]
		if s.Code == 401 && isKnown && s.SentAt > at+rollbackSlack && !j.isKeyRemoved(s.ApiKey, s.AnsweredAt) {
			j.breach(RuleConfig, "%s accepted the API key %s at %v but refused it at %v", s.Daemon, s.ApiKey, at, s.SentAt)
		}
	}
}

// isKeyRemoved reports whether a configuration sent by a moment removes an API key that an earlier one has.
func (j *judge) isKeyRemoved(key string, by time.Duration) bool {
	isSeen := false
	for i, e := range j.h.Edits { // in order of sending
		_, isFound := j.keys[i][key]
		isFound = isFound && !e.IsInvalid
		isSeen = isSeen || isFound
		if isSeen && !isFound && !e.IsInvalid && e.Code/100 != 4 && e.SentAt <= by {
			return true
		}
	}
	return false
}
