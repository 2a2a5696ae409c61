package intake

import (
	"strconv"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/wire"
)

// Operation finds the id under which a message with an operation key is held, and has it held. It is a state machine
// without I/O: Next returns the request to send next and the place to whose owner it goes, Reply takes the reply.
//
// A key's home is the place that a hash of the key alone selects, so no change of the configuration moves it. The home
// holds a message without an ordering key itself. Any other message belongs to the place of its ordering key. A tenant's
// goes there at once, where its id follows from its tenant and its operation key. For a sender without a tenant the
// place follows from the lane too, so the home binds the operation key to the message's id before the message is sent.
//
// Invariant: a message without an ordering key or a tenant is sent to a place other than the home only under an id that
// the home has bound the key to, or while the home's group does not support claims yet.
type Operation struct {
	take     wire.Take
	claim    wire.OperationClaim
	home     int64
	homeId   string // id of the message if the home holds it
	placedId string // id of the message at the place of its ordering key, or where builds without claims put it
	isAtHome bool   // the home holds such messages itself
	proposed string // id that the claim under way proposes
	bound    string // id of another send that is being settled
	stage    operationStage
	requests int
	outcome  wire.Taken
	newToken func() string // returns a random part of an id
}

// operationStage is what an Operation does next.
type operationStage int

const (
	claimStage  operationStage = iota // ask the home which id the key is bound to
	settleStage                       // ask whether the message that the key is bound to was accepted
	takeStage                         // send the message to the place of its id
	doneStage
)

// maxOperationRequests bounds the requests of one send. More than two claims are needed only while other sends with the
// key are under way.
const maxOperationRequests = 9

// senderDigits are the hexadecimal digits of the digest of an API key that a claim carries: 96 bits.
const senderDigits = 24

// SenderDigest returns the digest by which a claim names the sender's API key; empty for none.
func SenderDigest(apiKey string) string {
	if apiKey == "" {
		return ""
	}
	return config.HashApiKey(apiKey).String()[:senderDigits]
}

// HomeOf returns the home of an operation key among a number of places.
func HomeOf(operationKey string, places int64) int64 {
	return hashToPlace("", "n"+operationKey, places)
}

// OperationSetup describes a send with an operation key.
type OperationSetup struct {
	Take         wire.Take // with the place and id that builds without claims give it
	OperationKey string
	Tenant       string
	Sender       string // a SenderDigest
	IsPlaced     bool   // the ordering key selects the place
	Places       int64
	IsHomeKnown  bool          // the home is known to hold messages itself
	NewToken     func() string // returns a random part of an id
}

// NewOperation returns the Operation of a send.
func NewOperation(s OperationSetup) *Operation {
	o := &Operation{take: s.Take, home: HomeOf(s.OperationKey, s.Places), placedId: s.Take.Id, newToken: s.NewToken}
	o.claim = wire.OperationClaim{Operation: wire.OperationDigest(s.OperationKey), Tenant: wire.TenantDigest(s.Tenant), Sender: s.Sender,
		Lane: s.Take.Lane, IsPlaced: s.IsPlaced}
	o.homeId = strconv.FormatInt(o.home, 10) + "-" + wire.OperationToken(s.Tenant, s.OperationKey)
	o.proposed = o.placedId
	switch {
	case s.IsPlaced && s.Tenant != "":
		o.takeAs(o.placedId)
	case s.IsHomeKnown && !s.IsPlaced:
		o.takeAtHome()
	}
	return o
}

// Next returns the next request, a *wire.Look, *wire.Settle or *wire.Take, and the place that it goes to; nil if the
// operation is done.
func (o *Operation) Next() (request any, place int64) {
	if o.requests++; o.requests > maxOperationRequests {
		o.fail(errs.Stale)
	}
	switch o.stage {
	case claimStage:
		return &wire.Look{Place: o.home, Id: o.proposed, Claim: o.claim}, o.home
	case settleStage:
		number := placeOfId(o.bound)
		return &wire.Settle{Place: number, Id: o.bound, Lane: o.take.Lane, IsForOperation: true}, number
	case takeStage:
		return &o.take, o.take.Place
	}
	return nil, 0
}

// Reply takes the reply to the request that Next returned last: a *wire.Sight or a *wire.Taken.
func (o *Operation) Reply(reply any) {
	switch m := reply.(type) {
	case *wire.Sight:
		o.onClaimed(m)
	case *wire.Taken:
		if o.stage == settleStage {
			o.onSettled(m)
		} else {
			o.onTaken(m)
		}
	}
}

// IsHomeKnown reports whether the home was seen to hold messages itself.
func (o *Operation) IsHomeKnown() bool { return o.isAtHome }

// Outcome returns the answer of an operation that is done.
func (o *Operation) Outcome() *wire.Taken { return &o.outcome }

// onClaimed takes the home's answer to a claim. The owner of an older build passes over the claim and answers whether
// it has a message with the id.
func (o *Operation) onClaimed(s *wire.Sight) {
	kind := errs.Kind(s.Kind)
	isUnsupported := kind == errs.Unsupported || kind == errs.Unknown || kind == "" && s.Bound == "" && !s.IsHome
	switch {
	case isUnsupported:
		o.takeAs(o.placedId)
	case kind != "":
		o.fail(kind)
	case s.IsHome:
		o.takeAtHome()
	default:
		o.followBinding(s.Bound)
	}
}

// followBinding goes on with the id that the key is bound to. An id that another send like this one has proposed is this
// send's too; otherwise the other send decides.
func (o *Operation) followBinding(id string) {
	switch {
	case isVariant(id, o.placedId):
		o.isAtHome = false
		o.takeAs(id)
	case isVariant(id, o.homeId) && !o.claim.IsPlaced:
		o.isAtHome = true
		o.takeAs(id)
	default:
		o.bound, o.stage = id, settleStage
	}
}

// variantMark separates an id from the random part that rebind adds to it.
const variantMark = "-"

// isVariant reports whether an id is the base or was made from it by rebind.
func isVariant(id, base string) bool { return id == base || strings.HasPrefix(id, base+variantMark) }

// onTaken takes the answer of a place that the message was sent to.
func (o *Operation) onTaken(t *wire.Taken) {
	switch errs.Kind(t.Kind) {
	case errs.Bound:
		o.followBinding(t.Id)
	case errs.Unsupported:
		o.isAtHome, o.stage = false, claimStage
	default:
		o.outcome, o.stage = *t, doneStage
	}
	if t.Kind == string(errs.Rejected) && t.IsRebindable { // another send binds the key to another id, or has ended before
		o.rebind(o.take.Id)
	}
}

// onSettled takes the answer to settle. An accepted message is the one that this send repeats. One that never will be
// leaves the key free for this send, unless it was a caller who had it settled.
func (o *Operation) onSettled(t *wire.Taken) {
	switch {
	case t.Kind == "":
		o.outcome, o.stage = wire.Taken{Id: o.bound, State: t.State, IsRepeat: true}, doneStage
	case t.IsRebindable:
		o.rebind(o.bound)
	default:
		o.fail(errs.Kind(t.Kind))
	}
}

// rebind proposes a new id in place of one that was settled as never accepted.
func (o *Operation) rebind(settled string) {
	base := o.placedId
	if o.isAtHome {
		base = o.homeId
	}
	o.claim.Replaces, o.proposed, o.stage = settled, base+variantMark+o.newToken(), claimStage
}

// takeAtHome sends the message to the home, to be held there.
func (o *Operation) takeAtHome() {
	o.isAtHome = true
	o.takeAs(o.homeId)
}

// takeAs sends the message to the place of an id.
func (o *Operation) takeAs(id string) {
	o.take.Id, o.take.Place, o.take.IsClaimed, o.stage = id, placeOfId(id), true, takeStage
	o.take.Claim = wire.OperationClaim{}
	if o.isAtHome {
		o.take.Claim = o.claim
	}
}

// fail ends the operation with an error kind. Nothing of this send is held.
func (o *Operation) fail(kind errs.Kind) {
	o.outcome = wire.Taken{Id: o.take.Id, Kind: string(kind), Text: "the home of the operation key could not decide now"}
	o.stage = doneStage
}

// placeOfId returns the place in an id that a place or an intake has made.
func placeOfId(id string) int64 {
	prefix, _, _ := strings.Cut(id, "-")
	number, _ := strconv.ParseInt(prefix, 10, 64)
	return number
}
