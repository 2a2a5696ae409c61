package store

import (
	"slices"
	"time"

	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/timing"
)

// Drain is how a store that was asked to stop goes in order. What it owns goes to stores that
// stay. Where too few of a group's stores stay to commit anything, no more runs are begun of it, and the store
// remains a member of the group until those that are open have ended: adapters that hold their results may
// be stopping as well, and nobody else has these.
//
// Invariant: a store goes of itself only where each of its groups keeps a majority, or no run has been
// open in what it holds for a while.
type Drain struct {
	o               DrainOptions
	startedAt       time.Duration
	ownedSinceStart map[*host.Host]bool // groups that have been owned ever since the store was asked
	isIdle          bool                // no run is open in what is held here
	idleSince       time.Duration
}

// DrainOptions are what a departure needs of its store. The simulation gives others.
type DrainOptions struct {
	Daemon *daemon.Daemon
	Hosts  func() []*host.Host
	Places func() []*PlaceHost
}

// NewDrain begins the departure of a store that is asked to stop now.
func NewDrain(o DrainOptions) *Drain {
	o.Daemon.StartDraining()
	d := &Drain{o: o, startedAt: o.Daemon.Now(), ownedSinceStart: map[*host.Host]bool{}}
	for _, h := range o.Hosts() {
		d.ownedSinceStart[h] = true
	}
	return d
}

// Step does what is to be done now, and reports whether the store may go.
func (d *Drain) Step() (isDone bool) {
	now, bounds := d.o.Daemon.Now(), d.o.Daemon.Bounds
	d.updateIdle(now)
	isNoticeOver := now-d.startedAt >= bounds.Of(timing.DrainNotice) // of others that stop
	remaining, isNeeded := 0, false
	for _, h := range d.o.Hosts() {
		v := h.View()
		voters := group.Voters(v.Roster)
		isNeeded = isNeeded || !isMajority(voters, d.isStaying)
		d.ownedSinceStart[h] = d.ownedSinceStart[h] && v.Role == group.Owner
		if v.Role != group.Owner || !d.hasSuccessor(voters) {
			continue
		}
		remaining++
		if isNoticeOver || d.ownedSinceStart[h] { // what came since may be from one that stops, and would go to and fro
			h.TransferOwnership(d.isLeaving)
		}
	}
	if !isNoticeOver {
		return false
	}
	if !isNeeded {
		return remaining == 0
	}
	return d.isIdle && now-d.idleSince >= bounds.Of(timing.AnswerTimeout)
}

// updateIdle notes since when no run is open in what is held here.
func (d *Drain) updateIdle(now time.Duration) {
	open := int64(0)
	for _, p := range d.o.Places() {
		open += p.open.Load()
	}
	if isQuiet := open == 0; isQuiet != d.isIdle {
		d.isIdle, d.idleSince = isQuiet, now
	}
}

// isMajority reports whether more than half of a group's voters are so.
func isMajority(voters []string, is func(member string) bool) bool {
	count := 0
	for _, m := range voters {
		if is(m) {
			count++
		}
	}
	return count > len(voters)/2
}

// isStaying reports whether a voter stays. Without news of the others, none does.
func (d *Drain) isStaying(member string) bool {
	age, isSure := d.o.Daemon.View.Age(d.o.Daemon.Now())
	isInformed := isSure && age < d.o.Daemon.Bounds.Of(timing.AnswerTimeout)
	return isInformed && isStaying(d.o.Daemon, member)
}

// isLeaving reports whether a voter is asked to stop, as far as is known.
func (d *Drain) isLeaving(member string) bool {
	name := group.Name(member)
	return name == d.o.Daemon.Who.Name || d.o.Daemon.Membership.IsDraining(name)
}

// hasSuccessor reports whether one of the voters may own the group instead.
func (d *Drain) hasSuccessor(voters []string) bool {
	return slices.ContainsFunc(voters, func(m string) bool { return isStaying(d.o.Daemon, m) })
}

// isStaying reports whether a voter is here and not asked to stop, as far as a daemon knows.
func isStaying(d *daemon.Daemon, member string) bool {
	name := group.Name(member)
	if name == d.Who.Name {
		return !d.IsDraining()
	}
	_, isHere := d.Membership.Find(name)
	return isHere && !d.Membership.IsDraining(name)
}

// dispatchablePlaces lists those that runs may be begun of. Where stores are asked to stop and too few of a group's
// stay, the results of what is begun now might not become durable.
func (d *Dispatcher) dispatchablePlaces() []*PlaceHost {
	all := d.o.Places()
	if !d.o.Daemon.IsDraining() && !d.o.Daemon.Membership.HasDrainingStores() {
		return all
	}
	out := []*PlaceHost{}
	for _, p := range all {
		if isMajority(group.Voters(p.host.View().Roster), func(m string) bool { return isStaying(d.o.Daemon, m) }) {
			out = append(out, p)
		}
	}
	return out
}

// heldHosts lists the replicas on this store.
func (s *Store) heldHosts() []*host.Host {
	out := []*host.Host{}
	for _, id := range s.groupIds() {
		out = append(out, s.hostOf(id))
	}
	return out
}
