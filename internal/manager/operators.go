package manager

import (
	"context"

	"caperwheel/internal/charter"
	"caperwheel/internal/daemon"
	"caperwheel/internal/feed"
	"caperwheel/internal/mishap"
	"caperwheel/internal/reach"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// Operators is what operators can ask of a deployment, whatever interface they
// ask through.
type Operators struct{ m *Manager }

// NewOperators gives the operators' code on a daemon, a reach and a registry
// that somebody else runs: the simulation does.
func NewOperators(d *daemon.Daemon, r *reach.Reach, registry *session.Registry) *Operators {
	m := &Manager{d: d, scenes: &charter.Scenes{View: d.View}, registry: registry, reach: r}
	m.ages.bounds = d.Bounds
	m.operators = &Operators{m}
	return m.operators
}

// Proposal is a change of the charter. It names what it builds on: a stamp or,
// if IsOnVersion, the operators' own version.
type Proposal struct {
	By          string
	Digest      string // names this very edit: one already taken is not made again; empty for none
	OnStamp     int64  // 0 for the first charter
	OnVersion   int64  // 0 for a charter without a version
	IsOnVersion bool
	IsCheck     bool // it is only checked
	Make        func(base []byte) ([]byte, error)
}

// Verdict is what became of a proposal.
type Verdict struct {
	Stamp       int64
	Differences []charter.Difference
	Faults      []charter.Fault // with mishap.Invalid, if the new charter has any
}

// Charter reads the charter through a majority. Stamp 0 means that there is none.
func (o *Operators) Charter(ctx context.Context) (doc []byte, stamp int64, err error) {
	c, err := o.m.pull(ctx, feed.CharterPart, charter.Key)
	if mishap.Is(err, mishap.Unknown) {
		return []byte("{}"), 0, nil
	}
	return c.Value, c.Stamp, err
}

// Propose checks a charter on its base and writes it on that base only. Of two
// proposals on one base one wins; the other has mishap.Conflict.
func (o *Operators) Propose(ctx context.Context, p Proposal) (Verdict, error) {
	base, stamp, err := o.Charter(ctx)
	if err != nil {
		return Verdict{}, err
	}
	version := charter.VersionOf(base)
	switch {
	case charter.HasEdit(base, p.Digest):
		return Verdict{Stamp: stamp}, nil
	case p.IsOnVersion && version != p.OnVersion:
		return Verdict{}, mishap.New(mishap.Conflict, "the charter's version is %d", version)
	case !p.IsOnVersion && stamp != p.OnStamp:
		return Verdict{}, mishap.New(mishap.Conflict, "the charter's stamp is %d", stamp)
	}
	doc, err := p.Make(base)
	if err == nil && p.Digest != "" {
		doc, err = charter.WithEdit(doc, base, p.Digest)
	}
	if err != nil {
		return Verdict{}, err
	}
	rules, faults := charter.Compile(doc)
	if len(faults) > 0 {
		return Verdict{Faults: faults}, mishap.New(mishap.Invalid, "the charter has faults")
	}
	if p.IsOnVersion && rules.Version <= version {
		return Verdict{}, mishap.New(mishap.Invalid, "version %d is not above %d", rules.Version, version)
	}
	out := Verdict{Stamp: stamp}
	if !p.IsOnVersion {
		if out.Differences, err = charter.Diff(base, doc); err != nil {
			return Verdict{}, err
		}
	}
	if p.IsCheck {
		return out, nil
	}
	out.Stamp, err = o.m.edit(ctx, wire.Edit{Part: feed.CharterPart, Key: charter.Key, Value: doc, IfStamp: stamp, By: p.By})
	return o.settle(ctx, p, out, err)
}

// settle looks whether an edit that seems lost was taken all the same: another
// may have been made on top of it before its outcome was read back.
func (o *Operators) settle(ctx context.Context, p Proposal, out Verdict, err error) (Verdict, error) {
	if !mishap.Is(err, mishap.Conflict) && !mishap.Is(err, mishap.Undecided) {
		return out, err
	}
	if p.Digest != "" {
		doc, stamp, pullErr := o.Charter(ctx)
		switch {
		case pullErr != nil:
			return out, mishap.New(mishap.Undecided, "the change may or may not hold; read it back")
		case charter.HasEdit(doc, p.Digest):
			out.Stamp = stamp
			return out, nil
		}
	}
	if mishap.Is(err, mishap.Conflict) {
		return out, mishap.New(mishap.Conflict, "another change came first: %v", err)
	}
	return out, err
}
