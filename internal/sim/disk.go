package sim

import (
	"slices"

	"caperwheel/internal/group"
	"caperwheel/internal/slot"
	"caperwheel/internal/wire"
)

// Disk is a store's disk under simulation, for one group. A power cut loses
// what was not synced, from a random point on.
type Disk struct {
	w        *World
	life     int
	hard     group.Hard
	image    *group.Image
	log      []wire.Entry
	unsynced []pending
}

type pending struct {
	write func()
	then  func(error)
}

// Persist queues one step's writes.
func (d *Disk) Persist(_ int64, p *group.Persist, then func(error)) {
	d.put(func() { d.apply(p) }, then)
}

// After calls then behind all that is queued.
func (d *Disk) After(then func(error)) { d.put(func() {}, then) }

// SaveSlot writes the whole state.
func (d *Disk) SaveSlot(_ int64, hard group.Hard, image *group.Image, entries *group.Persist, then func(error)) {
	d.put(func() { d.hard, d.image, d.log = hard, image, slices.Clone(entries.Entries) }, then)
}

func (d *Disk) apply(p *group.Persist) {
	if p.Image != nil {
		d.image, d.log = p.Image, nil
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

func (d *Disk) put(write func(), then func(error)) {
	life := d.life
	d.unsynced = append(d.unsynced, pending{write, then})
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
	for _, p := range d.unsynced[:d.w.Rand.IntN(len(d.unsynced)+1)] {
		p.write()
	}
	d.unsynced = nil
}

// Held is what a restart finds.
func (d *Disk) Held() *slot.Held {
	return &slot.Held{Hard: d.hard, Image: d.image, Log: slices.Clone(d.log)}
}
