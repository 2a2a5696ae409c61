package place

import (
	"caperwheel/internal/errs"
	"caperwheel/internal/quota"
)

// CountCommand returns the command that decides a batch of adapters' reports and requests about tenants' limits. It may
// be proposed once the group has agreed on LevelQuotas.
func CountCommand(batch quota.Batch) Command { return Command{Kind: CmdCount, Counts: batch.Encode()} }

// applyCounts lets the ledger decide a batch. No message is involved and nothing waits for place time, so a place that
// only counts is idle.
func (m *Machine) applyCounts(c Command) Result {
	if m.level < LevelQuotas {
		return refuse(errs.Stale, "", "the group has not agreed on the feature level that counts tenants' limits")
	}
	batch, err := quota.DecodeBatch(c.Counts)
	if err != nil { // all replicas get the same error
		return refuse(errs.Corrupt, "", err.Error())
	}
	return Result{Grants: m.ledger.Apply(m.clock, batch)}
}

// HeldTokens returns how many tokens of tenants' limits the adapters hold, as far as this place knows.
func (m *Machine) HeldTokens() int64 { return m.ledger.Held() }
