package store

import (
	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/quota"
	"caperwheel/internal/wire"
)

var (
	quotaBatches = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota",
		Name: "batches_total", Help: "Batches of adapters' asks for tenants' tokens that places owned here proposed."})
	quotaAsks = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota",
		Name: "batched_asks_total", Help: "Asks in these batches, one for each tenant that an adapter asks for."})
)

func init() { prometheus.MustRegister(quotaBatches, quotaAsks) }

// quotaBatcher collects the adapters' quota requests of one ownership while a batch is being committed. However many
// adapters send requests, a place has one batch in its log at a time.
//
// Invariant: at most maxQueuedQuotaRequests requests are queued.
type quotaBatcher struct {
	queued       []quotaRequest
	isCommitting bool
}

// quotaRequest is the request of one adapter.
type quotaRequest struct {
	ask    *wire.QuotaAsk
	answer func(any)
}

// Limits of quota requests.
const (
	maxQueuedQuotaRequests = 2000
	maxTenantsPerRequest   = 500
	maxHolderNameBytes     = 200
	leaseLimitMs           = 60_000
)

// RequestQuota decides an adapter's request for tokens of tenants' limits. It answers once the decision is committed.
func (p *PlaceHost) RequestQuota(ask *wire.QuotaAsk, answer func(any)) {
	switch {
	case !p.host.IsOwner():
		p.refuseQuota(answer, errs.NotOwner)
	case ask.Lease < 1 || ask.Lease > leaseLimitMs || len(ask.Counts) > maxTenantsPerRequest || ask.Holder == "" || len(ask.Holder) > maxHolderNameBytes:
		p.refuseQuota(answer, errs.Invalid)
	case p.machine.Level() < place.LevelQuotas: // an older replica would not support the command
		p.refuseQuota(answer, errs.Stale)
	case len(p.quota.queued) >= maxQueuedQuotaRequests:
		p.refuseQuota(answer, errs.Full)
	default:
		p.quota.queued = append(p.quota.queued, quotaRequest{ask, answer})
		p.proposeQuotaBatch()
	}
}

// refuseQuota answers a quota request with an error.
func (p *PlaceHost) refuseQuota(answer func(any), kind errs.Kind) {
	answer(&wire.QuotaGrants{Kind: string(kind), Owner: p.ownerName(), Grants: []wire.QuotaGrant{}})
}

// proposeQuotaBatch proposes the queued requests as a batch, unless a batch is being committed.
func (p *PlaceHost) proposeQuotaBatch() {
	c := p.quota
	if c.isCommitting || len(c.queued) == 0 {
		return
	}
	all := c.queued
	c.queued = nil
	if !p.environment.IsFresh() { // the limits may have changed meanwhile
		for _, one := range all {
			p.refuseQuota(one.answer, errs.Stale)
		}
		return
	}
	batch := newQuotaBatch(all, p.environment.Compiled().Rules)
	c.isCommitting = true
	quotaBatches.Inc()
	quotaAsks.Add(float64(len(batch.Asks)))
	p.propose(place.CountCommand(batch.Batch), func(v place.Result, err error) {
		c.isCommitting = false
		p.answerQuotaBatch(all, batch, v, err)
		if c == p.quota {
			p.proposeQuotaBatch()
		}
	})
}

// quotaBatch is a batch of the requests of several adapters, with the index of the request that each entry comes from.
type quotaBatch struct {
	quota.Batch
	requestOf []int
}

// newQuotaBatch joins the requests, and leaves out tenants that have no limit now.
func newQuotaBatch(all []quotaRequest, rules *config.Rules) quotaBatch {
	out := quotaBatch{Batch: quota.Batch{Limits: []quota.Limit{}, Asks: []quota.Ask{}}}
	isNamed := map[string]bool{}
	for i, one := range all {
		for _, count := range one.ask.Counts {
			tenant, isKnown := rules.Tenants[count.Tenant]
			if !isKnown || tenant.Rate <= 0 {
				continue
			}
			if !isNamed[tenant.Name] {
				isNamed[tenant.Name] = true
				out.Limits = append(out.Limits, quota.LimitOf(tenant.Name, tenant.Rate, tenant.Burst))
			}
			out.Asks = append(out.Asks, quota.Ask{Holder: one.ask.Holder, Lease: one.ask.Lease, Count: count})
			out.requestOf = append(out.requestOf, i)
		}
	}
	return out
}

// answerQuotaBatch answers each adapter with the result of a batch.
func (p *PlaceHost) answerQuotaBatch(all []quotaRequest, batch quotaBatch, v place.Result, err error) {
	kind := v.Kind
	if err != nil {
		kind = errs.KindOf(err)
	}
	if kind != "" {
		for _, one := range all {
			p.refuseQuota(one.answer, kind)
		}
		return
	}
	replies := make([]wire.QuotaGrants, len(all))
	for i, grant := range v.Grants {
		if grant.Tenant != "" {
			replies[batch.requestOf[i]].Grants = append(replies[batch.requestOf[i]].Grants, grant)
		}
	}
	for i, one := range all {
		if replies[i].Grants == nil {
			replies[i].Grants = []wire.QuotaGrant{}
		}
		one.answer(&replies[i])
	}
}

// resetQuota drops the state of an ownership and refuses the requests that are queued.
func (p *PlaceHost) resetQuota() {
	old := p.quota
	p.quota = &quotaBatcher{}
	for _, one := range old.queued {
		p.refuseQuota(one.answer, errs.NotOwner)
	}
	old.queued = nil
}
