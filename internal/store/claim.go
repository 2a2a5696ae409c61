package store

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/place"
	"caperwheel/internal/wire"
)

// maxClaims limits the claims of a place.
const maxClaims = 2 * maxMessages

// claimAnswers counts the answers to claims.
var claimAnswers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "operation",
	Name: "claims_total", Help: "Claims of operation keys that places owned here have answered, by what they were told."}, []string{"answer"})

func init() { prometheus.MustRegister(claimAnswers) }

// What a claim is told, as labels of claimAnswers.
const (
	claimKnown = "known" // the operation key was bound before
	claimBound = "bound" // it has been bound to the proposed id
	claimHome  = "home"  // the place holds such messages itself
)

// claimOf returns the claim that a request makes, without an id.
func claimOf(c wire.OperationClaim) place.Claim {
	return place.Claim{Operation: c.Operation, Tenant: c.Tenant, Sender: c.Sender}
}

// claimRetention returns how long a claim of a message of a lane is kept, in milliseconds; 0 without a claim.
func claimRetention(c wire.OperationClaim, lane config.Lane) int64 {
	if c.Operation == "" {
		return 0
	}
	return lane.Retention.Milliseconds()
}

// settledBelowClaims answers whether the message that another send asks for was accepted; if not, it may still be.
func (p *PlaceHost) settledBelowClaims(t *wire.Settle) *wire.Taken {
	e := p.machine.Find(t.Id)
	switch {
	case !p.host.IsOwner():
		return &wire.Taken{Id: t.Id, Kind: string(errs.NotOwner), Owner: p.ownerName()}
	case e == nil || e.State == place.Tombstone:
		return &wire.Taken{Id: t.Id, Kind: string(errs.Stale), Text: "the place cannot settle the message of another send yet"}
	}
	return &wire.Taken{Id: t.Id, State: string(e.State)}
}

// isUnclaimed reports whether a message with an operation key comes from an adapter of an older build, which has not
// asked the key's home. Once the place is at LevelHomes, adapters that ask it may have accepted the message elsewhere.
func (p *PlaceHost) isUnclaimed(t *wire.Take) bool {
	return p.machine.Level() >= place.LevelHomes && t.Claim.Operation == "" && !t.IsClaimed && wire.IsOperationId(t.Id)
}

// Claim answers which id the message of an operation key has, and binds the key to the proposed id if it has none. An
// answer from the owner's state needs no confirmation by a majority, since a bound id stays bound unless its message
// was never accepted.
func (p *PlaceHost) Claim(l *wire.Look, answer func(any)) {
	wanted := claimOf(l.Claim)
	known := p.machine.FindClaim(wanted)
	lane, isKnownLane := p.environment.Compiled().Rules.Lanes[l.Claim.Lane]
	switch level := p.machine.Level(); {
	case !p.host.IsOwner(), level == 0: // a new group raises its level as soon as all replicas have reported theirs
		answer(p.newSight(nil, errs.NotOwner))
	case level < place.LevelClaims:
		answer(p.newSight(nil, errs.Unsupported))
	case l.Claim.Operation == wire.HomeProbe && level < place.LevelHomes:
		answer(p.newSight(nil, errs.Unsupported))
	case l.Claim.Operation == wire.HomeProbe:
		p.answerClaim(claimHome, "", answer)
	case !p.environment.IsFresh():
		answer(p.newSight(nil, errs.NotOwner))
	case known != nil && known.Id != l.Claim.Replaces:
		p.answerClaim(claimKnown, known.Id, answer)
	case known == nil && level >= place.LevelHomes && !l.Claim.IsPlaced:
		p.answerClaim(claimHome, "", answer)
	case !isKnownLane: // not errs.Unknown, which an owner of an older build answers
		answer(p.newSight(nil, errs.Stale))
	case p.machine.ClaimCount() >= maxClaims, p.overload() != nil:
		answer(p.newSight(nil, errs.Full))
	case p.pending.join(claimKey(l), answer):
	default:
		p.proposeClaim(l, lane, p.pending.begin(claimKey(l), answer))
	}
}

// claimKey identifies the content of a claim.
func claimKey(l *wire.Look) string {
	c := &l.Claim
	return c.Operation + "\x00" + c.Tenant + "\x00" + c.Sender + "\x00" + c.Replaces + "\x00" + l.Id
}

// proposeClaim proposes to bind an operation key.
func (p *PlaceHost) proposeClaim(l *wire.Look, lane config.Lane, answer func(any)) {
	p.propose(place.Command{Kind: place.CmdClaim, Id: l.Id, Operation: l.Claim.Operation, Tenant: l.Claim.Tenant, Sender: l.Claim.Sender,
		Replaces: l.Claim.Replaces, Retain: claimRetention(l.Claim, lane)}, func(v place.Result, err error) {
		switch {
		case err != nil:
			answer(p.newSight(nil, errs.KindOf(err)))
		case v.Kind != "":
			answer(p.newSight(nil, v.Kind))
		case v.IsRepeat:
			p.answerClaim(claimKnown, v.Id, answer)
		default:
			p.answerClaim(claimBound, v.Id, answer)
		}
	})
}

// answerClaim answers a claim with the id that it is bound to, or that the place holds such messages itself.
func (p *PlaceHost) answerClaim(told, id string, answer func(any)) {
	claimAnswers.WithLabelValues(told).Inc()
	out := p.newSight(nil, "")
	out.Bound, out.IsHome = id, told == claimHome
	answer(out)
}

// hasOldRulePassed reports whether no message can be remembered any more that an adapter placed without a claim: all
// adapters have claimed for as long as any message or claim is kept.
func (p *PlaceHost) hasOldRulePassed(now time.Duration) bool {
	longest := time.Duration(0)
	for _, lane := range p.environment.Compiled().Rules.Lanes {
		longest = max(longest, lane.Retention)
	}
	return now-p.olderAdaptersAt > longest && p.now()-p.machine.LevelRaisedAt() > longest.Milliseconds()
}
