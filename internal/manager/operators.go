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

// Operators carries out the operations that operators request, whichever interface they use.
type Operators struct{ m *Manager }

// NewOperators returns the operators' operations on a daemon, owner client and registry that the caller
// runs; the simulation uses it. A source is not read, but with one the workers of restored zones count
// as cold.
func NewOperators(d *daemon.Daemon, r *ownerclient.Client, registry *session.Registry, source *Source) *Operators {
	m := &Manager{d: d, configs: &config.Cache{View: d.View}, registry: registry, ownerClient: r, source: source, resendWindow: 2 * d.Bounds.ConfigApply,
		storeHistory: storeHistory{bound: d.Bounds.ConfigApply}}
	m.operators = &Operators{m}
	return m.operators
}

// ObserveStores records which stores are members now. It is called once in each polling period.
func (o *Operators) ObserveStores() {
	o.m.storeHistory.observe(o.m.d.Membership.OfKind("store"), o.m.d.Now())
}

// Proposal is a proposed change of the configuration. It is based on a revision or, if IsVersionBased,
// on the version number that operators give.
type Proposal struct {
	By             string // author, for the history
	Digest         string // idempotency key: an edit that was applied is not applied again; empty for none
	BaseRevision   int64  // 0 for the first configuration
	BaseVersion    int64  // 0 for a configuration without a version
	IsVersionBased bool
	IsDryRun       bool                              // it is validated and not written
	Build          func(base []byte) ([]byte, error) // returns the new document for the base
}

// baseRank ranks the proposal among all edits by its base version or revision. The part remembers a
// bounded number of edits and treats any edit of a low rank as one that it may have forgotten. So if
// versions and revisions are mixed, an edit may get an undecided answer but never a wrong one.
func (p Proposal) baseRank() int64 {
	if p.IsVersionBased {
		return p.BaseVersion
	}
	return p.BaseRevision
}

// ProposalResult is the result of a proposal.
type ProposalResult struct {
	Revision    int64
	Differences []config.Difference
	Faults      []config.Fault // the faults of the new configuration; the error is errs.Invalid
}

// Config reads the configuration document through a majority. Revision 0 means that there is none.
func (o *Operators) Config(ctx context.Context) (doc []byte, revision int64, err error) {
	c, err := o.m.readKey(ctx, feed.ConfigPart, config.DocumentKey)
	if errs.Is(err, errs.Unknown) {
		return []byte("{}"), 0, nil
	}
	return c.Value, c.Revision, err
}

// Propose validates a new configuration and writes it if its base is still the current one. Of two
// proposals on one base one succeeds and the other fails with errs.Conflict. A proposal whose digest
// was applied before succeeds, even if later edits followed; if the part no longer remembers whether
// it was, the error is errs.Undecided.
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
		return o.resolveOutcome(ctx, p, ProposalResult{}, errs.New(errs.Conflict, "the change is based on another version: the configuration's version is %d", version))
	case !p.IsVersionBased && revision != p.BaseRevision:
		return o.resolveOutcome(ctx, p, ProposalResult{}, errs.New(errs.Conflict, "the change is based on another stamp: the configuration's stamp is %d", revision))
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
		return ProposalResult{}, errs.New(errs.Invalid, "the new configuration's version is %d; it must be above %d", rules.Version, version)
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

// resolveOutcome determines whether an edit that met a conflict, or is undecided, was applied all the
// same. The configuration's part remembers the edits that it applied, so only its answer can
// confirm that this one was not.
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

// resolveLegacyOutcome determines the outcome for a configuration that an older build wrote: the
// document itself lists the digests of the newest edits.
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
