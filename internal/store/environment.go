package store

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Environment is what a place's owner needs of the daemon that it runs in. The
// simulation gives another one.
type Environment interface {
	Now() time.Duration
	After(span time.Duration, work func())
	Bounds() timing.Bounds
	IsFresh() bool
	IsFull() bool
	IsBusy() bool // the disk has as much to write as may wait for it
	Compiled() *config.Compiled
	Find(name string) (wire.Who, bool)
	Adapters() []wire.Who                                      // those that are members
	Post(who wire.Who, ask any, answer func(any, error)) error // to an adapter
	TakeElsewhere(t *wire.Take, tell func(isTaken bool))
	Release(g SlotGrant)
	Teller(address string) (wire.Who, bool) // the adapter that speaks to an address
	Nudge()
	PlaceOf(id string) int64
	ChildOf(parent string) string
	Fail(err error)
	IsTight() bool // the store has too little memory left to hold more
}

// Hosting is the replicated group below a place.
type Hosting interface {
	IsOwner() bool
	Term() int64
	DataTerm() int64       // of the newest command that was applied, or a later one
	HeldAt() time.Duration // while a command is applied: when the replica had it already
	Waiting() int
	Oldest() time.Duration // how long the oldest proposal has waited
	View() group.View
	Propose(data []byte, tell func(verdict any, err error))
	Do(work func()) error
}

// Use joins a place to its group; called once, before anything else.
func (p *PlaceHost) Use(h Hosting) { p.host = &timedGroup{Hosting: h} }

// Do has work done on the place's goroutine.
func (p *PlaceHost) Do(work func()) error { return p.host.Do(work) }

// environment is the store daemon as its places see it.
type environment struct{ s *Store }

func (a *environment) Now() time.Duration                    { return a.s.d.Now() }
func (a *environment) After(span time.Duration, work func()) { time.AfterFunc(span, work) }
func (a *environment) Bounds() timing.Bounds                 { return a.s.d.Bounds }
func (a *environment) IsFresh() bool                         { return a.s.d.IsFresh() }
func (a *environment) IsFull() bool                          { return a.s.diskFull.Load() }
func (a *environment) IsBusy() bool                          { return a.s.disk.Waiting() > mostUnsynced }
func (a *environment) Compiled() *config.Compiled            { return a.s.configs.Current() }
func (a *environment) Find(name string) (wire.Who, bool)     { return a.s.d.Membership.Find(name) }
func (a *environment) Adapters() []wire.Who                  { return a.s.d.Membership.Kind("adapter") }
func (a *environment) Post(who wire.Who, ask any, answer func(any, error)) error {
	return a.s.post(who, ask, answer)
}
func (a *environment) TakeElsewhere(t *wire.Take, tell func(bool)) { a.s.takeElsewhere(t, tell) }
func (a *environment) Release(g SlotGrant)                         { a.s.dispatch.release(g) }
func (a *environment) Teller(address string) (wire.Who, bool) {
	return Teller(a.s.d.Membership, a.s.configs.Current(), address)
}
func (a *environment) Nudge()                       { a.s.dispatch.Nudge() }
func (a *environment) PlaceOf(id string) int64      { return a.s.placeOfId(id) }
func (a *environment) ChildOf(parent string) string { return a.s.childId(parent) }
func (a *environment) Fail(err error)               { a.s.fail(err) }
func (a *environment) IsTight() bool                { return a.s.isTight.Load() }
