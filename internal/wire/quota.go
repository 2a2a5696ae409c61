package wire

// QuotaAsk asks the owner of the place that counts a tenant's messages for tokens, each the right to accept
// one message.
type QuotaAsk struct {
	Place  int64        `avro:"place"`
	Holder string       `avro:"holder"` // process of the adapter that asks
	Lease  int64        `avro:"lease"`  // milliseconds from the request for which the adapter may use the tokens
	Counts []QuotaCount `avro:"counts"`
}

// QuotaCount is what an adapter has accepted for one tenant, and what it wants to accept. Spent, Returned
// and Need are totals over the account's epoch, so a request may be lost, repeated or late.
type QuotaCount struct {
	Tenant   string `avro:"tenant"`
	Epoch    int64  `avro:"life"`      // of the account at the adapter; grows each time that the account is reset
	Spent    int64  `avro:"spent"`     // messages accepted
	Returned int64  `avro:"returned"`  // tokens returned
	Need     int64  `avro:"need"`      // tokens that waiting messages need, added to the total granted before
	Target   int64  `avro:"target"`    // tokens that the adapter would like to hold in reserve
	InFlight int64  `avro:"in_flight"` // tokens of messages whose acceptance is not decided yet
}

// QuotaGrants answers QuotaAsk. Kind is empty if the requests were decided; a tenant without a limit at the
// owner has no grant.
type QuotaGrants struct {
	Kind   string       `avro:"kind"`
	Owner  string       `avro:"owner"`
	Grants []QuotaGrant `avro:"grants"`
}

// QuotaGrant is the number of a tenant's tokens that an adapter has been granted in an epoch of its
// account.
type QuotaGrant struct {
	Tenant  string `avro:"tenant"`
	Epoch   int64  `avro:"life"`
	Granted int64  `avro:"granted"` // total over the epoch
	Share   int64  `avro:"share"`   // most tokens that the adapter may hold in reserve
	Wait    int64  `avro:"wait"`    // milliseconds after which to request again what was not granted; 0 if everything was
}
