package standin

import (
	"cmp"
	"slices"
	"time"
)

// judgeUnasked checks that workers run only messages that a client submitted, with the same request line.
func (j *judge) judgeUnasked() {
	for _, r := range j.h.Runs {
		s, isKnown := j.submissions[r.Token]
		switch {
		case !isKnown:
			j.breach(RuleUnasked, "worker %s ran %q, which no client submitted", r.Worker, r.Token)
		case r.RequestLine != s.RequestLine:
			j.breach(RuleUnasked, "%s was submitted as %q but reached worker %s as %q", r.Token, s.RequestLine, r.Worker, r.RequestLine)
		}
	}
}

// successStamps lists the stamps of a message's successful runs.
func (j *judge) successStamps(s Submission) []string {
	out := []string{}
	for _, r := range j.operationOf(s).runs {
		if r.Status >= 200 && r.Status <= 299 {
			out = append(out, r.Stamp)
		}
	}
	return out
}

// judgeReportedState compares a reported end of a message with the workers' runs; source names where it was reported.
func (j *judge) judgeReportedState(s Submission, source, state, stamp string, at time.Duration) {
	switch {
	case state == "completed" && !slices.Contains(j.successStamps(s), stamp):
		j.breach(RuleMixed, "%s reports %s as completed with stamp %q, which no successful run returned", source, s.Token, stamp)
	case state == "dead_letter" && !j.hasEnded(s, at):
		j.breach(RuleMixed, "%s reports %s as a dead letter although it has not ended", source, s.Token)
	}
}

// judgeFinalStates checks the final states that the service reports.
func (j *judge) judgeFinalStates() {
	for token, end := range j.h.FinalStates {
		j.judgeReportedState(j.submissions[token], "the state", end.State, end.Stamp, end.At)
	}
}

// judgeCallbacks checks that call-backs are for messages that asked for one, and that the reported state is right.
func (j *judge) judgeCallbacks() {
	for _, t := range j.h.Callbacks {
		s, isKnown := j.submissions[t.Token]
		switch {
		case !isKnown || !s.IsNotified:
			j.breach(RuleMixed, "a call-back was received for %q, which did not request one", t.Token)
		case t.State != "completed" && t.State != "dead_letter":
			j.breach(RuleMixed, "a call-back for %s has the state %q, which is not final", t.Token, t.State)
		default:
			j.judgeReportedState(s, "a call-back", t.State, t.Stamp, t.At)
		}
	}
}

// judgeEarlyRuns checks that no message begins before its delay, counted from its submission, is over.
func (j *judge) judgeEarlyRuns() {
	for _, r := range j.h.Runs {
		s := j.submissions[r.Token]
		if s.Delay > 0 && r.Start < s.SentAt+s.Delay-maxEarlyStart-earlyStartSlack {
			j.breach(RuleOrder, "%s started %v before the end of its delay of %v", r.Token, s.SentAt+s.Delay-r.Start, s.Delay)
		}
	}
}

// judgeRates compares the arrivals with the rate limits of services and with those of cold workers.
func (j *judge) judgeRates() {
	arrivals := map[string][]time.Duration{}
	for _, m := range j.h.Arrivals {
		if j.h.Services[m.Service].Rate > 0 {
			arrivals[m.Service] = append(arrivals[m.Service], m.At)
		}
	}
	for service, list := range arrivals {
		maxArrivals := j.h.Services[service].Rate*ceilingWindow.Seconds()*ceilingOvershoot + ceilingSlack
		if got, at := densestWindow(list, ceilingWindow); float64(got) > maxArrivals {
			j.breach(RuleCeiling, "service %s received %d requests in the %v before %v, more than the limit of %v", service, got, ceilingWindow, at, maxArrivals)
		}
	}
	cold := map[[2]string][]time.Duration{}
	for _, m := range j.h.Arrivals {
		if m.IsCold && j.h.Services[m.Service].ColdRate > 0 {
			cold[[2]string{m.Service, m.Worker}] = append(cold[[2]string{m.Service, m.Worker}], m.At)
		}
	}
	for worker, list := range cold {
		maxArrivals := j.h.Services[worker[0]].ColdRate*coldOvershoot + coldSlack
		if got, at := densestWindow(list, time.Second); float64(got) > maxArrivals {
			j.breach(RuleFailback, "cold worker %s received %d requests in the second before %v, more than the limit of %v", worker[1], got, at, maxArrivals)
		}
	}
}

// densestWindow returns the largest number of moments within any window of that length, and the end of that window.
func densestWindow(list []time.Duration, window time.Duration) (count int, until time.Duration) {
	slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	first := 0
	for i, at := range list {
		for list[first] <= at-window {
			first++
		}
		if i-first+1 > count {
			count, until = i-first+1, at
		}
	}
	return count, until
}
