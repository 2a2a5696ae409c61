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

// stamps notes when each command of the groups was stamped with its group's time, so
// that replicas can hold what package groupclock promises: between any two committed
// commands group time advances by no more than real time has.
type proposalLog struct {
	w  *World
	at map[string]time.Duration // by the command's bytes; negative for one that was proposed twice
}

func newProposalLog(w *World) *proposalLog { return &proposalLog{w: w, at: map[string]time.Duration{}} }

// record records that a command is proposed now.
func (s *proposalLog) record(data []byte) {
	if _, isKnown := s.at[string(data)]; isKnown {
		s.at[string(data)] = -1 // which of the two was committed is not told by its bytes
		return
	}
	s.at[string(data)] = s.w.now
}

// recordingGroup is a group that notes what is proposed to it.
type recordingGroup struct {
	store.Group
	proposals        *proposalLog
	isIgnoringLevels bool
}

// View is the group's. The mutant has an owner believe that every replica can apply all.
func (p *recordingGroup) View() group.View {
	v := p.Group.View()
	if p.isIgnoringLevels {
		v.CommonLevel = place.NewestLevel
	}
	return v
}

// Propose notes the command and passes it on.
func (p *recordingGroup) Propose(data []byte, tell func(verdict any, err error)) {
	p.proposals.record(data)
	p.Group.Propose(data, tell)
}

// timeLead is how far group time is ahead of real time at one replica.
//
// Invariant: it is that of the newest command which told the time, and never grows.
type timeLead struct {
	proposals *proposalLog
	minMillis int64 // milliseconds; math.MaxInt64 before the first command
}

func (s *proposalLog) newTimeLead() *timeLead { return &timeLead{s, math.MaxInt64} }

// maxLeadGrowthMillis is by how many milliseconds a lead may grow through rounding.
const maxLeadGrowthMillis = 2

// growth takes in a committed command that tells the given group time, and returns by
// how many milliseconds more than real time group time has advanced since an earlier
// command; 0 if by none.
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

// timeOfCommand and timeOfEdit return the group time that a command tells; 0 for none.
func timeOfCommand(data []byte) int64 {
	c, err := place.Decode(data)
	if err != nil {
		return 0
	}
	return c.At
}

func timeOfEdit(data []byte) int64 {
	e, err := feed.DecodeEdit(data)
	if err != nil {
		return 0
	}
	return e.At
}

// timedPlace is a place's machine whose commands' times are held against real time.
type timedPlace struct {
	*store.PlaceHost
	s        *simStore
	timeLead *timeLead
}

// Apply looks at the command's time and level and passes it on. The mutant has a replica take
// every command for its own, so that it keeps its own count where that is ahead.
func (x *timedPlace) Apply(data []byte, isOwn bool) any {
	if c, err := place.Decode(data); err == nil && c.Level > x.s.level {
		x.s.w.breach(RuleLevel, "%s gets a command of level %d and can apply %d", x.s.name, c.Level, x.s.level)
	}
	if told := timeOfCommand(data); told > 0 {
		if more := x.timeLead.growth(data, told); more > 0 {
			x.s.w.early("place time has advanced by %d ms more than real time", more)
		}
	}
	return x.PlaceHost.Apply(data, isOwn || x.s.w.mutant == LocalGroupTime)
}

// early notes that group time was ahead of real time.
func (p *PlaceCluster) early(form string, args ...any) { p.breach(check.RuleEarly, form, args...) }

// RuleLevel: no replica gets a command that its build cannot apply.
const RuleLevel = "LEVEL"

// breach notes a broken rule while the simulation runs.
func (p *PlaceCluster) breach(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.Tracef("BROKEN %s", text)
	if len(p.breaches) < maxBreaches {
		p.breaches = append(p.breaches, check.Breach{Rule: rule, Text: text})
	}
}
