package standin

import (
	"cmp"
	"slices"
	"strings"

	"caperwheel/internal/check"
)

// operation groups the submissions of one message: all submissions of a tenant with the same operation key, or a
// single submission without a key.
type operation struct {
	tenant      string
	key         string
	submissions []Submission // in order of sending
	runs        []Run        // of any of the submissions, in order of start
}

// groupOperations groups submissions and runs by operation. The caller holds the history's mutex.
func (j *judge) groupOperations() {
	type name struct{ tenant, key string }
	byName := map[name]*operation{}
	j.operations = map[string]*operation{}
	submissions := slices.Clone(j.h.Sent)
	slices.SortStableFunc(submissions, func(a, b Submission) int { return cmp.Compare(a.SentAt, b.SentAt) })
	for _, s := range submissions {
		id := name{j.tenantOf(s), s.Operation}
		o := byName[id]
		if o == nil || s.Operation == "" {
			o = &operation{tenant: id.tenant, key: s.Operation}
			j.operationList = append(j.operationList, o)
		}
		if s.Operation != "" {
			byName[id] = o
		}
		o.submissions = append(o.submissions, s)
		j.operations[s.Token] = o
	}
	for _, r := range j.h.Runs { // in order of start
		if o := j.operations[r.Token]; o != nil {
			o.runs = append(o.runs, r)
		}
	}
}

// operationOf returns the operation of a submission.
func (j *judge) operationOf(s Submission) *operation {
	if o := j.operations[s.Token]; o != nil {
		return o
	}
	return &operation{submissions: []Submission{s}, runs: j.runs[s.Token]}
}

// firstAccepted returns the submission of an operation that was accepted first.
func (o *operation) firstAccepted() (first Submission, isAccepted bool) {
	for _, s := range o.submissions {
		if s.Outcome == check.Taken && (!isAccepted || s.AnsweredAt < first.AnsweredAt) {
			first, isAccepted = s, true
		}
	}
	return first, isAccepted
}

// judgeDuplicates checks that of each operation only one submission runs, whichever daemons receive the others, and
// that all accepted submissions get the message name of the first.
func (j *judge) judgeDuplicates() {
	for _, o := range j.operationList {
		if o.key == "" {
			continue
		}
		j.judgeDuplicateRuns(o)
		j.judgeDuplicateNames(o)
	}
}

// judgeDuplicateRuns looks for two submissions of an operation that both ran, the later one sent within keyWindow of
// the earlier one.
func (j *judge) judgeDuplicateRuns(o *operation) {
	last, isKnown := Submission{}, false
	for _, s := range o.submissions {
		if !j.countsAsRun(s) {
			continue
		}
		if isKnown && s.SentAt < last.SentAt+keyWindow {
			j.breach(RuleTwice, "%s and %s, sent %v apart with the same operation key %s of tenant %q, both ran", last.Token, s.Token, s.SentAt-last.SentAt, o.key, o.tenant)
		}
		last, isKnown = s, true
	}
}

// countsAsRun reports whether a submission ran, so that no other submission of its operation may run. If the workers
// of the service deduplicate, runs that were broken off do not count.
func (j *judge) countsAsRun(s Submission) bool {
	return slices.ContainsFunc(j.runs[s.Token], func(r Run) bool { return r.Status != 0 || !j.h.Routes[s.Lane].HasDeduplication })
}

// judgeDuplicateNames checks the responses to submissions that repeat an accepted operation.
func (j *judge) judgeDuplicateNames(o *operation) {
	first, isAccepted := o.firstAccepted()
	for _, s := range o.submissions {
		isRepeat := isAccepted && s.Token != first.Token && s.SentAt > first.AnsweredAt && s.SentAt < first.SentAt+keyWindow
		switch {
		case !isAccepted || s.SentAt >= first.SentAt+keyWindow:
		case s.Outcome == check.Taken && s.Id != first.Id:
			j.breach(RuleTwice, "%s and %s, with the same operation key %s of tenant %q, got different message names: %s, %s", first.Token, s.Token, o.key, o.tenant, first.Id, s.Id)
		case isRepeat && slices.Contains(forbiddenRepeatCodes, s.Code):
			j.breach(RuleMixed, "%s repeats the accepted submission %s but was refused with status %d", s.Token, first.Token, s.Code)
		}
	}
}

// forbiddenRepeatCodes are the statuses that no repetition of an accepted message may get.
var forbiddenRepeatCodes = []int{400, 409, 410, 412, 413, 415, 422, 500, 501}

// judgeOrdering checks that on an ordered route a message begins only after all messages of the same tenant and order
// key that were accepted before its first submission have ended.
func (j *judge) judgeOrdering() {
	keys := map[string][]*operation{}
	for _, o := range j.operationList {
		if s := o.submissions[0]; s.Key != "" && j.h.Routes[s.Lane].IsOrdered {
			name := strings.Join([]string{s.Lane, o.tenant, s.Key}, "\x00")
			keys[name] = append(keys[name], o)
		}
	}
	for _, list := range keys {
		for _, o := range list {
			if len(o.runs) > 0 {
				j.judgeBegunAfter(o, list)
			}
		}
	}
}

// judgeBegunAfter checks the first run of a message against all other messages of the same order key.
func (j *judge) judgeBegunAfter(o *operation, others []*operation) {
	startedAt := o.runs[0].Start
	for _, earlier := range others {
		s, isAccepted := earlier.firstAccepted()
		if earlier == o || !isAccepted || s.AnsweredAt >= o.submissions[0].SentAt || j.hasEnded(s, startedAt) {
			continue
		}
		j.breach(RuleOrder, "order key %s of tenant %q: %s started at %v although %s, accepted at %v, had not ended", s.Key, o.tenant, o.runs[0].Token, startedAt, s.Token, s.AnsweredAt)
	}
}

// joinFinalStates passes to package check one submission for each accepted message, with the worst of the final
// states that its submissions got.
func (j *judge) joinFinalStates(h *check.History) {
	for i, s := range j.h.Sent {
		if s.Outcome != check.Taken {
			continue
		}
		first, _ := j.operationOf(s).firstAccepted()
		if first.Token != s.Token && first.Id == s.Id {
			h.Sent[i].Outcome, h.Sent[i].Id = "", ""
		}
		end := check.FinalState{State: j.finalState(s), BodySum: j.h.FinalStates[s.Token].BodySum}
		if was, isKnown := h.Finals[s.Id]; !isKnown || was.State != "unknown" && (end.State == "unknown" || end.BodySum != "") {
			h.Finals[s.Id] = end
		}
	}
}
