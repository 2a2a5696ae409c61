package sim

import "caperwheel/internal/group"

// pumped lets the host go on whenever its disk has answered.
type pumped struct {
	*Disk
	s *simStore
}

func (d *pumped) wrap(then func(error)) func(error) {
	return func(err error) { then(err); d.s.pump() }
}
func (d *pumped) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *pumped) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *pumped) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}
