package store

import (
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/groupclock"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// PartHost is the replica of a part (a partition of the control state) on this store.
type PartHost struct {
	environment     Environment
	number          int64
	host            Group
	part            *feed.Part
	clock           groupclock.Clock
	timeCommittedAt time.Duration // when the owner last proposed the part's time by itself
}

// NewPartHost returns an empty part.
func NewPartHost(environment Environment, number int64) *PartHost {
	return &PartHost{environment: environment, number: number, part: feed.NewPart(), clock: groupclock.New(environment.Now())}
}

// Apply applies a committed edit.
func (p *PartHost) Apply(data []byte, isOwn bool) any {
	e, err := feed.DecodeEdit(data)
	if err != nil {
		p.environment.Fail(err)
		return nil
	}
	out := p.part.Apply(e)
	loggedAt := p.environment.Now()
	if p.host != nil { // nil while the replica is being opened
		loggedAt = p.host.LoggedAt()
	}
	p.clock.Apply(p.part.Clock(), isOwn, loggedAt)
	return out
}

// now returns the part's time; see package groupclock.
func (p *PartHost) now() int64 { return p.clock.At(p.environment.Now()) }

// Snapshot returns the state as a snapshot.
func (p *PartHost) Snapshot() []byte { return p.part.Snapshot() }

// Restore replaces the state by a snapshot.
func (p *PartHost) Restore(snapshot []byte) error {
	part, err := feed.RestorePart(snapshot)
	if err == nil {
		p.part = part
		p.clock.Reset(part.Clock(), p.environment.Now())
	}
	return err
}

// OwnershipChanged does nothing, since the owner of a part has no state of its own.
func (p *PartHost) OwnershipChanged(bool) {}

// Tick commits the part's time if the age of an order still matters and no edit has committed it for a while. Without
// that, a new owner would go on from the old time in its log.
func (p *PartHost) Tick(now time.Duration) {
	bounds := p.environment.Bounds()
	if !p.host.IsOwner() || !p.part.HasRecentOrder(p.now(), bounds.Of(timing.OrderMaxAge)) {
		return
	}
	span := bounds.Of(timing.TimeCommitInterval)
	if p.clock.Lag(p.part.Clock(), now) < span || now-p.timeCommittedAt < span {
		return
	}
	p.timeCommittedAt = now
	p.host.Propose(feed.EncodeEdit(feed.TimeMark(p.now())), func(any, error) {})
}

// Attach sets the part's group. It is called once, before any other method.
func (p *PartHost) Attach(h Group) { p.host = h }

// Do runs work on the part's goroutine.
func (p *PartHost) Do(work func()) error { return p.host.Do(work) }

// Edit changes a key and answers once the change is committed.
func (p *PartHost) Edit(e wire.Edit, answer func(any)) {
	if e.OperationId != "" {
		e.At = p.now()
	}
	p.host.Propose(feed.EncodeEdit(e), func(verdict any, err error) {
		if err != nil {
			answer(&wire.Edited{Kind: string(errs.KindOf(err))})
			return
		}
		out := verdict.(wire.Edited)
		answer(&out)
	})
}

// Pull reads a key. It answers only after a majority has confirmed this owner since the query arrived, so that a read
// always returns what was acknowledged before it.
func (p *PartHost) Pull(key string, askedAt time.Duration, answer func(any)) {
	v := p.host.View()
	switch {
	case !p.host.IsOwner():
		answer(&wire.Pulled{Kind: string(errs.NotOwner), Change: wire.Change{Value: []byte{}}})
	case !v.IsConfirmed || v.ConfirmedAt < askedAt:
		if p.environment.Now()-askedAt > p.environment.Bounds().Of(timing.AnswerTimeout) {
			answer(&wire.Pulled{Kind: string(errs.DeadlineExceeded), Change: wire.Change{Value: []byte{}}})
			return
		}
		p.environment.After(p.environment.Bounds().Of(timing.Heartbeat)/4, func() {
			if err := p.host.Do(func() { p.Pull(key, askedAt, answer) }); err != nil {
				answer(&wire.Pulled{Kind: string(errs.Full), Change: wire.Change{Value: []byte{}}})
			}
		})
	default:
		out := p.part.Read(key, p.now())
		answer(&out)
	}
}

// News returns the changes that a follower lacks, and how long ago a majority confirmed that this owner has the newest
// acknowledged state.
func (p *PartHost) News(from int64) (wire.PartNews, bool) {
	v := p.host.View()
	if !p.host.IsOwner() || !v.IsConfirmed {
		return wire.PartNews{}, false
	}
	n, isNewest := p.part.News(p.number, from)
	if isNewest {
		n.Age = int64((p.environment.Now() - v.ConfirmedAt) / time.Microsecond)
	}
	return n, true
}

// onPart serves managers.
func (s *Store) onPart(_ wire.Who, body any, answer func(any)) {
	now := s.d.Now()
	switch m := body.(type) {
	case *wire.Follow:
		go s.follow(m, answer)
	case *wire.Edit:
		s.withPart(m.Part, func(p *PartHost) { p.Edit(*m, answer) },
			func(kind errs.Kind) { answer(&wire.Edited{Kind: string(kind)}) })
	case *wire.Pull:
		s.withPart(m.Part, func(p *PartHost) { p.Pull(m.Key, now, answer) },
			func(kind errs.Kind) { answer(&wire.Pulled{Kind: string(kind), Change: wire.Change{Value: []byte{}}}) })
	case *wire.Retire:
		go func() { answer(s.standingsWithout(m.Store, now)) }() // it waits for a majority
	}
}

// withPart runs work on the goroutine of a part held here, or rejects.
func (s *Store) withPart(number int64, work func(*PartHost), reject func(errs.Kind)) {
	withHeld(s, s.parts, number, work, reject)
}

// follow collects the changes of all parts owned here.
func (s *Store) follow(f *wire.Follow, answer func(any)) {
	out := &wire.Followed{Parts: []wire.PartNews{}}
	got := make(chan wire.PartNews, len(f.Revisions))
	expected := 0
	for _, revision := range f.Revisions {
		expected++
		s.withPart(revision.Part, func(p *PartHost) {
			news, isOurs := p.News(revision.Revision)
			if !isOurs {
				news.Part = -1
			}
			got <- news
		}, func(errs.Kind) { got <- wire.PartNews{Part: -1} })
	}
	for range expected {
		if news := <-got; news.Part >= 0 {
			out.Parts = append(out.Parts, news)
		}
	}
	answer(out)
}
