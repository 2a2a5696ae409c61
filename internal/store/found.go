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
	"caperwheel/internal/slot"
	"caperwheel/internal/wire"
)

// identity is who a store is, durable in a pair of its own.
//
// Invariants: Inc is drawn once for a data folder, so a folder that comes back
// blank is another incarnation; Founded never turns false again; a store votes
// for a ballot only while Founded is false, and never below Promised; a folder
// begun by a store that may not found has promised joinsOnly.
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

// joinsOnly is the promise that no ballot passes.
const joinsOnly = math.MaxInt64

var identityCodec = wire.NewPlain(&identity{})

// founder makes sure that a deployment is founded once: one ballot, durable,
// and unanimous among the roster that it names.
type founder struct {
	d     *daemon.Daemon
	pair  *slot.Pair
	begin func() // called once, when this store belongs to a deployment

	// What the last try saw, and since when; touched by try alone.
	seen   []wire.Who
	seenAt time.Duration

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
		if !d.Settings.Founds {
			f.id.Promised = joinsOnly
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
