package sim

import (
	"fmt"
	"math"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/feed"
	"caperwheel/internal/group"
	"caperwheel/internal/place"
	"caperwheel/internal/store"
)

// proposalLog records when each command of the groups was stamped with its group's time, so that replicas can be
// checked against the guarantee of package groupclock: between any two committed commands group time advances by no
// more than real time does.
type proposalLog struct {
	w  *World
	at map[string]time.Duration // by the bytes of the command; negative if it was proposed twice
}

func newProposalLog(w *World) *proposalLog { return &proposalLog{w: w, at: map[string]time.Duration{}} }

// record records that a command is proposed now.
func (s *proposalLog) record(data []byte) {
	if _, isKnown := s.at[string(data)]; isKnown {
		s.at[string(data)] = -1 // the bytes do not show which of the two was committed
		return
	}
	s.at[string(data)] = s.w.now
}

// recordingGroup is a group that records when commands are proposed to it.
type recordingGroup struct {
	store.Group
	proposals        *proposalLog
	isIgnoringLevels bool
}

// View returns the view of the group. With the mutant UncheckedLevels, an owner assumes that every replica can
// apply commands of every level.
func (p *recordingGroup) View() group.View {
	v := p.Group.View()
	if p.isIgnoringLevels {
		v.CommonLevel = place.NewestLevel
	}
	return v
}

// Propose records the command and proposes it to the group.
func (p *recordingGroup) Propose(data []byte, done func(verdict any, err error)) {
	p.proposals.record(data)
	p.Group.Propose(data, done)
}

// timeLead is how far group time is ahead of real time at one replica.
//
// Invariant: it is that of the newest command with a group time, and never grows.
type timeLead struct {
	proposals *proposalLog
	minMillis int64 // math.MaxInt64 before the first command
}

func (s *proposalLog) newTimeLead() *timeLead { return &timeLead{s, math.MaxInt64} }

// maxLeadGrowthMillis bounds how much a lead may grow through rounding.
const maxLeadGrowthMillis = 2

// growth takes a committed command with the given group time. It returns by how many milliseconds more than real
// time group time has advanced since an earlier command; 0 if it has not.
func (l *timeLead) growth(data []byte, groupTime int64) int64 {
	at, isKnown := l.proposals.at[string(data)]
	if !isKnown || at < 0 {
		return 0
	}
	current := groupTime - at.Milliseconds()
	if l.minMillis != math.MaxInt64 && current > l.minMillis+maxLeadGrowthMillis {
		return current - l.minMillis
	}
	l.minMillis = min(l.minMillis, current)
	return 0
}

// timeOfCommand returns the group time of a command of a place; 0 if it has none.
func timeOfCommand(data []byte) int64 {
	c, err := place.Decode(data)
	if err != nil {
		return 0
	}
	return c.At
}

// timeOfEdit returns the group time of an edit of a part; 0 if it has none.
func timeOfEdit(data []byte) int64 {
	e, err := feed.DecodeEdit(data)
	if err != nil {
		return 0
	}
	return e.At
}

// timedPlace is the state machine of a place that checks the times of its commands against real time.
type timedPlace struct {
	*store.PlaceHost
	s        *simStore
	timeLead *timeLead
}

// Apply checks the time and level of a command and applies it. With the mutant LocalGroupTime, a replica regards
// every command as its own, and so keeps its own count where that is ahead.
func (x *timedPlace) Apply(data []byte, isOwn bool) any {
	if c, err := place.Decode(data); err == nil && c.Level > x.s.level {
		x.s.w.breach(RuleLevel, "%s got a command of level %d, its build can apply level %d", x.s.name, c.Level, x.s.level)
	}
	if told := timeOfCommand(data); told > 0 {
		if more := x.timeLead.growth(data, told); more > 0 {
			x.s.w.early("the time of the place has advanced by %d ms more than real time", more)
		}
	}
	return x.PlaceHost.Apply(data, isOwn || x.s.w.mutant == LocalGroupTime)
}

// early records that group time was ahead of real time.
func (p *PlaceCluster) early(format string, args ...any) { p.breach(check.RuleEarly, format, args...) }

// RuleLevel is broken if a replica gets a command that its build cannot apply.
const RuleLevel = "LEVEL"

// breach records a broken rule while the simulation runs.
func (p *PlaceCluster) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.Tracef("BROKEN %s", text)
	if len(p.breaches) < maxBreaches {
		p.breaches = append(p.breaches, check.Breach{Rule: rule, Text: text})
	}
}
