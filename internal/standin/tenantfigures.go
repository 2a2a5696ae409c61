package standin

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// TenantFigures count the outcomes of one tenant's submissions.
type TenantFigures struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Accepted int    `json:"accepted"`
	Refused  int    `json:"refused_with_429"`
	Allowed  int    `json:"allowed_by_an_exact_counter"`
	// Share is the fraction of the submissions allowed by the limit that was refused.
	Share float64 `json:"share_refused_below_the_limit"`
}

// bucket is a token bucket that holds a tenant's limit as one exact counter of all its submissions would: it refills
// at the rate up to the burst.
//
// Invariant: 0 <= level <= the burst that it was last filled with.
type bucket struct {
	level float64
	at    time.Duration
}

// fill adds the tokens for the time that has passed, under a limit.
func (b *bucket) fill(now time.Duration, rate, burst float64) {
	b.level = min(burst, b.level+rate*max(0, now-b.at).Seconds())
	b.at = max(b.at, now)
}

// tenantFigures counts the accepted and refused submissions of each tenant, and how many of them an exact counter
// would have allowed.
func (j *judge) tenantFigures() []TenantFigures {
	byTenant := map[string]*TenantFigures{}
	buckets := map[string]*bucket{}
	submissions := slices.Clone(j.h.Sent)
	slices.SortStableFunc(submissions, func(a, b Submission) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, s := range submissions {
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

// countSubmission adds one submission to a tenant's figures. Repeats of accepted messages do not count against the
// limit.
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

// isFirstAccept reports whether a submission is the one of its operation that was accepted first.
func (j *judge) isFirstAccept(s Submission) bool {
	first, _ := j.operationOf(s).firstAccepted()
	return first.Token == s.Token
}

// minLimit returns the lowest limit of a tenant that may be in force between first and last.
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

// Bounds for what a tenant may be refused below its limit before the judge reports a breach. The design aims at less
// than 1 % for a tenant whose clients keep to their fronts, and less than 3 % for one whose clients do not; the
// actual shares are reported. A front that dies takes its share of a limit with it until that share expires, and
// schedules kill one front of three at a time, so the loss stays below one front's share.
const (
	maxLossShare         = 1.0 / 3
	minJudgedSubmissions = 100 // allowed submissions from which on a share is significant
)

// judgeQuotaShares checks that a tenant can send as much as its limit allows.
func (j *judge) judgeQuotaShares() {
	for _, f := range j.tenantFigures() {
		if f.Allowed >= minJudgedSubmissions && f.Share > maxLossShare {
			j.breach(RuleQuota, "%d messages of tenant %s were accepted, but its limit allowed %d", f.Accepted, f.Name, f.Allowed)
		}
	}
}
