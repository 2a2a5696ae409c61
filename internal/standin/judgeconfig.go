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
			j.breach(RuleConfig, "the invalid configuration with version %d was acknowledged", e.Revision)
			continue
		}
		if other, isKnown := byBase[e.Base]; isKnown && other != e.Revision {
			j.breach(RuleConfig, "versions %d and %d, both based on version %d, were acknowledged", other, e.Revision, e.Base)
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
		j.breach(RuleConfig, "version %d was acknowledged, but reading the configuration returned status %d and version %d", newest, j.h.Read.Code, version)
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
	j.breach(RuleConfig, "version %d was read, with content that differs from every configuration sent and not refused", version)
}

// judgeRouteResponses compares 404 and 202 responses with the routes of the configurations that may be in force.
func (j *judge) judgeRouteResponses() {
	edits := j.validEdits()
	for _, s := range j.h.Sent {
		if !j.h.isSettled(s.SentAt) || s.Code != 404 && s.Code != 202 {
			continue
		}
		list := check.InForce(edits, s.SentAt, s.AnsweredAt)
		isRouteMissing := func(e check.Edit) bool { return len(e.Pools[s.Lane]) == 0 }
		switch {
		case len(list) == 0:
		case s.Code == 404 && !slices.ContainsFunc(list, isRouteMissing):
			j.breach(RuleConfig, "%s, sent at %v, got 404 from %s although the configuration in force has route %s", s.Token, s.SentAt, s.Daemon, s.Lane)
		case s.Code == 202 && !slices.ContainsFunc(list, func(e check.Edit) bool { return !isRouteMissing(e) }):
			j.breach(RuleConfig, "%s, sent at %v, was accepted by %s although the configuration in force has no route %s", s.Token, s.SentAt, s.Daemon, s.Lane)
		}
	}
}

// judgeRouteRegressions checks that a daemon that has accepted messages of a route does not answer 404 for it later
// in the same incarnation, unless a newer configuration removes the route.
func (j *judge) judgeRouteRegressions() {
	edits := j.validEdits()
	isRouteRemoved := func(route string, by time.Duration) bool {
		isSeen := false
		for _, e := range edits { // in order of version
			_, isFound := e.Pools[route]
			isSeen = isSeen || isFound
			if isSeen && !isFound && e.SentAt <= by {
				return true
			}
		}
		return false
	}
	type daemonRoute struct {
		daemon      string
		incarnation int64
		route       string
	}
	acceptedAt := map[daemonRoute]time.Duration{}
	for _, s := range j.h.Sent {
		key := daemonRoute{s.Daemon, s.Incarnation, s.Lane}
		if at, isKnown := acceptedAt[key]; s.Code == 202 && (!isKnown || s.AnsweredAt < at) {
			acceptedAt[key] = s.AnsweredAt
		}
	}
	for _, s := range j.h.Sent {
		at, isKnown := acceptedAt[daemonRoute{s.Daemon, s.Incarnation, s.Lane}]
		if s.Code == 404 && isKnown && s.SentAt > at+rollbackSlack && !isRouteRemoved(s.Lane, s.AnsweredAt) {
			j.breach(RuleConfig, "%s accepted messages of route %s at %v but answered 404 for it at %v", s.Daemon, s.Lane, at, s.SentAt)
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
				j.breach(RuleLost, "the connection of %s was closed without a response at %v by %s, which was asked to stop at %v", s.Token, s.AnsweredAt, s.Daemon, t.From)
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
			j.breach(RuleAcks, "%s, sent at %v, was acknowledged too late or never: at %v", o.Text, o.At, o.AckAt)
		}
	}
}
