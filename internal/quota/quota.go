// Package quota keeps what a whole fleet accepts of a tenant within the tenant's limit.
//
// A limit is a token bucket: Rate tokens a second, Burst at most. The bucket of a tenant is an account of one
// Ledger, which is replicated state of a place's group: all replicas apply the same batches of asks in the same
// order. Adapters hold tokens ahead of need in a Wallet and spend one for each message that they accept, so a
// message waits for the ledger only where its adapter holds no token.
//
// What bounds the messages accepted in any window to Rate*window + Burst is that the tokens in the bucket and
// those held by adapters are never more than Burst together: what adapters hold is a part of the burst. A holder
// that does not ask for longer than its lease is dropped, and all that it held counts as spent. It spends nothing
// after its lease, which it counts by its own steady clock from when it sent the ask; the ledger drops it only
// after a longer span of its group's time, which never runs ahead of real time.
//
// The package is pure: it has no clock, no goroutines and no links.
package quota

import (
	"caperwheel/internal/wire"
)

// Units. Buckets are counted in millionths of a token, rates in thousandths a second: so a rate times
// milliseconds is what a bucket gains, exactly.
const (
	tokenUnits        = 1_000_000
	rateUnit          = 1_000
	refillSpanLimitMs = 3_600_000     // milliseconds that a bucket is refilled for at once; no product overflows
	rateLimit         = 10_000_000    // tokens a second
	burstLimit        = rateLimit * 4 // tokens
)

// Limit is a tenant's limit as replicas count it.
type Limit struct {
	Tenant string `avro:"tenant"`
	Rate   int64  `avro:"rate"`  // thousandths of a token a second
	Burst  int64  `avro:"burst"` // millionths of a token
}

// LimitOf returns a limit given in tokens. It must be positive.
func LimitOf(tenant string, rate, burst float64) Limit {
	return Limit{Tenant: tenant, Rate: max(1, int64(min(rate, rateLimit)*rateUnit)),
		Burst: max(tokenUnits, int64(min(burst, burstLimit)*tokenUnits))}
}

// Ask is what one holder tells and asks of one tenant.
type Ask struct {
	Holder string          `avro:"holder"`
	Lease  int64           `avro:"lease"` // milliseconds
	Count  wire.QuotaCount `avro:"count"`
}

// Batch is what a ledger decides at once. Its owner has put in the limits of all tenants that it names, so that
// replicas need no configuration.
type Batch struct {
	Limits []Limit `avro:"limits"`
	Asks   []Ask   `avro:"asks"`
}

var batchCodec = wire.NewRecordCodec(&Batch{})

// Encode returns the batch's bytes for a group's log.
func (b Batch) Encode() []byte { return batchCodec.Encode(&b) }

// DecodeBatch reads a batch back. Errors: Corrupt.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	err := batchCodec.Decode(raw, &b)
	return b, err
}
