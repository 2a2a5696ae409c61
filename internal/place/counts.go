package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
)

// Count returns the command that decides a batch of what adapters tell and ask of tenants' limits. It may be
// proposed once the group has agreed on LevelQuotas.
func Count(batch quota.Batch) Command { return Command{Kind: CmdCount, Counts: batch.Encode()} }

// count has the ledger decide a batch. It is no message's business: what is counted waits for nothing, so a place
// that only counts is idle.
func (m *Machine) count(c Command) Verdict {
	if m.level < LevelQuotas {
		return no(errs.Stale, "", "the group has not agreed to count")
	}
	batch, err := quota.DecodeBatch(c.Counts)
	if err != nil { // the same at all replicas
		return no(errs.Corrupt, "", err.Error())
	}
	return Verdict{Grants: m.counts.Apply(m.clock, batch)}
}

// Held returns how many tokens of tenants adapters hold, by what the place knows.
func (m *Machine) Held() int64 { return m.counts.Held() }
