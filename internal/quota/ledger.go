package quota

import (
	"maps"
	"slices"

	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// sweepSpan is how often accounts that nobody uses are looked for, in milliseconds of place time.
const sweepSpan = 2_000

// Ledger is the accounts of the tenants that one place counts. It is replicated state: what Apply comes to
// follows from the state, the time and the batch alone, bit for bit.
type Ledger struct {
	accounts map[string]*account
	sweptAt  int64
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

// IsEmpty reports whether nothing is counted.
func (l *Ledger) IsEmpty() bool { return len(l.accounts) == 0 }

// Held returns how many tokens holders hold.
func (l *Ledger) Held() int64 {
	sum := int64(0)
	for _, a := range l.accounts {
		sum += a.held() / token
	}
	return sum
}

// Apply decides a batch at a place time in milliseconds and returns the grant for each ask: one without a tenant
// for an ask without a limit, or of an earlier life of its holder's account.
func (l *Ledger) Apply(at int64, batch Batch) []wire.QuotaGrant {
	l.sweep(at)
	for _, limit := range batch.Limits {
		if l.accounts[limit.Tenant] == nil {
			l.accounts[limit.Tenant] = newAccount(limit, at)
		}
		l.accounts[limit.Tenant].change(limit, at)
	}
	isLate := make([]bool, len(batch.Asks))
	for i, ask := range batch.Asks { // all reports first: what is spent or given back makes room
		if a := l.accounts[ask.Count.Tenant]; a != nil {
			isLate[i] = a.report(ask, at) == nil
		}
	}
	grants := make([]wire.QuotaGrant, len(batch.Asks))
	for i, ask := range batch.Asks {
		a := l.accounts[ask.Count.Tenant]
		if a == nil || isLate[i] {
			continue
		}
		place, _ := a.find(ask.Holder)
		grants[i] = a.grant(ask, &a.Holders[place], at)
	}
	return grants
}

// sweep forgets the accounts that are as new ones.
func (l *Ledger) sweep(at int64) {
	if at-l.sweptAt < sweepSpan {
		return
	}
	l.sweptAt = at
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool {
		a.advance(at)
		return a.isUnused()
	})
}

type image struct {
	SweptAt  int64     `avro:"swept_at"`
	Accounts []account `avro:"accounts"`
}

var imageCodec = wire.NewPlain(&image{})

// Image returns the whole state as bytes: none for a ledger that has never counted anything.
func (l *Ledger) Image() []byte {
	if l.IsEmpty() && l.sweptAt == 0 {
		return []byte{}
	}
	out := image{SweptAt: l.sweptAt, Accounts: []account{}}
	for _, tenant := range slices.Sorted(maps.Keys(l.accounts)) {
		a := *l.accounts[tenant]
		if a.Holders == nil {
			a.Holders = []holder{}
		}
		out.Accounts = append(out.Accounts, a)
	}
	return imageCodec.Encode(&out)
}

// Restore reads a whole state back. Errors: Corrupt.
func Restore(raw []byte) (*Ledger, error) {
	l := NewLedger()
	if len(raw) == 0 {
		return l, nil
	}
	var in image
	if err := imageCodec.Decode(raw, &in); err != nil {
		return nil, errs.Wrap(err, errs.Corrupt, "the counts of tenants")
	}
	l.sweptAt = in.SweptAt
	for _, a := range in.Accounts {
		l.accounts[a.Tenant] = &a
	}
	return l, nil
}
