package standin

import (
	"slices"
	"strconv"
	"time"
)

// keysOf maps a configuration's API keys to the tenants that hold them.
func keysOf(tenants []tenant) map[string]string {
	out := map[string]string{}
	for _, t := range tenants {
		for _, key := range t.ApiKeys {
			out[key] = t.Name
		}
	}
	return out
}

// learnKeys reads which configuration held which key.
func (j *judge) learnKeys() {
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

// tenantOf returns the tenant that holds a client's key by any configuration, or the one whose client it is.
func (j *judge) tenantOf(s Sent) string {
	if name, isKnown := j.tenants[s.ApiKey]; isKnown {
		return name
	}
	return s.Tenant
}

// tenancy: a worker is told the tenant that holds the client's key, never the key itself, and runs nothing
// whose key nobody ever held.
func (j *judge) tenancy() {
	for _, r := range j.h.Runs {
		s, isKnown := j.sent[r.Token]
		if !isKnown || !j.hasTenants {
			continue
		}
		holder, isHeld := j.tenants[s.ApiKey]
		isPublic := j.h.Routes[s.Lane].IsPublic
		switch {
		case r.KeyIn != "":
			j.breach(RuleUnasked, "%s was given an API key in %s of %s", r.Worker, r.KeyIn, r.Token)
		case !isHeld && !isPublic:
			j.breach(RuleRoute, "%s ran %s, whose key %q no configuration ever held", r.Worker, r.Token, s.ApiKey)
		case r.Tenant != holder && !(isPublic && r.Tenant == ""):
			j.breach(RuleUnasked, "%s was told that %s is of %q, and %q holds its key", r.Worker, r.Token, r.Tenant, holder)
		}
	}
}

// pries: nobody learns of a message of another tenant.
func (j *judge) pries() {
	for _, p := range j.h.Pries {
		if p.Code/100 == 2 {
			j.breach(RuleMixed, "who asked with the key %q was told of %s, a message of %q", p.With, p.Token, p.Tenant)
		}
	}
}

// mostRetryAfter is the longest time that a refused client may be sent away for.
const mostRetryAfter = 60

// shapes: who is refused for now learns when to come back; who has no key is given no name of a message.
func (j *judge) shapes() {
	for _, s := range j.h.Sent {
		seconds, err := strconv.Atoi(s.RetryAfter)
		if s.Code == 429 && (err != nil || seconds < 0 || seconds > mostRetryAfter) {
			j.breach(RuleShape, "%s got 429 from %s with a Retry-After of %q", s.Token, s.Daemon, s.RetryAfter)
		}
		if s.Code == 401 && s.Id != "" {
			j.breach(RuleShape, "%s got 401 from %s, and the name %s", s.Token, s.Daemon, s.Id)
		}
	}
}

// access is what a configuration says of a send.
type access int

const (
	noRoute access = iota
	noKey
	granted
)

func (j *judge) accessBy(edit int, s Sent) access {
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

// inForce lists the places of the configurations that daemons in touch may go by from first to last. An empty
// list means that there may be none at all.
func (j *judge) inForce(first, last time.Duration) []int {
	newest, out := int64(0), []int{}
	for _, e := range j.h.Edits {
		if !e.IsInvalid && e.AckAt > 0 && e.AckAt+apply < first {
			newest = max(newest, e.Revision)
		}
	}
	if newest == 0 {
		return nil
	}
	for i, e := range j.h.Edits {
		isOut := e.IsInvalid || e.Code/100 == 4 || e.At > last || e.AckAt > 0 && e.Revision < newest
		if !isOut {
			out = append(out, i)
		}
	}
	return out
}

// keyAnswers holds what clients were told of their keys, and what ran, against the configurations in force.
func (j *judge) keyAnswers() {
	for _, s := range j.h.Sent {
		hasRun := len(j.runs[s.Token]) > 0
		if !j.h.inTouch(s.At) || s.Code != 401 && s.Code != 202 && !hasRun {
			continue
		}
		list := j.inForce(s.At, s.ToldAt)
		isBy := func(what access) bool {
			return slices.ContainsFunc(list, func(i int) bool { return j.accessBy(i, s) == what })
		}
		switch {
		case len(list) == 0:
		case s.Code == 401 && !isBy(noKey) && !isBy(noRoute):
			j.breach(RuleConfig, "%s got 401 at %v from %s, though its key %s is there", s.Token, s.At, s.Daemon, s.ApiKey)
		case s.Code != 401 && isBy(noKey) && !isBy(granted):
			j.breach(RuleConfig, "%s was sent to %s at %v with the key %q, which is not there: answer %d, run %t", s.Token, s.Daemon, s.At, s.ApiKey, s.Code, hasRun)
		}
	}
}

// keysWentBack: a daemon that has accepted a key does not forget it within its life, unless a newer configuration
// drops it.
func (j *judge) keysWentBack() {
	type seen struct {
		daemon string
		life   int64
		key    string
	}
	accepted := map[seen]time.Duration{}
	for _, s := range j.h.Sent {
		who := seen{s.Daemon, s.Life, s.ApiKey}
		if at, isKnown := accepted[who]; s.Code == 202 && s.ApiKey != "" && (!isKnown || s.ToldAt < at) {
			accepted[who] = s.ToldAt
		}
	}
	for _, s := range j.h.Sent {
		at, isKnown := accepted[seen{s.Daemon, s.Life, s.ApiKey}]
		if s.Code == 401 && isKnown && s.At > at+rollback && !j.isDropped(s.ApiKey, s.ToldAt) {
			j.breach(RuleConfig, "%s accepted the key %s at %v and refused it at %v", s.Daemon, s.ApiKey, at, s.At)
		}
	}
}

// isDropped reports whether a configuration sent by a moment takes away a key that an older one had.
func (j *judge) isDropped(key string, by time.Duration) bool {
	isSeen := false
	for i, e := range j.h.Edits { // in order of sending
		_, isThere := j.keys[i][key]
		isThere = isThere && !e.IsInvalid
		isSeen = isSeen || isThere
		if isSeen && !isThere && !e.IsInvalid && e.Code/100 != 4 && e.At <= by {
			return true
		}
	}
	return false
}
