package standin

import (
	"time"

	"caperwheel/internal/check"
)

// stuckSlack is how long a message may wait at the end without a reason.
const stuckSlack = 15 * time.Second

// backlogSlack is how long no message may have succeeded before the end if waiting messages are to count as stuck.
const backlogSlack = 3 * time.Second

// killedSlack: a response that a process wrote so shortly before it was killed may be lost.
const killedSlack = 100 * time.Millisecond

// judgeUnanswered checks that a request that a process has read completely gets its response, unless the process is
// killed or frozen meanwhile. A submission that ran has been read completely.
func (j *judge) judgeUnanswered() {
	for _, list := range [][]Submission{j.h.Sent, j.h.AdminRequests} {
		for _, s := range list {
			hasRun := s.IsConnectionBroken && s.Outcome != check.Taken && len(j.runs[s.Token]) > 0
			if !s.IsFullyRead && !hasRun || j.wasDisrupted(s) {
				continue
			}
			j.breach(RuleLost, "%s (%s), sent at %v, was read completely by %s, but the connection was closed without a response at %v", s.Token, s.Lane, s.SentAt, s.Daemon, s.AnsweredAt)
		}
	}
}

// wasDisrupted reports whether a request's daemon was in an unplanned disruption before the request ended.
func (j *judge) wasDisrupted(s Submission) bool {
	for _, t := range j.h.Disruptions {
		if !t.IsPlanned && t.Daemon == s.Daemon && t.From <= s.AnsweredAt+killedSlack && (t.Until == 0 || t.Until >= s.SentAt) {
			return true
		}
	}
	return false
}

// JudgeWaits returns the stuck messages: those that are due but still queued at the end although nothing prevents
// their run. It is valid only after traffic has ended and all disruptions have been over for long enough to work off
// the backlog.
func JudgeWaits(h *History) []check.Breach {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := newJudge(h)
	j.judgeStuckMessages()
	return j.breaches
}

// judgeStuckMessages adds a breach for each message that has been queued for longer than stuckSlack since it was due
// and the last disruption ended.
func (j *judge) judgeStuckMessages() {
	recoveredAt := time.Duration(0)
	for _, t := range j.h.Disruptions {
		if t.Until == 0 && t.From > 0 && !t.IsPermanent {
			return // a disruption goes on
		}
		recoveredAt = max(recoveredAt, t.From, t.Until)
	}
	newest := time.Duration(0) // when the last successful run ended
	for _, r := range j.h.Runs {
		if r.Status >= 200 && r.Status <= 299 {
			newest = max(newest, r.End)
		}
	}
	for token, end := range j.h.FinalStates {
		if end.At-newest < backlogSlack {
			continue // the backlog is still being worked off, however slow the machine is
		}
		s := j.submissions[token]
		waits := end.At - max(recoveredAt, s.SentAt+s.Delay)
		if end.State == "queued" && waits > stuckSlack && !j.hasEnded(s, end.At) {
			j.breach(RuleLying, "%s (%s) has been queued for %v without a reason, after %d runs", token, s.Lane, waits.Round(time.Millisecond), len(j.operationOf(s).runs))
		}
	}
}
