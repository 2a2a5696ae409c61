// Package quota limits the rate at which all adapters together accept messages of a tenant.
//
// A limit is a token bucket: Rate tokens a second, Burst at most. The bucket of a tenant is part of one Allocator,
// which is replicated state of a place's group: all replicas apply the same batches of requests in the same order.
// Adapters hold tokens ahead of need in a TokenCache and spend one for each message that they accept, so a message
// waits for the allocator only if its adapter holds no token.
//
// The tokens in the bucket and those held by adapters are never more than Burst together, which limits the messages
// accepted in any window to Rate*window + Burst: what adapters hold is a part of the burst. A holder that sends no
// request for longer than its lease is dropped, and all that it held counts as spent. A holder spends nothing after
// its lease, which it measures by its own steady clock from when it sent the request; the allocator drops it only
// after a longer span of its group's time, which never runs ahead of real time.
//
// Epochs number the leases of a holder: a holder whose lease has expired starts a new epoch without tokens.
//
// The package has no clock, no goroutines and no I/O. The allocator is used by package place, the token cache by
// package intake.
package quota

import (
	"caperwheel/internal/wire"
)

// Units. Buckets are counted in millionths of a token and rates in thousandths of a token a second, so that a rate
// times milliseconds is exactly what a bucket gains.
const (
	tokenUnits        = 1_000_000
	rateUnit          = 1_000
	refillSpanLimitMs = 3_600_000     // refilled at once at most, so that no product overflows
	rateLimit         = 10_000_000    // tokens a second
	burstLimit        = rateLimit * 4 // tokens
)

// Limit is a tenant's limit in the units of the allocator.
type Limit struct {
	Tenant string `avro:"tenant"`
	Rate   int64  `avro:"rate"`  // thousandths of a token a second
	Burst  int64  `avro:"burst"` // millionths of a token
}

// LimitOf returns a limit that is given in tokens. rate and burst must be positive.
func LimitOf(tenant string, rate, burst float64) Limit {
	return Limit{Tenant: tenant, Rate: max(1, int64(min(rate, rateLimit)*rateUnit)),
		Burst: max(tokenUnits, int64(min(burst, burstLimit)*tokenUnits))}
}

// Ask is one holder's request: its report and what it needs, for one tenant.
type Ask struct {
	Holder string          `avro:"holder"`
	Lease  int64           `avro:"lease"` // milliseconds
	Count  wire.QuotaCount `avro:"count"`
}

// Batch is a batch of requests that an allocator decides at once. The place's owner adds the limits of all tenants that
// the requests name, so that replicas need no configuration.
type Batch struct {
	Limits []Limit `avro:"limits"`
	Asks   []Ask   `avro:"asks"`
}

var batchCodec = wire.NewRecordCodec(&Batch{})

// Encode returns the batch's bytes for a group's log.
func (b Batch) Encode() []byte { return batchCodec.Encode(&b) }

// DecodeBatch decodes a batch. Errors: Corrupt.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	err := batchCodec.Decode(raw, &b)
	return b, err
}
