package sim

import (
	"time"

	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/store"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// waking lets a host go on whenever its disk has answered.
type waking struct {
	*Disk
	s  *storeProcess
	id int64
}

func (d *waking) wrap(then func(error)) func(error) {
	h, life := d.s.hosts[d.id], d.s.life
	return func(err error) {
		if !d.s.isUp || d.s.life != life {
			return
		}
		then(err)
		if h = d.s.hosts[d.id]; h != nil && d.s.d.now >= d.s.frozen {
			h.RunPending()
		}
	}
}

// Persist, After and SaveSlot are host.Disk.
func (d *waking) Persist(id int64, p *group.DurableUpdate, then func(error)) {
	d.Disk.Persist(id, p, d.wrap(then))
}
func (d *waking) AfterWrites(then func(error)) { d.Disk.AfterWrites(d.wrap(then)) }
func (d *waking) SaveSlot(id int64, hard group.HardState, image *group.Snapshot, e *group.DurableUpdate, then func(error)) {
	d.Disk.SaveSlot(id, hard, image, e, d.wrap(then))
}

// storeAround is what a part needs of its store; a part needs no more.
type storeAround struct {
	store.Environment
	s *storeProcess
}

// Now, After, Bounds and Fail are store.Around.
func (a *storeAround) Now() time.Duration    { return a.s.now() }
func (a *storeAround) Bounds() timing.Bounds { return timing.Default }
func (a *storeAround) Fail(err error)        { panic(err) }
func (a *storeAround) After(span time.Duration, work func()) {
	life := a.s.life
	a.s.d.After(span, func() {
		if a.s.isUp && a.s.life == life {
			work()
			if a.s.d.now >= a.s.frozen {
				for _, id := range groupIds() {
					if h := a.s.hosts[id]; h != nil {
						h.RunPending()
					}
				}
			}
		}
	})
}

// witness tells the book of every edit that a replica applies.
type witness struct {
	*store.PartHost
	s     *storeProcess
	id    int64
	image []byte
	lead  *lead
}

// Apply notes what an edit came to.
func (x *witness) Apply(data []byte, isOwn bool) any {
	if told := timeOfEdit(data); told > 0 {
		if more := x.lead.grows(data, told); more > 0 {
			x.s.d.breach("the time of part %d has advanced by %d ms more than real time", x.id, more)
		}
	}
	verdict := x.PartHost.Apply(data, isOwn || x.s.d.mutant == OwnCount)
	e, err := feed.DecodeEdit(data)
	if got, isEdited := verdict.(wire.Edited); err == nil && isEdited && got.Kind == "" && !got.IsRepeat {
		x.s.d.book.applied(x.s, x.id, got.Revision, e)
	}
	return verdict
}

// Image gives the state; the mutant's is the one before.
func (x *witness) Snapshot() []byte {
	was := x.image
	x.image = x.PartHost.Snapshot()
	if x.s.d.mutant == OldSnapshot {
		return was
	}
	return x.image
}

// hosting is the group below a part; the mutant takes an owner's word for its
// ownership without a majority.
func hosting(m Mutant, h store.Group) store.Group {
	if m == UnconfirmedReads {
		return &unconfirmed{Group: h}
	}
	return h
}

type unconfirmed struct {
	store.Group
	wasOwner bool
}

// IsOwner never becomes false again.
func (u *unconfirmed) IsOwner() bool {
	u.wasOwner = u.wasOwner || u.Group.IsOwner()
	return u.wasOwner
}

// View is sure of itself, always.
func (u *unconfirmed) View() group.View {
	v := u.Group.View()
	v.IsConfirmed, v.ConfirmedAt = true, forever
	return v
}
