package store

import (
	"encoding/json"
	"time"

	"caperwheel/internal/beat"
	"caperwheel/internal/feed"
	"caperwheel/internal/host"
	"caperwheel/internal/mishap"
	"caperwheel/internal/wire"
)

// partHost is a part of the control state on this store.
type partHost struct {
	s      *Store
	number int64
	host   *host.Host
	part   *feed.Part
}

func newPartHost(s *Store, number int64) *partHost {
	return &partHost{s: s, number: number, part: feed.NewPart()}
}

// Apply takes one committed edit in.
func (p *partHost) Apply(data []byte) any {
	e, err := feed.DecodeEdit(data)
	if err != nil {
		p.s.fail(err)
		return nil
	}
	return p.part.Apply(e)
}

// Image gives the state for a slot.
func (p *partHost) Image() []byte { return p.part.Image() }

// Restore replaces the state.
func (p *partHost) Restore(image []byte) error {
	part, err := feed.RestorePart(image)
	if err == nil {
		p.part = part
	}
	return err
}

// Owned has nothing to do: a part has no work of its own.
func (p *partHost) Owned(bool) {}

// Beat has nothing to do either.
func (p *partHost) Beat(time.Duration) {}

func (p *partHost) edit(e wire.Edit, answer func(any)) {
	p.host.Propose(feed.EncodeEdit(e), func(verdict any, err error) {
		if err != nil {
			answer(&wire.Edited{Kind: string(mishap.KindOf(err))})
			return
		}
		out := verdict.(wire.Edited)
		answer(&out)
	})
}

// pull reads a key. Only an owner that a majority has confirmed after the ask
// came may answer, so what was acknowledged before is always seen.
func (p *partHost) pull(key string, askedAt time.Duration, answer func(any)) {
	v := p.host.View()
	switch {
	case !p.host.IsOwner():
		answer(&wire.Pulled{Kind: string(mishap.NotOwner), Change: wire.Change{Value: []byte{}}})
	case !v.IsSure || v.Confirmed < askedAt:
		if p.s.d.Now()-askedAt > p.s.d.Bounds.Of(beat.Vote) {
			answer(&wire.Pulled{Kind: string(mishap.Late), Change: wire.Change{Value: []byte{}}})
			return
		}
		time.AfterFunc(p.s.d.Bounds.Of(beat.Pulse)/4, func() {
			if err := p.host.Do(func() { p.pull(key, askedAt, answer) }); err != nil {
				answer(&wire.Pulled{Kind: string(mishap.Full), Change: wire.Change{Value: []byte{}}})
			}
		})
	case key == feed.History:
		raw, err := json.Marshal(p.part.Past())
		if err != nil {
			raw = []byte("[]")
		}
		answer(&wire.Pulled{Change: wire.Change{Key: key, Value: raw}})
	default:
		c, isKnown := p.part.Get(key)
		if !isKnown {
			answer(&wire.Pulled{Kind: string(mishap.Unknown), Change: wire.Change{Value: []byte{}}})
			return
		}
		answer(&wire.Pulled{Change: c})
	}
}

// news answers a follower: what it misses, and how long ago a majority
// confirmed that this owner's state is the newest acknowledged.
func (p *partHost) news(from int64) (wire.PartNews, bool) {
	v := p.host.View()
	if !p.host.IsOwner() || !v.IsSure {
		return wire.PartNews{}, false
	}
	n, isNewest := p.part.News(p.number, from)
	if isNewest {
		n.Age = int64((p.s.d.Now() - v.Confirmed) / time.Microsecond)
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
		s.withPart(m.Part, func(p *partHost) { p.edit(*m, answer) },
			func(kind mishap.Kind) { answer(&wire.Edited{Kind: string(kind)}) })
	case *wire.Pull:
		s.withPart(m.Part, func(p *partHost) { p.pull(m.Key, now, answer) },
			func(kind mishap.Kind) { answer(&wire.Pulled{Kind: string(kind), Change: wire.Change{Value: []byte{}}}) })
	case *wire.Retire:
		answer(s.retired(m.Store))
	}
}

func (s *Store) withPart(number int64, work func(*partHost), reject func(mishap.Kind)) {
	s.mu.RLock()
	p := s.parts[number]
	s.mu.RUnlock()
	if p == nil {
		reject(mishap.NotOwner)
		return
	}
	if err := p.host.Do(func() { work(p) }); err != nil {
		reject(mishap.KindOf(err))
	}
}

// follow gathers the news of all parts owned here.
func (s *Store) follow(f *wire.Follow, answer func(any)) {
	out := &wire.Followed{Parts: []wire.PartNews{}}
	got := make(chan wire.PartNews, len(f.Stamps))
	asked := 0
	for _, stamp := range f.Stamps {
		asked++
		s.withPart(stamp.Part, func(p *partHost) {
			news, isOurs := p.news(stamp.Stamp)
			if !isOurs {
				news.Part = -1
			}
			got <- news
		}, func(mishap.Kind) { got <- wire.PartNews{Part: -1} })
	}
	for range asked {
		if news := <-got; news.Part >= 0 {
			out.Parts = append(out.Parts, news)
		}
	}
	answer(out)
}
