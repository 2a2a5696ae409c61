package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
)

// CountCommand returns the command that decides a batch of what adapters tell and ask of tenants' limits. It may be
// proposed once the group has agreed on LevelQuotas.
func CountCommand(batch quota.Batch) Command { return Command{Kind: CmdCount, Counts: batch.Encode()} }

// applyCounts has the ledger decide a batch. It is no message's business: what is counted waits for nothing, so a place
// that only counts is idle.
func (m *Machine) applyCounts(c Command) Result {
	if m.level < LevelQuotas {
		return refuse(errs.Stale, "", "the group has not agreed to count")
	}
	batch, err := quota.DecodeBatch(c.Counts)
	if err != nil { // the same at all replicas
		return refuse(errs.Corrupt, "", err.Error())
	}
	return Result{Grants: m.ledger.Apply(m.clock, batch)}
}

// HeldTokens returns how many tokens of tenants adapters hold, by what the place knows.
func (m *Machine) HeldTokens() int64 { return m.ledger.Held() }
