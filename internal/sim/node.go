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

// boot returns the boot id, which changes with each start.
func (n *node) boot() string { return fmt.Sprint(n.name, ".", n.generation) }

func (n *node) start() {
	if n.isUp {
		return
	}
	n.isUp, n.generation, n.worker, n.term, n.holdDown = true, n.generation+1, nil, 0, duty.HoldDown{Period: 2 * timing.Default.ConfigApply}
	n.proposals = &duty.Proposals{Timeout: timing.Default.Of(timing.ViewAgeLimit)}
	n.view, n.membership, n.registry = feed.NewView(0), session.NewMembership(), session.NewRegistry(timing.Default.Of(timing.SessionTimeout))
	n.c.Tracef("start %s", n.boot())
	generation := n.generation
	var pollTick, stepTick func()
	pollTick = func() {
		if n.isUp && n.generation == generation {
			if n.c.now >= n.frozenUntil {
				n.poll()
			}
			n.c.After(timing.Default.Of(timing.Poll), pollTick)
		}
	}
	stepTick = func() {
		if n.isUp && n.generation == generation {
			if n.c.now >= n.frozenUntil {
				n.step()
			}
			n.c.After(20*time.Millisecond, stepTick)
		}
	}
	n.c.After(time.Duration(n.c.Rand.IntN(100))*time.Millisecond, pollTick)
	if n.kind != "agent" {
		n.c.After(0, stepTick)
	}
}

func (n *node) kill() {
	if n.isUp {
		n.isUp, n.generation = false, n.generation+1
		n.c.Tracef("kill %s", n.name)
	}
}

func (n *node) who() wire.Who {
	return wire.Who{Name: n.name, Kind: n.kind, Boot: n.boot(), Zone: n.zone()}
}

// zone is the zone of the node: each adapter has a zone of its own, named after its number.
func (n *node) zone() string { return n.name[1:] }

// poll requests changes of the view, as session.Client does; a manager polls the stores instead.
func (n *node) poll() {
	polledAt := n.c.now
	if n.kind == "manager" {
		for _, s := range n.c.stores {
			n.pollPart(s, polledAt)
		}
		n.exchangeSessions()
		return
	}
	if polledAt-n.heardAt > timing.Default.Of(timing.AnswerTimeout) {
		n.targetIndex, n.heardAt = n.targetIndex+1, polledAt
	}
	to := n.targets[n.targetIndex%len(n.targets)]
	request := &wire.Poll{Who: n.who(), Revisions: n.view.Revisions()}
	if n.kind == "agent" {
		_, request.Colocated = n.registry.Members(polledAt)
	}
	generation := n.generation
	n.c.Send(n.name, to.name, func() {
		to.c.runWhenThawed(&to.lifecycle, func() {
			to.registry.Renew(wire.Member{Who: request.Who}, n.c.now, true)
			for _, m := range request.Colocated {
				to.registry.Renew(m, n.c.now, true)
			}
			news := session.NewsFor(request, to.view, n.c.now, to.membership)
			n.c.Send(to.name, n.name, func() {
				if n.generation == generation {
					n.c.runWhenThawed(&n.lifecycle, func() { n.heardAt = n.c.now; n.view.Update(news.Parts, polledAt) })
				}
			})
		})
	})
}

// exchangeSessions sends this manager's sessions to the other managers, as real managers do.
func (n *node) exchangeSessions() {
	n.registry.Renew(wire.Member{Who: n.who()}, n.c.now, true)
	sessions := n.registry.SessionsForPeers(n.c.now)
	for _, to := range n.c.managers {
		if to != n {
			n.c.Send(n.name, to.name, func() {
				to.c.runWhenThawed(&to.lifecycle, func() {
					for _, m := range sessions {
						to.registry.Renew(m, n.c.now, false)
					}
				})
			})
		}
	}
}

// pollPart polls one store for changes of the configuration part.
func (n *node) pollPart(s *partStore, polledAt time.Duration) {
	revision, generation := n.view.Revision(feed.ConfigPart), n.generation
	n.c.Send(n.name, s.name, func() {
		if !s.isUp {
			return
		}
		_ = s.host.Do(func() {
			news, isOurs := s.part.News(revision)
			if isOurs {
				n.c.Send(s.name, n.name, func() {
					if n.generation == generation {
						n.c.runWhenThawed(&n.lifecycle, func() { n.view.Update([]wire.PartNews{news}, polledAt) })
					}
				})
			}
		})
		s.runPending()
	})
}

// sendEdit sends an edit to every store; the owner of the part applies it. onCommitted is called with the
// revision once it is committed.
func (n *node) sendEdit(e wire.Edit, onCommitted func(revision int64)) {
	for _, s := range n.c.stores {
		n.c.Send(n.name, s.name, func() {
			if !s.isUp {
				return
			}
			generation := s.generation
			_ = s.host.Do(func() {
				s.part.Edit(e, func(reply any) {
					got, isEdited := reply.(*wire.Edited)
					if isEdited && got.Kind == "" && s.isUp && s.generation == generation {
						onCommitted(got.Revision)
					}
				})
			})
			s.runPending()
		})
	}
}
