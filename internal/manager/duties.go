package manager

import (
	"context"
	"strings"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/deliver"
	"caperwheel/internal/duty"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

var dutyMoves = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "duty",
	Name: "moves_total", Help: "Duties of workers and endpoints that this manager has given to an adapter, by pool."}, []string{"pool"})

func init() { prometheus.MustRegister(dutyMoves) }

// runDutyController assigns the duty of every worker to a live adapter. Each pool is managed by one
// manager; if two managers both plan for a pool, the compare and set on revisions lets one of them win.
func (m *Manager) runDutyController(ctx context.Context) {
	planner := newDutyPlanner(m)
	freshSince := m.d.Now()
	timing.Every(ctx, m.d.Bounds.Of(timing.Poll), func() {
		if !m.d.IsFresh() {
			freshSince = m.d.Now()
			return
		}
		// A manager that has just started does not know all sessions yet. Until then it only
		// reassigns duties to their restarted holders.
		planner.runRound(ctx, m.d.Now()-freshSince < m.d.Bounds.Of(timing.SessionTimeout))
	})
}

// managedPools returns those of the named pools that this manager is responsible for, by rendezvous
// hashing among the managers.
func (m *Manager) managedPools(names map[string]bool) []string {
	managers, out := []string{}, []string{}
	for _, who := range m.d.Membership.OfKind("manager") {
		managers = append(managers, who.Name)
	}
	for name := range names {
		if duty.HighestRanked("pool/"+name, managers) == m.d.Who.Name {
			out = append(out, name)
		}
	}
	return out
}

// Bounds of one planning round: a pool with very many workers must not delay the duties of others.
const (
	maxConcurrentDutyEdits = 64 // edits in flight
	maxAssignmentsPerRound = 1024
)

// dutyPlanner assigns the duties of the pools that this manager manages.
type dutyPlanner struct {
	m        *Manager
	edits    pond.Pool
	holdDown *duty.HoldDown
	// Assignments that the view does not show yet. One of unknown outcome counts until a fresh view
	// must show it.
	proposals *duty.Proposals
	idleInput planInput // input of the last round, if that found nothing to do
}

func newDutyPlanner(m *Manager) *dutyPlanner {
	return &dutyPlanner{m: m, edits: pond.NewPool(maxConcurrentDutyEdits), holdDown: &duty.HoldDown{Period: 2 * m.d.Bounds.ConfigApply},
		proposals: &duty.Proposals{Timeout: m.d.Bounds.Of(timing.ViewAgeLimit)}}
}

// planInput is everything that a plan depends on; a round with the input of an idle one is skipped.
type planInput struct {
	compiled *config.Compiled
	members  string // hash of the membership
	leaving  string
}

// runRound plans and assigns duties once. With isStarting it only reassigns duties to their restarted
// holders.
func (p *dutyPlanner) runRound(ctx context.Context, isStarting bool) {
	m := p.m
	adapters := duty.Adapters{Members: m.d.Membership.OfKind("adapter"), Leaving: map[string]bool{}, Unresponsive: map[string]bool{},
		Proposals: p.proposals}
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		if member.Fact.Counts[deliver.DrainingCount] > 0 {
			adapters.Leaving[member.Who.Name] = true
		}
		if time.Duration(member.Age)*time.Millisecond > m.d.Bounds.Of(timing.SessionTimeout)/2 {
			adapters.Unresponsive[member.Who.Name] = true
		}
	}
	p.holdDown.ObserveMembers(adapters.Members, m.d.Now())
	p.proposals.Expire(m.d.Now())
	input := planInput{m.configs.Current(), m.d.Membership.Hash(), strings.Join(sorted(adapters.Leaving), " ")}
	if input == p.idleInput {
		return
	}
	wanted := p.plan(input.compiled, adapters)
	p.idleInput = planInput{}
	if len(wanted) == 0 {
		if p.proposals.IsEmpty() { // an open proposal may still fail and must then be repeated
			p.idleInput = input
		}
		return
	}
	plan := p.holdDown.Filter(wanted, m.d.Now())
	group := p.edits.NewGroup()
	for _, change := range plan[:min(len(plan), maxAssignmentsPerRound)] {
		if !isStarting || change.IsHolderRestarted {
			p.holdDown.RecordMove(change, m.d.Now())
			group.Submit(func() { p.assign(ctx, feed.PartOf(change.Pool, m.d.Settings.Parts), change) })
		}
	}
	_ = group.Wait()
}

// plan returns the duties to be written, including those whose holder is only suspected to have failed.
func (p *dutyPlanner) plan(compiled *config.Compiled, adapters duty.Adapters) []duty.Change {
	m, pools, out := p.m, map[string]bool{}, []duty.Change{}
	for name := range compiled.Rules.Pools {
		pools[name] = true
	}
	for name := range compiled.Duties {
		pools[name] = true
	}
	for _, name := range m.managedPools(pools) {
		part := feed.PartOf(name, m.d.Settings.Parts)
		revision := func(key string) (int64, bool) {
			c, exists := m.d.View.Get(part, key)
			if !exists {
				return 0, c.Revision > 0
			}
			return c.Revision, true
		}
		out = append(out, duty.Plan(name, compiled, adapters, revision)...)
	}
	return out
}

// assign writes one duty, and records whether the proposal is still open.
func (p *dutyPlanner) assign(ctx context.Context, part int64, change duty.Change) {
	m := p.m
	ctx, cancel := context.WithTimeout(ctx, m.d.Bounds.ConfigApply)
	defer cancel()
	e := wire.Edit{Part: part, Key: config.DutyKey + change.Pool + "/" + change.Worker, IfRevision: change.IfRevision,
		Gone: change.IsRemoval, By: "duty controller at " + m.d.Who.Name}
	if !change.IsRemoval {
		e.Value = change.Next.Encode()
	}
	started := time.Now()
	p.proposals.Add(change, m.d.Now())
	if _, err := m.edit(ctx, e); err != nil {
		if !errs.Is(err, errs.Undecided) { // an undecided edit may have been applied; the view will show it
			p.proposals.Fail(change)
		}
		if !errs.Is(err, errs.Conflict) {
			klog.Warningf("duty: %s/%s could not be assigned within %v and is planned again: %v.", change.Pool, change.Worker, time.Since(started), err)
		}
		return
	}
	dutyMoves.WithLabelValues(change.Pool).Inc()
	klog.V(1).Infof("duty: %s/%s is assigned to %q.", change.Pool, change.Worker, change.Next.Holder)
}
