package place

import (
	"slices"
	"strings"

	"caperwheel/internal/errs"
)

// Claim is the record that all sends of one sender with one operation key are the message with one id.
//
// Invariant: Id, Tenant and Sender change only by a CmdClaim that names Id in Replaces, after its message was settled as
// never accepted.
type Claim struct {
	Operation string `avro:"operation"` // digest of the operation key
	Tenant    string `avro:"tenant"`    // digest of the tenant's name; empty for a sender without a tenant
	Sender    string `avro:"sender"`    // digest of the sender's API key; empty for none
	Id        string `avro:"id"`        // of the message, which may belong to another place
	ForgetAt  int64  `avro:"over"`      // place time
}

// isSameSender reports whether two claims are of one sender: one tenant, or, if the configuration knew the tenant of one
// of them only, one API key. Senders without a tenant count as one.
func (c *Claim) isSameSender(other *Claim) bool {
	if (c.Tenant == "") == (other.Tenant == "") {
		return c.Tenant == other.Tenant
	}
	return c.Sender == other.Sender && c.Sender != ""
}

// claims holds the claims of a place.
//
// Invariants: each claim is in recorded and in byOperation; claims that were recorded first are forgotten first, so a
// claim may be kept longer than until ForgetAt.
type claims struct {
	byOperation map[string][]*Claim
	recorded    []*Claim
}

func newClaims() *claims { return &claims{byOperation: map[string][]*Claim{}} }

// find returns the first claim of the same operation key and sender that is not due to be forgotten at now; nil if
// there is none.
func (s *claims) find(wanted *Claim, now int64) *Claim {
	for _, known := range s.byOperation[wanted.Operation] {
		if known.ForgetAt > now && known.isSameSender(wanted) {
			return known
		}
	}
	return nil
}

// add records a claim. Its strings are cloned, so that they do not keep a decoder's blocks in memory.
func (s *claims) add(c Claim) {
	c.Operation, c.Tenant, c.Sender, c.Id = strings.Clone(c.Operation), strings.Clone(c.Tenant), strings.Clone(c.Sender), strings.Clone(c.Id)
	s.byOperation[c.Operation] = append(s.byOperation[c.Operation], &c)
	s.recorded = append(s.recorded, &c)
}

// forget deletes the claims that are due, from the first recorded on.
func (s *claims) forget(now int64) {
	for len(s.recorded) > 0 && s.recorded[0].ForgetAt <= now {
		first := s.recorded[0]
		s.recorded[0] = nil
		s.recorded = s.recorded[1:]
		rest := slices.DeleteFunc(s.byOperation[first.Operation], func(c *Claim) bool { return c == first })
		s.byOperation[first.Operation] = rest
		if len(rest) == 0 {
			delete(s.byOperation, first.Operation)
		}
	}
}

// list returns copies of the claims in the order in which they were recorded.
func (s *claims) list() []Claim {
	out := make([]Claim, 0, len(s.recorded))
	for _, c := range s.recorded {
		out = append(out, *c)
	}
	return out
}

// CauseOperation is the cause of a tombstone that was made for another send with the message's operation key.
const CauseOperation = "operation"

// isRebindable reports whether the operation key of a message with a tombstone may be bound to a new id.
func isRebindable(e *Message) bool { return e.State == Tombstone && e.Cause == CauseOperation }

// claimed returns the claim that a CmdClaim or CmdTake makes.
func (c Command) claimed() Claim {
	return Claim{Operation: c.Operation, Tenant: c.Tenant, Sender: c.Sender, Id: c.Id}
}

// FindClaim returns a copy of the claim of the same operation key and sender as wanted; nil if there is none.
func (m *Machine) FindClaim(wanted Claim) *Claim {
	known := m.claims.find(&wanted, m.clock)
	if known == nil {
		return nil
	}
	copied := *known
	return &copied
}

// ClaimCount returns how many claims the place holds.
func (m *Machine) ClaimCount() int { return len(m.claims.recorded) }

// claim binds an operation key to an id, unless it is bound already. The result has the id that it is bound to then.
func (m *Machine) claim(c Command) Result {
	if m.level < LevelClaims {
		return refuse(errs.Stale, c.Id, "the group has not agreed on the feature level that records claims")
	}
	wanted := c.claimed()
	if known := m.claims.find(&wanted, m.clock); known != nil {
		if c.Replaces != "" && known.Id == c.Replaces {
			known.Id, known.Tenant, known.Sender = c.Id, strings.Clone(c.Tenant), strings.Clone(c.Sender)
		}
		return Result{Id: known.Id, IsRepeat: known.Id != c.Id}
	}
	m.recordClaim(c)
	return Result{Id: c.Id}
}

// recordClaim records the claim that a command makes, if it makes one that is not recorded.
func (m *Machine) recordClaim(c Command) {
	wanted := c.claimed()
	if c.Operation == "" || m.claims.find(&wanted, m.clock) != nil {
		return
	}
	wanted.ForgetAt = m.clock + c.Retain
	m.claims.add(wanted)
}
