// Package store is the daemon that keeps places and control parts on disk.
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

// identity is who a store is, durable in a pair of its own.
//
// Invariants: Inc is drawn once for a data folder, so a folder that comes back
// blank is another incarnation; Founded never turns false again; a store votes
// for a ballot only while Founded is false, and never below Promised; a folder
// begun by a store that may not found has promised promisedJoinOnly.
type identity struct {
	Name           string   `avro:"name"`
	Incarnation    string   `avro:"inc"`
	IsBootstrapped bool     `avro:"founded"`
	Cluster        string   `avro:"cluster"`
	Roster         []string `avro:"roster"` // the founding members
	Promised       int64    `avro:"promised"`
	Accepted       int64    `avro:"accepted"`
	Rebuilt        []int64  `avro:"rebuilt"` // groups rebuilt on this disk, once for each time
}

// promisedJoinOnly is the promise that no ballot passes.
const promisedJoinOnly = math.MaxInt64

var identityCodec = wire.NewRecordCodec(&identity{})

// bootstrapper makes sure that a deployment is founded once: one ballot, durable,
// and unanimous among the roster that it names.
type bootstrapper struct {
	d              *daemon.Daemon
	pair           *storage.Pair
	onBootstrapped func() // called once, when this store belongs to a deployment

	// What the last try saw, and since when; touched by try alone.
	lastStores      []wire.Who
	lastStoresSince time.Duration

	mu sync.Mutex
	id identity
}

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
		return nil, errs.New(errs.Invalid, "the data folder belongs to %s", f.id.Name)
	}
	return f, nil
}

func (f *bootstrapper) save() error { return f.pair.Save(identityCodec.Encode(&f.id)) }

func (f *bootstrapper) snapshot() identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.id
}

// clusterNumber tells the deployment by a number; 0 before it is founded.
func (f *bootstrapper) clusterNumber() int64 {
	id := f.snapshot()
	if !id.IsBootstrapped {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(id.Cluster))
	return int64(h.Sum32()) + 1
}

// memberId gives the id under which this store is a member of a group.
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

// recordRebuild gives this store a new member id in a group whose state it lost.
func (f *bootstrapper) recordRebuild(groupId int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.id.Rebuilt = append(f.id.Rebuilt, groupId)
	return f.save()
}
