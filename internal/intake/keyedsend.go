package intake

import (
	"strconv"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/session"
	"caperwheel/internal/wire"
)

// newOperation returns the Operation of a request whose place and id are set.
func (e *request) newOperation(places int64, isHomeKnown bool, newToken func() string) *Operation {
	return NewOperation(OperationSetup{Take: e.take, OperationKey: e.operationKey, Tenant: e.tenant.Name, Sender: e.sender,
		IsPlaced: e.orderingKey != "", Places: places, IsHomeKnown: isHomeKnown,
		NewToken: newToken})
}

// KeyedSend is a passthrough request with an operation key, for OperationOf.
type KeyedSend struct {
	Lane         config.Lane
	ApiKey       string
	OperationKey string
	OrderingKey  string
	Take         wire.Take // body, checksum and deadline
	Places       int64
	IsHomeKnown  bool          // the key's home was seen to hold messages itself
	NewToken     func() string // returns a random part of an id
}

// OperationOf returns the Operation of a request by a configuration, as PassthroughHandler carries it out. It returns an
// error of kind errs.Unauthorized for an API key that the lane does not accept.
func OperationOf(rules *config.Rules, s KeyedSend) (*Operation, error) {
	tenant, err := tenantFor(rules, s.Lane, s.ApiKey)
	if err != nil {
		return nil, err
	}
	e := &request{lane: s.Lane, tenant: tenant, take: s.Take, sender: SenderDigest(s.ApiKey)}
	e.take.Lane = s.Lane.Name
	e.assignKeys(s.OperationKey, s.OrderingKey)
	number, _ := e.keyedPlace(s.Places)
	e.setPlace(number)
	return e.newOperation(s.Places, s.IsHomeKnown, s.NewToken), nil
}

// retryTokenBytes are the random bytes that tell the ids of one operation key apart.
const retryTokenBytes = 6

// newRetryToken returns a random part of an id.
func newRetryToken() string { return daemon.RandomId(retryTokenBytes) }

// AddCounts adds what the adapter reports of its intake with each poll.
func (in *Intake) AddCounts(counts map[string]int64) { counts[session.ClaimsCount] = 1 }

// probeHomes asks the owners of places that are not known as homes whether they are, once in the time in which a
// configuration takes effect. Otherwise the first message to each home would wait for that answer.
func (in *Intake) probeHomes() {
	now := in.d.Now()
	if in.homesProbedAt > 0 && now-in.homesProbedAt < in.d.Bounds.ConfigApply {
		return
	}
	in.homesProbedAt = now
	for number := range in.knownHomes {
		who, isKnown := in.d.Membership.Owner(wire.FirstPlaceGroup + int64(number))
		if in.knownHomes[number].Load() || !isKnown {
			continue
		}
		probe := &wire.Look{Place: int64(number), Id: strconv.Itoa(number) + "-" + wire.HomeProbe, Claim: wire.OperationClaim{Operation: wire.HomeProbe}}
		_ = in.d.Node.Peer(wire.PlaceLink, who.Addr).Post(probe, func(reply any, err error) { // on failure it is sent again later
			if sight, isSight := reply.(*wire.Sight); err == nil && isSight && sight.IsHome {
				in.knownHomes[number].Store(true)
			}
		})
	}
}
