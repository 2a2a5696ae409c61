package manager

import (
	"context"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/ownerclient"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// Operators is what operators can ask of a deployment, whatever interface they
// ask through.
type Operators struct{ m *Manager }

// NewOperators gives the operators' code on a daemon, a reach and a registry
// that somebody else runs: the simulation does. Where there is a source of workers it
// is not read, but restored zones' workers count as cold.
func NewOperators(d *daemon.Daemon, r *ownerclient.Client, registry *session.Registry, source *Source) *Operators {
	m := &Manager{d: d, configs: &config.Cache{View: d.View}, registry: registry, reach: r, source: source, resendWindow: 2 * d.Bounds.ConfigApply,
		storeHistory: storeHistory{bound: d.Bounds.ConfigApply}}
	m.operators = &Operators{m}
	return m.operators
}

// ObserveStores notes what is young among the marks and stores; to be called with each
// beat of the feed.
func (o *Operators) ObserveStores() {
	o.m.storeHistory.observe(o.m.d.Membership.OfKind("store"), o.m.d.Now())
}

// Proposal is a change of the configuration. It names what it builds on: a revision or,
// if IsVersionBased, the operators' own version.
type Proposal struct {
	By             string
	Digest         string // names this very edit: one already taken is not made again; empty for none
	BaseRevision   int64  // 0 for the first configuration
	BaseVersion    int64  // 0 for a configuration without a version
	IsVersionBased bool
	IsDryRun       bool // it is only checked
	Build          func(baseRank []byte) ([]byte, error)
}

// base ranks what the proposal builds on among all orders: its version or revision. The
// part that remembers orders holds any order of a low rank for one that it may have
// forgotten, so where both are used an order gets no clear answer rather than a wrong one.
func (p Proposal) baseRank() int64 {
	if p.IsVersionBased {
		return p.BaseVersion
	}
	return p.BaseRevision
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	Revision    int64
	Differences []config.Difference
	Faults      []config.Fault // with errs.Invalid, if the new configuration has any
}

// Config reads the configuration through a majority. Revision 0 means that there is none.
func (o *Operators) Config(ctx context.Context) (doc []byte, revision int64, err error) {
	c, err := o.m.readKey(ctx, feed.ConfigPart, config.DocumentKey)
	if errs.Is(err, errs.Unknown) {
		return []byte("{}"), 0, nil
	}
	return c.Value, c.Revision, err
}

// Propose checks a configuration on its base and writes it on that base only. Of two
// proposals on one base one wins; the other has errs.Conflict. One with a
// digest that was taken before holds, also when others were made on top of it;
// where that cannot be known it has errs.Undecided.
func (o *Operators) Propose(ctx context.Context, p Proposal) (ProposalResult, error) {
	base, revision, err := o.Config(ctx)
	if err != nil {
		return ProposalResult{}, err
	}
	version := config.VersionOf(base)
	switch {
	case config.HasEdit(base, p.Digest):
		return ProposalResult{Revision: revision}, nil
	case p.IsVersionBased && version != p.BaseVersion:
		return o.resolveOutcome(ctx, p, ProposalResult{}, errs.New(errs.Conflict, "the configuration's version is %d", version))
	case !p.IsVersionBased && revision != p.BaseRevision:
		return o.resolveOutcome(ctx, p, ProposalResult{}, errs.New(errs.Conflict, "the configuration's stamp is %d", revision))
	}
	doc, err := p.Build(base)
	if err != nil {
		return ProposalResult{}, err
	}
	rules, faults := config.Compile(doc)
	if len(faults) > 0 {
		return ProposalResult{Faults: faults}, errs.New(errs.Invalid, "the configuration has faults")
	}
	if p.IsVersionBased && rules.Version <= version {
		return ProposalResult{}, errs.New(errs.Invalid, "version %d is not above %d", rules.Version, version)
	}
	out := ProposalResult{Revision: revision}
	if !p.IsVersionBased {
		if out.Differences, err = config.Diff(base, doc); err != nil {
			return ProposalResult{}, err
		}
	}
	if p.IsDryRun {
		return out, nil
	}
	out.Revision, err = o.m.edit(ctx, wire.Edit{Part: feed.ConfigPart, Key: config.DocumentKey, Value: doc, IfRevision: revision, By: p.By,
		OperationId: p.Digest, BaseVersion: p.baseRank(), EarlierOperations: config.EditsOf(base)})
	return o.resolveOutcome(ctx, p, out, err)
}

// settle looks whether an edit that seems lost was taken all the same. The part
// that holds the configuration remembers each order that was taken, so only its word
// makes a clear no.
func (o *Operators) resolveOutcome(ctx context.Context, p Proposal, out ProposalResult, err error) (ProposalResult, error) {
	if p.Digest == "" || !errs.Is(err, errs.Conflict) && !errs.Is(err, errs.Undecided) {
		return out, err
	}
	taken, pullErr := o.m.readKey(ctx, feed.ConfigPart, feed.OrderKey(p.Digest, p.baseRank()))
	switch {
	case pullErr == nil:
		return ProposalResult{Revision: taken.Revision}, nil
	case !errs.Is(pullErr, errs.Unknown):
		return out, undecidedError()
	case errs.Is(err, errs.Undecided):
		return out, err
	}
	return o.resolveLegacyOutcome(ctx, p, out, err)
}

// resolveLegacyOutcome is settle for a configuration that an older build made: it remembers the
// newest orders itself.
func (o *Operators) resolveLegacyOutcome(ctx context.Context, p Proposal, out ProposalResult, conflict error) (ProposalResult, error) {
	doc, revision, err := o.Config(ctx)
	switch {
	case err != nil, !config.HasEdit(doc, p.Digest) && config.MayHaveForgotten(doc):
		return out, undecidedError()
	case config.HasEdit(doc, p.Digest):
		return ProposalResult{Revision: revision}, nil
	}
	return out, conflict
}
