package standin

import (
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
)

// judgeEdits checks that no invalid configuration is acknowledged, and at most one of those with the same base.
func (j *judge) judgeEdits() {
	byBase := map[int64]int64{}
	for _, e := range j.h.Edits {
		if e.Code/100 != 2 {
			continue
		}
		if e.IsInvalid {
			j.breach(RuleConfig, "the invalid version %d was acknowledged", e.Revision)
			continue
		}
		if other, isKnown := byBase[e.Base]; isKnown && other != e.Revision {
			j.breach(RuleConfig, "versions %d and %d, both on %d, were acknowledged", other, e.Revision, e.Base)
		}
		byBase[e.Base] = e.Revision
	}
}

// judgeReadBack checks that the configuration read at the end is the newest acknowledged version, or a newer one
// without a conclusive response, with the content that was sent.
func (j *judge) judgeReadBack() {
	newest := int64(0)
	for _, e := range j.h.Edits {
		if e.AcknowledgedAt > 0 {
			newest = max(newest, e.Revision)
		}
	}
	version := gjson.GetBytes(j.h.Read.Doc, "version").Int()
	if j.h.Read.Code != 200 || version < newest {
		j.breach(RuleConfig, "version %d was acknowledged, and %d with version %d came back", newest, j.h.Read.Code, version)
		return
	}
	for _, e := range j.h.Edits {
		if e.Revision != version || e.IsInvalid || e.Code/100 == 4 {
			continue
		}
		if differences, err := config.Diff(e.Document, j.h.Read.Doc); err == nil && len(differences) == 0 {
			return
		}
	}
	j.breach(RuleConfig, "version %d came back other than anything that was sent and not refused", version)
}

// judgeRouteResponses compares 404 and 202 responses with the routes of the configurations that may be in force.
func (j *judge) judgeRouteResponses() {
	edits := j.validEdits()
	for _, s := range j.h.Sent {
		if !j.h.isSettled(s.SentAt) || s.Code != 404 && s.Code != 202 {
			continue
		}
		list := check.InForce(edits, s.SentAt, s.AnsweredAt)
		lacks := func(e check.Edit) bool { return len(e.Pools[s.Lane]) == 0 }
		switch {
		case len(list) == 0:
		case s.Code == 404 && !slices.ContainsFunc(list, lacks):
			j.breach(RuleConfig, "%s got 404 at %v from %s, though route %s is there", s.Token, s.SentAt, s.Daemon, s.Lane)
		case s.Code == 202 && !slices.ContainsFunc(list, func(e check.Edit) bool { return !lacks(e) }):
			j.breach(RuleConfig, "%s was accepted at %v by %s, though route %s is not there", s.Token, s.SentAt, s.Daemon, s.Lane)
		}
	}
}

// judgeRouteRegressions checks that a daemon that has accepted messages of a route does not answer 404 for it later
// in the same incarnation, unless a newer configuration removes the route.
func (j *judge) judgeRouteRegressions() {
	edits := j.validEdits()
	isDropped := func(route string, by time.Duration) bool {
		isSeen := false
		for _, e := range edits { // in order of version
			_, isThere := e.Pools[route]
			isSeen = isSeen || isThere
			if isSeen && !isThere && e.SentAt <= by {
				return true
			}
		}
		return false
	}
	type life struct {
		daemon string
		life   int64
		route  string
	}
	taken := map[life]time.Duration{}
	for _, s := range j.h.Sent {
		key := life{s.Daemon, s.Incarnation, s.Lane}
		if at, isKnown := taken[key]; s.Code == 202 && (!isKnown || s.AnsweredAt < at) {
			taken[key] = s.AnsweredAt
		}
	}
	for _, s := range j.h.Sent {
		at, isKnown := taken[life{s.Daemon, s.Incarnation, s.Lane}]
		if s.Code == 404 && isKnown && s.SentAt > at+rollbackSlack && !isDropped(s.Lane, s.AnsweredAt) {
			j.breach(RuleConfig, "%s took messages of %s at %v and knew nothing of it at %v", s.Daemon, s.Lane, at, s.SentAt)
		}
	}
}

// judgeBrokenConnections checks that a daemon that stops gracefully does not close connections with requests under
// way.
func (j *judge) judgeBrokenConnections() {
	for _, s := range j.h.Sent {
		if !s.IsConnectionBroken || s.AnsweredAt-s.SentAt <= lossSlack || !j.h.isQuiet(s.SentAt-contactBound, s.AnsweredAt, isUnplanned) {
			continue
		}
		for _, t := range j.h.Disruptions {
			if t.IsPlanned && t.Daemon == s.Daemon && s.AnsweredAt >= t.From && s.AnsweredAt <= t.From+gracePeriod+time.Second {
				j.breach(RuleLost, "%s was cut off at %v by %s, which was asked to leave at %v", s.Token, s.AnsweredAt, s.Daemon, t.From)
			}
		}
	}
}

// judgeCommands checks that the operator's valid commands are acknowledged within acknowledgeBound of undisrupted
// time.
func (j *judge) judgeCommands() {
	for _, o := range j.h.Commands {
		end := o.AckAt
		if end == 0 {
			end = max(o.GivenUpAt, o.At+acknowledgeBound+1)
		}
		if j.h.longestUndisrupted(o.At, end, anyKind) > acknowledgeBound {
			j.breach(RuleAcks, "%s of %v was acknowledged at %v", o.Text, o.At, o.AckAt)
		}
	}
}
