package sim

import "caperwheel/internal/group"

// wakingDisk runs the store's pending work after each completed write.
type wakingDisk struct {
	*Disk
	s *simStore
}

// wrap returns a callback that calls then and runs the pending work.
func (d *wakingDisk) wrap(then func(error)) func(error) {
	return func(err error) { then(err); d.s.runPending() }
}

// Persist, AfterWrites and SaveSlot implement host.Disk.
func (d *wakingDisk) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *wakingDisk) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *wakingDisk) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}
