package sim

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/storage"
	"caperwheel/internal/wire"
)

// Disk simulates the disk of one group on a store. A power cut loses unsynced writes: the log from a random point
// on, and each slot, which is a file of its own, independently.
type Disk struct {
	w             *World
	generation    int
	hardState     group.HardState
	snapshot      *group.Snapshot
	log           []wire.Entry
	unsynced      []pendingWrite
	isAckingEarly bool // a mutant: reports syncs before they are done
}

// pendingWrite is a write that has not been synced.
type pendingWrite struct {
	write  func()
	then   func(error)
	isSlot bool
}

// Persist queues the writes of one step.
func (d *Disk) Persist(_ int64, p *group.DurableUpdate, then func(error)) {
	d.enqueue(pendingWrite{func() { d.apply(p) }, then, false})
}

// AfterWrites calls then after all queued writes.
func (d *Disk) AfterWrites(then func(error)) { d.enqueue(pendingWrite{func() {}, then, false}) }

// SaveSlot replaces the whole state.
func (d *Disk) SaveSlot(_ int64, hard group.HardState, image *group.Snapshot, entries *group.DurableUpdate, then func(error)) {
	d.enqueue(pendingWrite{func() { d.hardState, d.snapshot, d.log = hard, image, slices.Clone(entries.Entries) }, then, true})
}

func (d *Disk) apply(p *group.DurableUpdate) {
	if p.Snapshot != nil {
		d.snapshot, d.log = p.Snapshot, nil
	}
	if p.Hard != nil {
		d.hardState = *p.Hard
	}
	if len(p.Entries) > 0 {
		base := int64(0)
		if d.snapshot != nil {
			base = d.snapshot.Index
		}
		d.log = append(slices.Clone(d.log[:p.Entries[0].Index-base-1]), p.Entries...)
	}
}

func (d *Disk) enqueue(p pendingWrite) {
	generation := d.generation
	d.unsynced = append(d.unsynced, p)
	if d.isAckingEarly {
		d.w.After(0, func() {
			if d.generation == generation {
				p.then(nil)
			}
		})
		return
	}
	d.w.After(d.w.syncTime(), func() {
		if d.generation == generation && len(d.unsynced) > 0 {
			p := d.unsynced[0]
			d.unsynced = d.unsynced[1:]
			p.write()
			p.then(nil)
		}
	})
}

// CutPower simulates a power cut: of the queued writes, a random prefix of the log writes and a random choice of
// the slots survive.
func (d *Disk) CutPower() {
	d.generation++
	written := d.w.Rand.IntN(len(d.unsynced) + 1)
	for i, p := range d.unsynced {
		if !p.isSlot && i < written || p.isSlot && d.w.Rand.IntN(2) == 0 {
			p.write()
		}
	}
	d.unsynced = nil
}

// Flush simulates the end of the process alone: the operating system still performs all queued writes.
func (d *Disk) Flush() {
	d.generation++
	for _, p := range d.unsynced {
		p.write()
	}
	d.unsynced = nil
}

// Held returns the state that a restart reads.
func (d *Disk) Held() *storage.StoredGroup {
	return &storage.StoredGroup{Hard: d.hardState, Snapshot: d.snapshot, Log: slices.Clone(d.log)}
}
