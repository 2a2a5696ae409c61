package sim

import (
	"time"

	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// groupDisk lets a host go on whenever its disk has answered.
type groupDisk struct {
	*Disk
	s  *storeProcess
	id int64
}

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

// Persist, After and SaveSlot are host.Disk.
func (d *groupDisk) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *groupDisk) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *groupDisk) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}

// storeEnvironment is what a part needs of its store; a part needs no more.
type storeEnvironment struct {
	store.Environment
	s *storeProcess
}

// Now, After, Bounds and Fail are store.Around.
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

// recordingPart tells the book of every edit that a replica applies.
type recordingPart struct {
	*store.PartHost
	s        *storeProcess
	id       int64
	snapshot []byte
	timeLead *timeLead
}

// Apply notes what an edit came to.
func (x *recordingPart) Apply(data []byte, isOwn bool) any {
	if groupTime := timeOfEdit(data); groupTime > 0 {
		if more := x.timeLead.growth(data, groupTime); more > 0 {
			x.s.d.recordBreach("the time of part %d has advanced by %d ms more than real time", x.id, more)
		}
	}
	verdict := x.PartHost.Apply(data, isOwn || x.s.d.mutant == LocalGroupTime)
	e, err := feed.DecodeEdit(data)
	if got, isEdited := verdict.(wire.Edited); err == nil && isEdited && got.Kind == "" && !got.IsRepeat {
		x.s.d.oracle.recordApplied(x.s, x.id, got.Revision, e)
	}
	return verdict
}

// Image gives the state; the mutant's is the one before.
func (x *recordingPart) Snapshot() []byte {
	was := x.snapshot
	x.snapshot = x.PartHost.Snapshot()
	if x.s.d.mutant == StaleSnapshot {
		return was
	}
	return x.snapshot
}

// wrapGroup is the group below a part; the mutant takes an owner's word for its
// ownership without a majority.
func wrapGroup(m Mutant, h store.Group) store.Group {
	if m == UnconfirmedReads {
		return &unconfirmedGroup{Group: h}
	}
	return h
}

type unconfirmedGroup struct {
	store.Group
	wasOwner bool
}

// IsOwner never becomes false again.
func (u *unconfirmedGroup) IsOwner() bool {
	u.wasOwner = u.wasOwner || u.Group.IsOwner()
	return u.wasOwner
}

// View is sure of itself, always.
func (u *unconfirmedGroup) View() group.View {
	v := u.Group.View()
	v.IsConfirmed, v.ConfirmedAt = true, maxTime
	return v
}
