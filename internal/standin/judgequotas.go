package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// limitOf returns how many messages a tenant may send within quotaWindow by a configuration; infinite without a
// limit.
func limitOf(tenants []tenant, name string) float64 {
	for _, t := range tenants {
		if t.Name == name && t.Rate > 0 {
			return t.Rate*quotaWindow.Seconds() + t.Burst
		}
	}
	return math.Inf(1)
}

// quotaRun is a request that ran: when it was sent and when its run started.
type quotaRun struct{ sentAt, startedAt time.Duration }

// judgeQuotas checks that in no window more requests of a tenant are sent and started by workers than its limit
// allows.
func (j *judge) judgeQuotas() {
	byTenant := map[string][]quotaRun{}
	for _, s := range j.h.Sent {
		if name, isHeld := j.tenants[s.ApiKey]; isHeld && len(j.runs[s.Token]) > 0 {
			byTenant[name] = append(byTenant[name], quotaRun{s.SentAt, j.runs[s.Token][0].Start})
		}
	}
	bindsAt := j.bindingTimes()
	for name, runs := range byTenant {
		slices.SortFunc(runs, func(a, b quotaRun) int { return cmp.Compare(a.sentAt, b.sentAt) })
		j.judgeTenantQuota(name, runs, bindsAt)
	}
}

// judgeTenantQuota checks each window that begins with a request of a tenant, and reports the worst one.
func (j *judge) judgeTenantQuota(name string, runs []quotaRun, bindsAt []time.Duration) {
	worst, text := 0.0, ""
	for i, first := range runs {
		got, until := 0, first.sentAt+quotaWindow
		for _, r := range runs[i:] {
			if r.sentAt > until {
				break
			}
			if r.startedAt <= until {
				got++
			}
		}
		allowed := j.maxLimitIn(name, first.sentAt, until, bindsAt)*(1+quotaOvershoot) + quotaSlack
		if over := float64(got) - allowed; over > worst {
			worst, text = over, fmt.Sprintf("%d requests of tenant %s were sent and run from %v to %v, more than the limit of %.1f", got, name, first.sentAt, until, allowed)
		}
	}
	if worst > 0 {
		j.breach(RuleQuota, "%s", text)
	}
}

// maxLimitIn returns the highest limit of a tenant that may be in force within a window.
func (j *judge) maxLimitIn(name string, first, last time.Duration, bindsAt []time.Duration) (limit float64) {
	newest := int64(0)
	for i, e := range j.h.Edits {
		if bindsAt[i] > 0 && bindsAt[i] < first {
			newest = max(newest, e.Revision)
		}
	}
	for _, e := range j.h.Edits {
		isExcluded := e.IsInvalid || e.Code/100 == 4 || e.SentAt > last || e.AcknowledgedAt > 0 && e.Revision < newest
		if !isExcluded {
			limit = max(limit, limitOf(e.Tenants, name))
		}
	}
	return limit
}

// bindingTimes returns for each configuration the moment from which windows are judged by it and newer ones alone:
// the first one after its apply bound at which no machine is disrupted. 0 means never.
func (j *judge) bindingTimes() []time.Duration {
	out := make([]time.Duration, len(j.h.Edits))
	for i, e := range j.h.Edits {
		if !e.IsInvalid && e.AcknowledgedAt > 0 {
			out[i] = j.firstSettledAt(e.AcknowledgedAt + configApplyBound)
		}
	}
	return out
}

// firstSettledAt returns the first moment after from at which no machine has been disrupted for contactBound; 0 if
// there is none.
func (j *judge) firstSettledAt(from time.Duration) time.Duration {
	moments := []time.Duration{from}
	for _, t := range j.h.Disruptions {
		if after := t.Until + contactBound + 1; t.Until > 0 && after > from {
			moments = append(moments, after)
		}
	}
	slices.Sort(moments)
	for _, at := range moments {
		if j.h.isQuiet(at-contactBound, at, func(t Disruption) bool { return !t.IsPermanent }) {
			return at
		}
	}
	return 0
}
