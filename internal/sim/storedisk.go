package sim

import (
	"time"

	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// groupDisk is the disk of one group. It runs the host's pending work after each completed write.
type groupDisk struct {
	*Disk
	s  *storeProcess
	id int64
}

// wrap returns a callback that calls then and runs the pending work; it does nothing once the store has stopped.
func (d *groupDisk) wrap(then func(error)) func(error) {
	h, generation := d.s.hosts[d.id], d.s.generation
	return func(err error) {
		if !d.s.isUp || d.s.generation != generation {
			return
		}
		then(err)
		if h = d.s.hosts[d.id]; h != nil && d.s.d.now >= d.s.frozenUntil {
			h.RunPending()
		}
	}
}

// Persist, AfterWrites and SaveSlot implement host.Disk.
func (d *groupDisk) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *groupDisk) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *groupDisk) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}

// storeEnvironment is the environment of a part, with the methods that a part uses.
type storeEnvironment struct {
	store.Environment
	s *storeProcess
}

// Now, After, Bounds and Fail implement store.Environment.
func (a *storeEnvironment) Now() time.Duration    { return a.s.now() }
func (a *storeEnvironment) Bounds() timing.Bounds { return timing.Default }
func (a *storeEnvironment) Fail(err error)        { panic(err) }
func (a *storeEnvironment) After(span time.Duration, work func()) {
	generation := a.s.generation
	a.s.d.After(span, func() {
		if a.s.isUp && a.s.generation == generation {
			work()
			if a.s.d.now >= a.s.frozenUntil {
				for _, id := range groupIds() {
					if h := a.s.hosts[id]; h != nil {
						h.RunPending()
					}
				}
			}
		}
	})
}

// recordingPart reports every edit that a replica applies to the oracle.
type recordingPart struct {
	*store.PartHost
	s        *storeProcess
	id       int64
	snapshot []byte
	timeLead *timeLead
}

// Apply records the edit's result, and checks that group time has not advanced more than real time.
func (x *recordingPart) Apply(data []byte, isOwn bool) any {
	if groupTime := timeOfEdit(data); groupTime > 0 {
		if more := x.timeLead.growth(data, groupTime); more > 0 {
			x.s.d.recordBreach("the group time of part %d has advanced by %d ms more than real time", x.id, more)
		}
	}
	verdict := x.PartHost.Apply(data, isOwn || x.s.d.mutant == LocalGroupTime)
	e, err := feed.DecodeEdit(data)
	if got, isEdited := verdict.(wire.Edited); err == nil && isEdited && got.Kind == "" && !got.IsRepeat {
		x.s.d.oracle.recordApplied(x.s, x.id, got.Revision, e)
	}
	return verdict
}

// Snapshot returns the state. Under the mutant StaleSnapshot it returns the previous snapshot.
func (x *recordingPart) Snapshot() []byte {
	was := x.snapshot
	x.snapshot = x.PartHost.Snapshot()
	if x.s.d.mutant == StaleSnapshot {
		return was
	}
	return x.snapshot
}

// wrapGroup returns the group that a part is attached to. Under the mutant UnconfirmedReads an owner takes
// itself for the owner without confirmation by a majority.
func wrapGroup(m Mutant, h store.Group) store.Group {
	if m == UnconfirmedReads {
		return &unconfirmedGroup{Group: h}
	}
	return h
}

// unconfirmedGroup is the group of the mutant UnconfirmedReads.
type unconfirmedGroup struct {
	store.Group
	wasOwner bool
}

// IsOwner stays true once it has been true.
func (u *unconfirmedGroup) IsOwner() bool {
	u.wasOwner = u.wasOwner || u.Group.IsOwner()
	return u.wasOwner
}

// View always reports ownership as confirmed.
func (u *unconfirmedGroup) View() group.View {
	v := u.Group.View()
	v.IsConfirmed, v.ConfirmedAt = true, maxTime
	return v
}
