package wire

// QuotaAsk asks the owner of the place that counts the messages of tenants for the right to accept some.
type QuotaAsk struct {
	Place  int64        `avro:"place"`
	Holder string       `avro:"holder"` // life of the adapter that asks
	Lease  int64        `avro:"lease"`  // milliseconds from the ask for which the adapter may use what it gets
	Counts []QuotaCount `avro:"counts"`
}

// QuotaCount is what an adapter has accepted of one tenant, and what it wants to accept. Spent, Returned and
// Need are totals since the life of the account began, so an ask may be lost, sent again or come late.
type QuotaCount struct {
	Tenant   string `avro:"tenant"`
	Epoch    int64  `avro:"life"`      // of the account at the adapter; grows each time that the account begins anew
	Spent    int64  `avro:"spent"`     // messages accepted
	Returned int64  `avro:"returned"`  // tokens given back
	Need     int64  `avro:"need"`      // tokens that messages wait for, added to what was granted before
	Target   int64  `avro:"target"`    // how many tokens the adapter would like to hold for messages to come
	InFlight int64  `avro:"in_flight"` // tokens of messages that it is not known of yet whether they are accepted
}

// QuotaGrants answers QuotaAsk. Kind is empty if the asks were decided; a tenant that the owner knows no limit
// of has no grant.
type QuotaGrants struct {
	Kind   string       `avro:"kind"`
	Owner  string       `avro:"owner"`
	Grants []QuotaGrant `avro:"grants"`
}

// QuotaGrant tells how many tokens of a tenant an adapter has been granted in a life of its account.
type QuotaGrant struct {
	Tenant  string `avro:"tenant"`
	Epoch   int64  `avro:"life"`
	Granted int64  `avro:"granted"` // in total
	Share   int64  `avro:"share"`   // most tokens that the adapter may hold for messages to come
	Wait    int64  `avro:"wait"`    // milliseconds after which to ask again for what was not granted; 0 if all was
}
