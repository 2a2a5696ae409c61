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
	IsDiskFull() bool
	IsDiskBusy() bool // the disk has as much to write as may wait for it
	Compiled() *config.Compiled
	Find(name string) (wire.Who, bool)
	Adapters() []wire.Who                                      // those that are members
	Post(who wire.Who, ask any, answer func(any, error)) error // to an adapter
	SubmitToPlace(t *wire.Take, tell func(isTaken bool))
	Release(g SlotGrant)
	Notifier(address string) (wire.Who, bool) // the adapter that speaks to an address
	Wake()
	PlaceOf(id string) int64
	ChildId(parent string) string
	Fail(err error)
	IsMemoryLow() bool // the store has too little memory left to hold more
}

// Group is the replicated group below a place.
type Group interface {
	IsOwner() bool
	Term() int64
	DataTerm() int64         // of the newest command that was applied, or a later one
	LoggedAt() time.Duration // while a command is applied: when the replica had it already
	PendingProposals() int
	OldestProposalAge() time.Duration // how long the oldest proposal has waited
	View() group.View
	Propose(data []byte, tell func(verdict any, err error))
	Do(work func()) error
}

// Attach joins a place to its group; called once, before anything else.
func (p *PlaceHost) Attach(h Group) { p.host = &timedGroup{Group: h} }

// Do has work done on the place's goroutine.
func (p *PlaceHost) Do(work func()) error { return p.host.Do(work) }

// environment is the store daemon as its places see it.
type environment struct{ store *Store }

func (a *environment) Now() time.Duration                    { return a.store.d.Now() }
func (a *environment) After(span time.Duration, work func()) { time.AfterFunc(span, work) }
func (a *environment) Bounds() timing.Bounds                 { return a.store.d.Bounds }
func (a *environment) IsFresh() bool                         { return a.store.d.IsFresh() }
func (a *environment) IsDiskFull() bool                      { return a.store.diskFull.Load() }
func (a *environment) IsDiskBusy() bool                      { return a.store.disk.UnsyncedBytes() > maxUnsyncedBytes }
func (a *environment) Compiled() *config.Compiled            { return a.store.configs.Current() }
func (a *environment) Find(name string) (wire.Who, bool)     { return a.store.d.Membership.Find(name) }
func (a *environment) Adapters() []wire.Who                  { return a.store.d.Membership.OfKind("adapter") }
func (a *environment) Post(who wire.Who, ask any, answer func(any, error)) error {
	return a.store.post(who, ask, answer)
}
func (a *environment) SubmitToPlace(t *wire.Take, tell func(bool)) { a.store.submitToPlace(t, tell) }
func (a *environment) Release(g SlotGrant)                         { a.store.dispatcher.release(g) }
func (a *environment) Notifier(address string) (wire.Who, bool) {
	return NotifierFor(a.store.d.Membership, a.store.configs.Current(), address)
}
func (a *environment) Wake()                        { a.store.dispatcher.Wake() }
func (a *environment) PlaceOf(id string) int64      { return a.store.placeOfId(id) }
func (a *environment) ChildId(parent string) string { return a.store.childId(parent) }
func (a *environment) Fail(err error)               { a.store.fail(err) }
func (a *environment) IsMemoryLow() bool            { return a.store.isMemoryLow.Load() }
