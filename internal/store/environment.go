package store

import (
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/group"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// Environment is what the owner of a place or a part needs of its daemon. The simulation provides its own.
type Environment interface {
	Now() time.Duration
	After(span time.Duration, work func())
	Bounds() timing.Bounds
	IsFresh() bool
	IsDiskFull() bool
	IsDiskBusy() bool // the disk has more to write than may be queued
	Compiled() *config.Compiled
	Find(name string) (wire.Who, bool)
	Adapters() []wire.Who                                      // adapters that are members
	Post(who wire.Who, ask any, answer func(any, error)) error // sends a request to an adapter
	SubmitToPlace(t *wire.Take, tell func(isTaken bool))
	Release(g SlotGrant)
	Notifier(address string) (wire.Who, bool) // the adapter that sends notifications to an address
	Wake()
	PlaceOf(id string) int64
	ChildId(parent string) string
	Fail(err error)
	IsMemoryLow() bool // the store has too little memory left to accept more
}

// Group is the replicated group of a place or a part.
type Group interface {
	IsOwner() bool
	Term() int64
	DataTerm() int64         // term of the newest applied command, or a later term
	LoggedAt() time.Duration // during Apply: when the replica received the command
	PendingProposals() int
	OldestProposalAge() time.Duration // how long the oldest proposal has been pending
	View() group.View
	Propose(data []byte, tell func(verdict any, err error))
	Do(work func()) error
}

// Attach sets the group of a place. It is called once, before any other method.
func (p *PlaceHost) Attach(h Group) { p.host = &timedGroup{Group: h} }

// Do runs work on the place's goroutine.
func (p *PlaceHost) Do(work func()) error { return p.host.Do(work) }

// environment gives places and parts access to the store daemon.
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
