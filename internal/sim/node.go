package sim

import (
	"fmt"
	"time"

	"caperwheel/internal/duty"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

func (n *node) boot() string { return fmt.Sprint(n.name, ".", n.life) }

func (n *node) start() {
	if n.isUp {
		return
	}
	n.isUp, n.life, n.worker, n.term, n.steady = true, n.life+1, nil, 0, duty.HoldDown{Period: 2 * timing.Default.ConfigApply}
	n.proposed = &duty.Proposals{Timeout: timing.Default.Of(timing.ViewAgeLimit)}
	n.view, n.membership, n.registry = feed.NewView(0), session.NewMembership(), session.NewRegistry(timing.Default.Of(timing.SessionTimeout))
	n.c.Note("start %s", n.boot())
	life := n.life
	var tick, act func()
	tick = func() {
		if n.isUp && n.life == life {
			if n.c.now >= n.frozen {
				n.poll()
			}
			n.c.After(timing.Default.Of(timing.Poll), tick)
		}
	}
	act = func() {
		if n.isUp && n.life == life {
			if n.c.now >= n.frozen {
				n.act()
			}
			n.c.After(20*time.Millisecond, act)
		}
	}
	n.c.After(time.Duration(n.c.Rand.IntN(100))*time.Millisecond, tick)
	if n.kind != "agent" {
		n.c.After(0, act)
	}
}

func (n *node) kill() {
	if n.isUp {
		n.isUp, n.life = false, n.life+1
		n.c.Note("kill %s", n.name)
	}
}

func (n *node) who() wire.Who {
	return wire.Who{Name: n.name, Kind: n.kind, Boot: n.boot(), Zone: n.zone()}
}

// zone: adapters stand each in one of their own, named by their number.
func (n *node) zone() string { return n.name[1:] }

// poll asks for news, as session.Client and the manager's follow do.
func (n *node) poll() {
	asked := n.c.now
	if n.kind == "manager" {
		for _, s := range n.c.stores {
			n.follow(s, asked)
		}
		n.share()
		return
	}
	if asked-n.heard > timing.Default.Of(timing.AnswerTimeout) {
		n.at, n.heard = n.at+1, asked
	}
	to := n.targets[n.at%len(n.targets)]
	ask := &wire.Poll{Who: n.who(), Revisions: n.view.Revisions()}
	if n.kind == "agent" {
		_, ask.Colocated = n.registry.Members(asked)
	}
	life := n.life
	n.c.Send(n.name, to.name, func() {
		to.c.whenThawed(&to.lifecycle, func() {
			to.registry.Renew(wire.Member{Who: ask.Who}, n.c.now, true)
			for _, m := range ask.Colocated {
				to.registry.Renew(m, n.c.now, true)
			}
			news := session.NewsFor(ask, to.view, n.c.now, to.membership)
			n.c.Send(to.name, n.name, func() {
				if n.life == life {
					n.c.whenThawed(&n.lifecycle, func() { n.heard = n.c.now; n.view.Update(news.Parts, asked) })
				}
			})
		})
	})
}

// share tells the other managers of our sessions, as managers do.
func (n *node) share() {
	n.registry.Renew(wire.Member{Who: n.who()}, n.c.now, true)
	own := n.registry.SessionsForPeers(n.c.now)
	for _, to := range n.c.managers {
		if to != n {
			n.c.Send(n.name, to.name, func() {
				to.c.whenThawed(&to.lifecycle, func() {
					for _, m := range own {
						to.registry.Renew(m, n.c.now, false)
					}
				})
			})
		}
	}
}

func (n *node) follow(s *partStore, asked time.Duration) {
	revision, life := n.view.Revision(feed.ConfigPart), n.life
	n.c.Send(n.name, s.name, func() {
		if !s.isUp {
			return
		}
		_ = s.host.Do(func() {
			news, isOurs := s.part.News(revision)
			if isOurs {
				n.c.Send(s.name, n.name, func() {
					if n.life == life {
						n.c.whenThawed(&n.lifecycle, func() { n.view.Update([]wire.PartNews{news}, asked) })
					}
				})
			}
		})
		s.pump()
	})
}

// edit brings an edit to whichever store owns the part, and tells if it held.
func (n *node) edit(e wire.Edit, tell func(revision int64)) {
	for _, s := range n.c.stores {
		n.c.Send(n.name, s.name, func() {
			if !s.isUp {
				return
			}
			life := s.life
			_ = s.host.Do(func() {
				s.part.Edit(e, func(reply any) {
					got, isEdited := reply.(*wire.Edited)
					if isEdited && got.Kind == "" && s.isUp && s.life == life {
						tell(got.Revision)
					}
				})
			})
			s.pump()
		})
	}
}
