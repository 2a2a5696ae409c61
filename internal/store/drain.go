package store

import (
	"slices"
	"time"

	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/host"
	"caperwheel/internal/timing"
)

// Drain stops a store gracefully. Groups that the store owns are handed over to stores that stay. If too few stores of
// a group stay to commit anything, no more runs of it are started, and the store remains a member of the group until
// its open runs have ended: the adapters that hold their results may be stopping as well, and the results exist
// nowhere else.
//
// Invariant: a store stops by itself only if each of its groups keeps a majority, or if no run has been open in its
// groups for the answer timeout.
type Drain struct {
	o               DrainOptions
	startedAt       time.Duration
	ownedSinceStart map[*host.Host]bool // groups that have been owned since draining started
	isIdle          bool                // no run is open in the places held here
	idleSince       time.Duration
}

// DrainOptions are the dependencies of a Drain. The simulation provides its own.
type DrainOptions struct {
	Daemon *daemon.Daemon
	Hosts  func() []*host.Host
	Places func() []*PlaceHost
}

// NewDrain starts to drain a store that was asked to stop just now.
func NewDrain(o DrainOptions) *Drain {
	o.Daemon.StartDraining()
	d := &Drain{o: o, startedAt: o.Daemon.Now(), ownedSinceStart: map[*host.Host]bool{}}
	for _, h := range o.Hosts() {
		d.ownedSinceStart[h] = true
	}
	return d
}

// Step does the work that is due now, and reports whether the store may stop.
func (d *Drain) Step() (isDone bool) {
	now, bounds := d.o.Daemon.Now(), d.o.Daemon.Bounds
	d.updateIdle(now)
	// By then, other stores have announced that they stop as well.
	isNoticeOver := now-d.startedAt >= bounds.Of(timing.DrainNotice)
	remaining, isMajorityLost := 0, false
	for _, h := range d.o.Hosts() {
		v := h.View()
		voters := group.Voters(v.Roster)
		isMajorityLost = isMajorityLost || !isMajority(voters, d.isStaying)
		d.ownedSinceStart[h] = d.ownedSinceStart[h] && v.Role == group.Owner
		if v.Role != group.Owner || !d.hasSuccessor(voters) {
			continue
		}
		remaining++
		// A group that is owned only since the start may come from another store that stops, and would be handed back
		// and forth.
		if isNoticeOver || d.ownedSinceStart[h] {
			h.TransferOwnership(d.isDraining)
		}
	}
	if !isNoticeOver {
		return false
	}
	if !isMajorityLost {
		return remaining == 0
	}
	return d.isIdle && now-d.idleSince >= bounds.Of(timing.AnswerTimeout)
}

// updateIdle records since when no run has been open in the places held here.
func (d *Drain) updateIdle(now time.Duration) {
	openRuns := int64(0)
	for _, p := range d.o.Places() {
		openRuns += p.open.Load()
	}
	if isIdle := openRuns == 0; isIdle != d.isIdle {
		d.isIdle, d.idleSince = isIdle, now
	}
}

// isMajority reports whether the predicate holds for more than half of a group's voters.
func isMajority(voters []string, is func(member string) bool) bool {
	count := 0
	for _, m := range voters {
		if is(m) {
			count++
		}
	}
	return count > len(voters)/2
}

// isStaying reports whether a voter stays. While the view is not recent, no voter counts as staying.
func (d *Drain) isStaying(member string) bool {
	age, isSure := d.o.Daemon.View.Age(d.o.Daemon.Now())
	isInformed := isSure && age < d.o.Daemon.Bounds.Of(timing.AnswerTimeout)
	return isInformed && isStaying(d.o.Daemon, member)
}

// isDraining reports whether a voter is known to have been asked to stop.
func (d *Drain) isDraining(member string) bool {
	name := group.Name(member)
	return name == d.o.Daemon.Who.Name || d.o.Daemon.Membership.IsDraining(name)
}

// hasSuccessor reports whether another voter may take over the group.
func (d *Drain) hasSuccessor(voters []string) bool {
	return slices.ContainsFunc(voters, func(m string) bool { return isStaying(d.o.Daemon, m) })
}

// isStaying reports whether, as far as the daemon can see, a voter is a member and has not been asked to stop.
func isStaying(d *daemon.Daemon, member string) bool {
	name := group.Name(member)
	if name == d.Who.Name {
		return !d.IsDraining()
	}
	_, isHere := d.Membership.Find(name)
	return isHere && !d.Membership.IsDraining(name)
}

// dispatchablePlaces lists the places that may start runs. If stores were asked to stop and too few stores of a group
// stay, the results of new runs might not become durable.
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
