package sim

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/storage"
	"caperwheel/internal/wire"
)

// Disk is a store's disk under simulation, for one group. A power cut loses
// what was not synced: the log from a random point on, and each slot, a file of
// its own, by itself.
type Disk struct {
	w        *World
	life     int
	hard     group.HardState
	image    *group.Snapshot
	log      []wire.Entry
	unsynced []pending
	isHasty  bool // a mutant: tells of syncs that were never done
}

type pending struct {
	write  func()
	then   func(error)
	isSlot bool
}

// Persist queues one step's writes.
func (d *Disk) Persist(_ int64, p *group.DurableUpdate, then func(error)) {
	d.put(pending{func() { d.apply(p) }, then, false})
}

// After calls then behind all that is queued.
func (d *Disk) AfterWrites(then func(error)) { d.put(pending{func() {}, then, false}) }

// SaveSlot writes the whole state.
func (d *Disk) SaveSlot(_ int64, hard group.HardState, image *group.Snapshot, entries *group.DurableUpdate, then func(error)) {
	d.put(pending{func() { d.hard, d.image, d.log = hard, image, slices.Clone(entries.Entries) }, then, true})
}

func (d *Disk) apply(p *group.DurableUpdate) {
	if p.Snapshot != nil {
		d.image, d.log = p.Snapshot, nil
	}
	if p.Hard != nil {
		d.hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		base := int64(0)
		if d.image != nil {
			base = d.image.Index
		}
		d.log = append(slices.Clone(d.log[:p.Entries[0].Index-base-1]), p.Entries...)
	}
}

func (d *Disk) put(p pending) {
	life := d.life
	d.unsynced = append(d.unsynced, p)
	if d.isHasty {
		d.w.After(0, func() {
			if d.life == life {
				p.then(nil)
			}
		})
		return
	}
	d.w.After(d.w.syncTime(), func() {
		if d.life == life && len(d.unsynced) > 0 {
			p := d.unsynced[0]
			d.unsynced = d.unsynced[1:]
			p.write()
			p.then(nil)
		}
	})
}

// Cut is a power cut.
func (d *Disk) Cut() {
	d.life++
	whole := d.w.Rand.IntN(len(d.unsynced) + 1)
	for i, p := range d.unsynced {
		if !p.isSlot && i < whole || p.isSlot && d.w.Rand.IntN(2) == 0 {
			p.write()
		}
	}
	d.unsynced = nil
}

// Flush is the end of a process alone: the system still writes what it had.
func (d *Disk) Flush() {
	d.life++
	for _, p := range d.unsynced {
		p.write()
	}
	d.unsynced = nil
}

// Held is what a restart finds.
func (d *Disk) Held() *storage.StoredGroup {
	return &storage.StoredGroup{Hard: d.hard, Snapshot: d.image, Log: slices.Clone(d.log)}
}
