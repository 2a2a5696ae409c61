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
	countBatches = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota",
		Name: "batches_total", Help: "Batches of adapters' asks for tenants' tokens that places owned here proposed."})
	countAsks = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "quota",
		Name: "batched_asks_total", Help: "Asks in these batches, one for each tenant that an adapter asks for."})
)

func init() { prometheus.MustRegister(countBatches, countAsks) }

// counting gathers, in one ownership, what adapters tell and ask of tenants' limits while a batch of it is under
// way: however many ask, a place has one batch in its log at a time.
//
// Invariant: at most mostGathered asks wait.
type counting struct {
	gathered   []counted
	isUnderWay bool
}

// counted is one adapter's ask.
type counted struct {
	ask    *wire.QuotaAsk
	answer func(any)
}

// Limits of asks.
const (
	mostGathered   = 2000
	mostAskTenants = 500
	mostHolder     = 200
	longestLease   = 60_000 // milliseconds
)

// Count decides what an adapter tells and asks of tenants' limits. It answers once that is committed.
func (p *PlaceHost) Count(ask *wire.QuotaAsk, answer func(any)) {
	switch {
	case !p.host.IsOwner():
		p.refuseCounts(answer, errs.NotOwner)
	case ask.Lease < 1 || ask.Lease > longestLease || len(ask.Counts) > mostAskTenants || ask.Holder == "" || len(ask.Holder) > mostHolder:
		p.refuseCounts(answer, errs.Invalid)
	case p.machine.Level() < place.LevelQuotas: // a replica would not know the command
		p.refuseCounts(answer, errs.Stale)
	case len(p.counting.gathered) >= mostGathered:
		p.refuseCounts(answer, errs.Full)
	default:
		p.counting.gathered = append(p.counting.gathered, counted{ask, answer})
		p.proposeCounts()
	}
}

func (p *PlaceHost) refuseCounts(answer func(any), kind errs.Kind) {
	answer(&wire.QuotaGrants{Kind: string(kind), Owner: p.ownerName(), Grants: []wire.QuotaGrant{}})
}

// proposeCounts proposes what has been gathered, unless a batch is under way.
func (p *PlaceHost) proposeCounts() {
	c := p.counting
	if c.isUnderWay || len(c.gathered) == 0 {
		return
	}
	all := c.gathered
	c.gathered = nil
	if !p.environment.IsFresh() { // limits may be others by now
		for _, one := range all {
			p.refuseCounts(one.answer, errs.Stale)
		}
		return
	}
	batch := batchOf(all, p.environment.Compiled().Rules)
	c.isUnderWay = true
	countBatches.Inc()
	countAsks.Add(float64(len(batch.Asks)))
	p.propose(place.Count(batch.Batch), func(v place.Verdict, err error) {
		c.isUnderWay = false
		p.answerCounts(all, batch, v, err)
		if c == p.counting {
			p.proposeCounts()
		}
	})
}

// batch is what several adapters ask, and whose each ask is, by its number among them.
type batch struct {
	quota.Batch
	of []int
}

// batchOf joins the asks of tenants that have a limit now.
func batchOf(all []counted, rules *config.Rules) batch {
	out := batch{Batch: quota.Batch{Limits: []quota.Limit{}, Asks: []quota.Ask{}}}
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
			out.of = append(out.of, i)
		}
	}
	return out
}

// answerCounts tells each adapter what a batch has come to.
func (p *PlaceHost) answerCounts(all []counted, batch batch, v place.Verdict, err error) {
	kind := v.Kind
	if err != nil {
		kind = errs.KindOf(err)
	}
	if kind != "" {
		for _, one := range all {
			p.refuseCounts(one.answer, kind)
		}
		return
	}
	replies := make([]wire.QuotaGrants, len(all))
	for i, grant := range v.Grants {
		if grant.Tenant != "" {
			replies[batch.of[i]].Grants = append(replies[batch.of[i]].Grants, grant)
		}
	}
	for i, one := range all {
		if replies[i].Grants == nil {
			replies[i].Grants = []wire.QuotaGrant{}
		}
		one.answer(&replies[i])
	}
}

// dropCounts ends the counting of an ownership.
func (p *PlaceHost) dropCounts() {
	old := p.counting
	p.counting = &counting{}
	for _, one := range old.gathered {
		p.refuseCounts(one.answer, errs.NotOwner)
	}
	old.gathered = nil
}
