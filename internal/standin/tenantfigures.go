package standin

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// TenantFigures are what became of the sends of one tenant.
type TenantFigures struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Accepted int    `json:"accepted"`
	Refused  int    `json:"refused_with_429"`
	Allowed  int    `json:"allowed_by_an_exact_counter"`
	// Share is of what the limit allowed: what was refused of it.
	Share float64 `json:"share_refused_below_the_limit"`
}

// bucket is a limit as one exact counter would hold it that is asked for all that clients send: it fills by the rate
// and holds the burst.
//
// Invariant: 0 <= level <= the burst of the limit that it was last asked with.
type bucket struct {
	level float64
	at    time.Duration
}

// fill takes the time that has passed, under a limit.
func (b *bucket) fill(now time.Duration, rate, burst float64) {
	b.level = min(burst, b.level+rate*max(0, now-b.at).Seconds())
	b.at = max(b.at, now)
}

// tenantFigures counts for each tenant what was accepted and refused, beside what an exact counter would have let
// pass of the same sends.
func (j *judge) tenantFigures() []TenantFigures {
	byTenant := map[string]*TenantFigures{}
	buckets := map[string]*bucket{}
	sends := slices.Clone(j.h.Sent)
	slices.SortStableFunc(sends, func(a, b Submission) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, s := range sends {
		name, isHeld := j.tenants[s.ApiKey]
		if !isHeld {
			continue
		}
		if byTenant[name] == nil {
			byTenant[name], buckets[name] = &TenantFigures{Name: name}, &bucket{level: math.Inf(1)}
		}
		j.countSubmission(byTenant[name], buckets[name], s)
	}
	out := []TenantFigures{}
	for _, f := range byTenant {
		f.Share = float64(max(0, f.Allowed-f.Accepted)) / float64(max(1, f.Allowed))
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b TenantFigures) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// countSubmission adds one send to a tenant's figures. Repeats of what was accepted take nothing of the limit.
func (j *judge) countSubmission(f *TenantFigures, b *bucket, s Submission) {
	f.Sent++
	rate, burst := j.minLimit(f.Name, s.SentAt, s.AnsweredAt)
	b.fill(s.SentAt, rate, burst)
	switch {
	case s.Outcome == check.Taken && j.isFirstAccept(s):
		f.Accepted++
	case s.Code == 429:
		f.Refused++
	default:
		return
	}
	if b.level >= 1 {
		b.level--
		f.Allowed++
	}
}

func (j *judge) isFirstAccept(s Submission) bool {
	first, _ := j.operationOf(s).firstAccepted()
	return first.Token == s.Token
}

// minLimit returns the lowest limit of a tenant that may be in force from first to last.
func (j *judge) minLimit(name string, first, last time.Duration) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	for _, i := range j.inForce(first, last) {
		for _, t := range j.h.Edits[i].Tenants {
			if t.Name == name && t.Rate > 0 {
				rate, burst = min(rate, t.Rate), min(burst, t.Burst)
			}
		}
	}
	return rate, burst
}

// What a tenant may lose below its limit before the judge calls it a fault of the product. The design wants under
// a hundredth for a tenant whose clients keep to their fronts, and under three for one whose clients do not; the
// shares are reported. A front that dies takes its part of a limit with it until that expires, and schedules kill
// one front of three at a time: what is lost so stays below the part of a front.
const (
	maxLossShare         = 1.0 / 3
	minJudgedSubmissions = 100 // sends that the limit lets pass, from which on a share tells anything
)

// judgeQuotaShares: a tenant gets what its limit lets it send.
func (j *judge) judgeQuotaShares() {
	for _, f := range j.tenantFigures() {
		if f.Allowed >= minJudgedSubmissions && f.Share > maxLossShare {
			j.breach(RuleQuota, "%d messages of %s were accepted, and its limit allowed %d", f.Accepted, f.Name, f.Allowed)
		}
	}
}
