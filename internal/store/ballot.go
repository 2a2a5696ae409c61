package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// onBallot answers one step of a bootstrap ballot that another store, or this one, conducts.
func (f *bootstrapper) onBallot(b *wire.Ballot) *wire.BallotAck {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := &f.id
	ack := &wire.BallotAck{Founded: id.IsBootstrapped, Number: id.Accepted, Cluster: id.Cluster, Roster: id.Roster}
	was := *id
	switch {
	case b.Step == "look":
		ack.Ok = true
		if !id.IsBootstrapped {
			if id.Promised == promisedJoinOnly {
				ack.Number = promisedJoinOnly
			}
			ack.Roster = []string{id.Name + "/" + id.Incarnation}
		}
		return ack
	case id.IsBootstrapped:
		return ack
	case b.Step == "promise" && b.Number > id.Promised:
		id.Promised = b.Number
	case b.Step == "accept" && b.Number >= id.Promised:
		id.Promised, id.Accepted, id.Cluster, id.Roster = b.Number, b.Number, b.Cluster, b.Roster
	case b.Step == "found" && b.Cluster == id.Cluster:
		id.IsBootstrapped = true
	default:
		return ack
	}
	if err := f.save(); err != nil {
		*id = was
		klog.Errorf("found: Failed to persist a vote, so it was not given: %v.", err)
		return ack
	}
	ack.Ok = true
	if id.IsBootstrapped {
		klog.Infof("found: Deployment %s is founded with the member stores %v.", id.Cluster, id.Roster)
		go f.onBootstrapped()
	}
	return ack
}

// sendBallot sends one step of a ballot to another store. It reports false if no acknowledgement came within the
// answer timeout.
func (f *bootstrapper) sendBallot(addr string, b *wire.Ballot) (*wire.BallotAck, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), f.d.Bounds.Of(timing.AnswerTimeout))
	defer cancel()
	reply, err := f.d.Node.Peer(wire.GroupLink, addr).Call(ctx, b)
	ack, isAck := reply.(*wire.BallotAck)
	return ack, err == nil && isAck
}

// joinOrBootstrap joins a deployment that exists. Otherwise it runs a ballot for a new one, if this store is the first
// by name, enough blank stores are members, and the set of stores has not changed for a while. The wait is needed
// because stores that start together discover each other one by one, and two stores with different views could both
// bootstrap a deployment.
func (f *bootstrapper) joinOrBootstrap(now time.Duration) {
	me := f.snapshot()
	if me.IsBootstrapped {
		return
	}
	stores := f.d.Membership.OfKind("store")
	slices.SortFunc(stores, func(a, b wire.Who) int { return cmp.Compare(a.Name, b.Name) })
	mayBootstrap := f.isMembershipStable(stores, now)
	ids, addrs := map[string]string{me.Name: me.Name + "/" + me.Incarnation}, map[string]string{me.Name: f.d.Who.Addr}
	for _, who := range stores {
		if who.Name == me.Name {
			continue
		}
		ack, isAnswered := f.sendBallot(who.Addr, &wire.Ballot{Step: "look", Roster: []string{}})
		if !isAnswered {
			continue
		}
		if ack.Founded {
			f.join(ack)
			return
		}
		if ack.Number == promisedJoinOnly {
			continue
		}
		ids[who.Name], addrs[who.Name] = ack.Roster[0], who.Addr
	}
	if me.Promised == promisedJoinOnly || !mayBootstrap {
		return
	}
	roster := chooseRoster(stores, ids, f.d.Settings.Founders)
	if len(roster) < f.d.Settings.Founders || group.Name(roster[0]) != me.Name {
		return
	}
	f.runBallot(roster, addrs, me.Promised+1)
}

// isMembershipStable reports whether the same stores have been members for the answer timeout.
func (f *bootstrapper) isMembershipStable(stores []wire.Who, now time.Duration) bool {
	isSame := slices.EqualFunc(stores, f.lastStores, func(a, b wire.Who) bool { return a.Name == b.Name && a.Boot == b.Boot })
	if !isSame {
		f.lastStores, f.lastStoresSince = stores, now
	}
	return now-f.lastStoresSince >= f.d.Bounds.Of(timing.AnswerTimeout)
}

// chooseRoster picks up to count stores, spread over as many zones as possible.
func chooseRoster(stores []wire.Who, ids map[string]string, count int) []string {
	out, zones := []string{}, map[string]bool{}
	for _, isSpread := range []bool{true, false} {
		for _, who := range stores {
			id := ids[who.Name]
			if id == "" || len(out) == count || slices.Contains(out, id) || isSpread && zones[who.Zone] {
				continue
			}
			zones[who.Zone] = true
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// runBallot conducts a ballot in three steps (promise, accept, found), each of which every store of the roster must
// acknowledge.
func (f *bootstrapper) runBallot(roster []string, addrs map[string]string, number int64) {
	b := wire.Ballot{Number: number, Cluster: daemon.RandomId(6), Roster: roster}
	best := int64(0)
	for _, step := range []string{"promise", "accept", "found"} {
		b.Step = step
		for _, member := range b.Roster {
			name, ack, isAnswered := group.Name(member), (*wire.BallotAck)(nil), true
			if name == f.d.Settings.Name {
				ack = f.onBallot(&b)
			} else {
				ack, isAnswered = f.sendBallot(addrs[name], &b)
			}
			if !isAnswered || !ack.Ok {
				klog.Infof("found: The ballot stopped because store %s has not acknowledged it; it is repeated later.", name)
				return
			}
			// An older ballot may have been decided, so its value must be adopted.
			if step == "promise" && ack.Number > best {
				best, b.Cluster, b.Roster = ack.Number, ack.Cluster, ack.Roster
			}
		}
	}
}

// join adds this blank store to a deployment that exists already. The store holds no data and has no vote until the
// owners of groups have brought it up to date.
func (f *bootstrapper) join(ack *wire.BallotAck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id.IsBootstrapped, f.id.Cluster, f.id.Roster = true, ack.Cluster, ack.Roster
	if err := f.save(); err != nil {
		f.id.IsBootstrapped = false
		klog.Errorf("found: Failed to persist the deployment that this store joins: %v.", err)
		return
	}
	klog.Infof("found: Joined deployment %s.", ack.Cluster)
	go f.onBootstrapped()
}
