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
	Now() time.Duration                    // the daemon's steady clock
	After(span time.Duration, work func()) // runs work after a span
	Bounds() timing.Bounds
	IsFresh() bool                                             // the view is recent enough to act on
	IsDiskFull() bool                                          // intake is rejected for lack of disk space
	IsDiskBusy() bool                                          // the disk has more to write than may be queued
	Compiled() *config.Compiled                                // the configuration of the view
	Find(name string) (wire.Who, bool)                         // the member of a name
	Adapters() []wire.Who                                      // adapters that are members
	HasOlderAdapters() bool                                    // whether any of them is of a build that claims no operation keys
	Post(who wire.Who, ask any, answer func(any, error)) error // sends a request to an adapter
	SubmitToPlace(t *wire.Take, tell func(isTaken bool))       // submits a message to its place's owner
	Release(g SlotGrant)                                       // returns an unused slot to its holder
	Notifier(address string) (wire.Who, bool)                  // the adapter that sends notifications to an address
	Wake()                                                     // has the dispatcher run soon
	PlaceOf(id string) int64                                   // the place that a message id belongs to
	ChildId(parent string) string                              // the id of a message's call-back
	Fail(err error)                                            // stops the daemon
	IsMemoryLow() bool                                         // the store has too little memory left to accept more
}

// Group is the replicated group of a place or a part.
type Group interface {
	IsOwner() bool
	Term() int64
	DataTerm() int64                  // term of the newest applied command, or a later term
	LoggedAt() time.Duration          // during Apply: when the replica received the command
	PendingProposals() int            // proposals that are not committed yet
	OldestProposalAge() time.Duration // how long the oldest proposal has been pending
	View() group.View
	Propose(data []byte, tell func(verdict any, err error)) // tell gets the result of Apply, or an error
	Do(work func()) error                                   // runs work on the group's goroutine
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
func (a *environment) HasOlderAdapters() bool                { return a.store.d.Membership.HasOlderAdapters() }
func (a *environment) Post(who wire.Who, request any, answer func(any, error)) error {
	return a.store.post(who, request, answer)
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
