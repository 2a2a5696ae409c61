// Package store is the store daemon: it keeps the replicas of places (partitions of the message queue) and of parts
// (partitions of the control state) on disk.
//
// A store holds one replica of each group that it is a member of. For a place that it owns, it accepts messages from
// adapters, requests slots on workers, starts runs, records their outcomes, and sends notifications. For a part that
// it owns, it serves the managers. Run is called by cmd/store; the simulation uses PlaceHost, PartHost, Dispatcher,
// Drain and RosterPlanner directly.
package store

import (
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/storage"
	"caperwheel/internal/wire"
)

// identity identifies a store and is saved in a storage pair of its own.
//
// Invariants: Incarnation is drawn once for each data folder, so a folder that comes back blank is another
// incarnation; IsBootstrapped never becomes false again; a store votes for a ballot only while IsBootstrapped is
// false, and never below Promised; the folder of a store that may only join has promised promisedJoinOnly from the
// start.
type identity struct {
	Name           string   `avro:"name"`
	Incarnation    string   `avro:"inc"`
	IsBootstrapped bool     `avro:"founded"`
	Cluster        string   `avro:"cluster"`
	Roster         []string `avro:"roster"` // the members that the deployment was bootstrapped with
	Promised       int64    `avro:"promised"`
	Accepted       int64    `avro:"accepted"`
	Rebuilt        []int64  `avro:"rebuilt"` // groups rebuilt on this disk; a group is listed once for each rebuild
}

// promisedJoinOnly is a promise that is higher than the number of any ballot.
const promisedJoinOnly = math.MaxInt64

// identityCodec encodes the identity for the storage pair.
var identityCodec = wire.NewRecordCodec(&identity{})

// bootstrapper makes sure that a deployment is bootstrapped at most once: by one durable ballot that all stores of its
// roster accept. It is safe for use by several goroutines.
type bootstrapper struct {
	d              *daemon.Daemon
	pair           *storage.Pair
	onBootstrapped func() // called once, when this store belongs to a deployment

	// The stores that the last attempt saw, and since when; used by joinOrBootstrap alone.
	lastStores      []wire.Who
	lastStoresSince time.Duration

	mu sync.Mutex
	id identity
}

// newBootstrapper reads the identity from the data folder, or creates it in a blank one.
func newBootstrapper(d *daemon.Daemon, files storage.FileSystem, begin func()) (*bootstrapper, error) {
	pair, raw, _, err := storage.OpenPair(files, "identity")
	if err != nil {
		return nil, err
	}
	f := &bootstrapper{d: d, pair: pair, onBootstrapped: begin}
	if raw == nil {
		f.id = identity{Name: d.Settings.Name, Incarnation: daemon.RandomId(4), Roster: []string{}, Rebuilt: []int64{}}
		if !d.Settings.MayBootstrap {
			f.id.Promised = promisedJoinOnly
		}
		return f, f.save()
	}
	if err := identityCodec.Decode(raw, &f.id); err != nil {
		return nil, err
	}
	if f.id.Name != d.Settings.Name {
		return nil, errs.New(errs.Invalid, "open the data folder: it belongs to the store %s", f.id.Name)
	}
	return f, nil
}

func (f *bootstrapper) save() error { return f.pair.Save(identityCodec.Encode(&f.id)) }

// snapshot returns a copy of the identity.
func (f *bootstrapper) snapshot() identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

// clusterNumber returns a number that identifies the deployment, 0 before it is bootstrapped.
func (f *bootstrapper) clusterNumber() int64 {
	id := f.snapshot()
	if !id.IsBootstrapped {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id.Cluster))
	return int64(h.Sum32()) + 1
}

// memberId returns the id under which this store is a member of a group.
func (f *bootstrapper) memberId(groupId int64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, rebuilt := f.id.Name+"/"+f.id.Incarnation, 0
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

// recordRebuild gives this store a new member id in a group whose state it has lost.
func (f *bootstrapper) recordRebuild(groupId int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id.Rebuilt = append(f.id.Rebuilt, groupId)
	return f.save()
}
