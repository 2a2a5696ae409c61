// Package store is the daemon that keeps places and control parts on disk.
package store

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"caperwheel/internal/beat"
	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/mishap"
	"caperwheel/internal/slot"
	"caperwheel/internal/wire"
)

// identity is who a store is, durable in a pair of its own.
//
// Invariants: Inc is drawn once for a data folder, so a folder that comes back
// blank is another incarnation; Founded never turns false again; a store votes
// for a ballot only while Founded is false, and never below Promised.
type identity struct {
	Name     string   `avro:"name"`
	Inc      string   `avro:"inc"`
	Founded  bool     `avro:"founded"`
	Cluster  string   `avro:"cluster"`
	Roster   []string `avro:"roster"` // the founding members
	Promised int64    `avro:"promised"`
	Accepted int64    `avro:"accepted"`
	Rebuilt  []int64  `avro:"rebuilt"` // groups rebuilt on this disk, once for each time
}

var identityCodec = wire.NewPlain(&identity{})

// founder makes sure that a deployment is founded once: one ballot, durable,
// and unanimous among the roster that it names.
type founder struct {
	d     *daemon.Daemon
	pair  *slot.Pair
	begin func() // called once, when this store belongs to a deployment

	mu sync.Mutex
	id identity
}

func newFounder(d *daemon.Daemon, files slot.Files, begin func()) (*founder, error) {
	pair, raw, _, err := slot.OpenPair(files, "identity")
	if err != nil {
		return nil, err
	}
	f := &founder{d: d, pair: pair, begin: begin}
	if raw == nil {
		f.id = identity{Name: d.Settings.Name, Inc: daemon.Random(4), Roster: []string{}, Rebuilt: []int64{}}
		return f, f.save()
	}
	if err := identityCodec.Decode(raw, &f.id); err != nil {
		return nil, err
	}
	if f.id.Name != d.Settings.Name {
		return nil, mishap.New(mishap.Invalid, "the data folder belongs to %s", f.id.Name)
	}
	return f, nil
}

func (f *founder) save() error { return f.pair.Save(identityCodec.Encode(&f.id)) }

func (f *founder) snapshot() identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

// clusterCount tells the deployment by a number; 0 before it is founded.
func (f *founder) clusterCount() int64 {
	id := f.snapshot()
	if !id.Founded {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id.Cluster))
	return int64(h.Sum32()) + 1
}

// member gives the id under which this store is a member of a group.
func (f *founder) member(groupId int64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, rebuilt := f.id.Name+"/"+f.id.Inc, 0
	for _, g := range f.id.Rebuilt {
		if g == groupId {
			rebuilt++
		}
	}
	if rebuilt > 0 {
		return fmt.Sprintf("%s.%d", id, rebuilt)
	}
	return id
}

// rebuild gives this store a new member id in a group whose state it lost.
func (f *founder) rebuild(groupId int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id.Rebuilt = append(f.id.Rebuilt, groupId)
	return f.save()
}

// onBallot answers one step of another store's ballot.
func (f *founder) onBallot(b *wire.Ballot) *wire.BallotAck {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := &f.id
	ack := &wire.BallotAck{Founded: id.Founded, Number: id.Accepted, Cluster: id.Cluster, Roster: id.Roster}
	was := *id
	switch {
	case b.Step == "look":
		ack.Ok = true
		if !id.Founded {
			ack.Roster = []string{id.Name + "/" + id.Inc}
		}
		return ack
	case id.Founded:
		return ack
	case b.Step == "promise" && b.Number > id.Promised:
		id.Promised = b.Number
	case b.Step == "accept" && b.Number >= id.Promised:
		id.Promised, id.Accepted, id.Cluster, id.Roster = b.Number, b.Number, b.Cluster, b.Roster
	case b.Step == "found" && b.Cluster == id.Cluster:
		id.Founded = true
	default:
		return ack
	}
	if err := f.save(); err != nil {
		*id = was
		klog.Errorf("found: A vote cannot be kept: %v.", err)
		return ack
	}
	ack.Ok = true
	if id.Founded {
		klog.Infof("found: Deployment %s is founded by %v.", id.Cluster, id.Roster)
		go f.begin()
	}
	return ack
}

func (f *founder) ask(addr string, b *wire.Ballot) (*wire.BallotAck, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), f.d.Bounds.Of(beat.Vote))
	defer cancel()
	reply, err := f.d.Node.Peer(wire.GroupLink, addr).Call(ctx, b)
	ack, isAck := reply.(*wire.BallotAck)
	return ack, err == nil && isAck
}

// try joins a deployment that exists, or stands up a ballot for a new one when
// this is the first store by name and enough blank ones are here.
func (f *founder) try() {
	me := f.snapshot()
	if me.Founded {
		return
	}
	stores := f.d.Roll.Kind("store")
	slices.SortFunc(stores, func(a, b wire.Who) int { return cmp.Compare(a.Name, b.Name) })
	ids, addrs := map[string]string{me.Name: me.Name + "/" + me.Inc}, map[string]string{me.Name: f.d.Who.Addr}
	for _, who := range stores {
		if who.Name == me.Name {
			continue
		}
		ack, isHeard := f.ask(who.Addr, &wire.Ballot{Step: "look", Roster: []string{}})
		if !isHeard {
			continue
		}
		if ack.Founded {
			f.join(ack)
			return
		}
		ids[who.Name], addrs[who.Name] = ack.Roster[0], who.Addr
	}
	roster := chooseRoster(stores, ids, f.d.Settings.Founders)
	if len(roster) < f.d.Settings.Founders || group.Name(roster[0]) != me.Name {
		return
	}
	f.ballot(roster, addrs, me.Promised+1)
}

// chooseRoster takes so many stores, from as many cells as there are.
func chooseRoster(stores []wire.Who, ids map[string]string, count int) []string {
	out, cells := []string{}, map[string]bool{}
	for _, isSpread := range []bool{true, false} {
		for _, who := range stores {
			id := ids[who.Name]
			if id == "" || len(out) == count || slices.Contains(out, id) || isSpread && cells[who.Cell] {
				continue
			}
			cells[who.Cell] = true
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (f *founder) ballot(roster []string, addrs map[string]string, number int64) {
	b := wire.Ballot{Number: number, Cluster: daemon.Random(6), Roster: roster}
	best := int64(0)
	for _, step := range []string{"promise", "accept", "found"} {
		b.Step = step
		for _, member := range b.Roster {
			name, ack, isHeard := group.Name(member), (*wire.BallotAck)(nil), true
			if name == f.d.Settings.Name {
				ack = f.onBallot(&b)
			} else {
				ack, isHeard = f.ask(addrs[name], &b)
			}
			if !isHeard || !ack.Ok {
				klog.Infof("found: The ballot waits for %s.", name)
				return
			}
			if step == "promise" && ack.Number > best { // an older ballot may have been decided: carry it on
				best, b.Cluster, b.Roster = ack.Number, ack.Cluster, ack.Roster
			}
		}
	}
}

// join takes this blank store into a deployment that exists already. It holds
// nothing and votes nowhere until the owners of groups bring it up to date.
func (f *founder) join(ack *wire.BallotAck) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id.Founded, f.id.Cluster, f.id.Roster = true, ack.Cluster, ack.Roster
	if err := f.save(); err != nil {
		f.id.Founded = false
		klog.Errorf("found: The deployment cannot be noted: %v.", err)
		return
	}
	klog.Infof("found: Joined deployment %s.", ack.Cluster)
	go f.begin()
}
