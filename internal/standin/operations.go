package standin

import (
	"cmp"
	"slices"
	"strings"

	"caperwheel/internal/check"
)

// operation is one message as its tries have it in common: all sends of a tenant with one operation key, or
// one send without a key.
type operation struct {
	tenant string
	key    string
	sends  []Sent // in order of sending
	runs   []Run  // of any of them, in order of start
}

// gather joins sends and runs to operations. It is called with the history's mu held.
func (j *judge) gather() {
	type name struct{ tenant, key string }
	byName := map[name]*operation{}
	j.operations = map[string]*operation{}
	sends := slices.Clone(j.h.Sent)
	slices.SortStableFunc(sends, func(a, b Sent) int { return cmp.Compare(a.At, b.At) })
	for _, s := range sends {
		own := name{j.tenantOf(s), s.Operation}
		o := byName[own]
		if o == nil || s.Operation == "" {
			o = &operation{tenant: own.tenant, key: s.Operation}
			j.list = append(j.list, o)
		}
		if s.Operation != "" {
			byName[own] = o
		}
		o.sends = append(o.sends, s)
		j.operations[s.Token] = o
	}
	for _, r := range j.h.Runs { // in order of start
		if o := j.operations[r.Token]; o != nil {
			o.runs = append(o.runs, r)
		}
	}
}

// operationOf returns the operation of a send.
func (j *judge) operationOf(s Sent) *operation {
	if o := j.operations[s.Token]; o != nil {
		return o
	}
	return &operation{sends: []Sent{s}, runs: j.runs[s.Token]}
}

// accepted returns the send of an operation that was accepted first.
func (o *operation) accepted() (first Sent, isAccepted bool) {
	for _, s := range o.sends {
		if s.Told == check.Taken && (!isAccepted || s.ToldAt < first.ToldAt) {
			first, isAccepted = s, true
		}
	}
	return first, isAccepted
}

// twice: of an operation one send runs, whichever daemons the others come to, and all that are accepted are
// told the name of the first.
func (j *judge) twice() {
	for _, o := range j.list {
		if o.key == "" {
			continue
		}
		j.runTwice(o)
		j.namedTwice(o)
	}
}

// runTwice looks for two sends of an operation that both ran, the later one sent within the window of the other.
func (j *judge) runTwice(o *operation) {
	last, isKnown := Sent{}, false
	for _, s := range o.sends {
		if !j.counts(s) {
			continue
		}
		if isKnown && s.At < last.At+keyWindow {
			j.breach(RuleTwice, "%s and %s, sent %v apart with the key %s of %q, both ran", last.Token, s.Token, s.At-last.At, o.key, o.tenant)
		}
		last, isKnown = s, true
	}
}

// counts reports whether a send ran, so that no other of its operation may. Where workers keep a record of
// their own, a run that broke off is not counted.
func (j *judge) counts(s Sent) bool {
	return slices.ContainsFunc(j.runs[s.Token], func(r Run) bool { return r.Status != 0 || !j.h.Routes[s.Lane].IsShared })
}

// namedTwice holds what repeats of an accepted operation were told.
func (j *judge) namedTwice(o *operation) {
	first, isAccepted := o.accepted()
	for _, s := range o.sends {
		isRepeat := isAccepted && s.Token != first.Token && s.At > first.ToldAt && s.At < first.At+keyWindow
		switch {
		case !isAccepted || s.At >= first.At+keyWindow:
		case s.Told == check.Taken && s.Id != first.Id:
			j.breach(RuleTwice, "%s and %s, with the key %s of %q, were told two names: %s, %s", first.Token, s.Token, o.key, o.tenant, first.Id, s.Id)
		case isRepeat && slices.Contains(conflicts, s.Code):
			j.breach(RuleMixed, "%s repeats %s, which was accepted, and was refused with %d", s.Token, first.Token, s.Code)
		}
	}
}

// conflicts are statuses that no repeat of an accepted message may get.
var conflicts = []int{400, 409, 410, 412, 413, 415, 422, 500, 501}

// order: on an ordered route a message begins only when those of its tenant and key that were accepted before
// it was first sent have ended.
func (j *judge) order() {
	keys := map[string][]*operation{}
	for _, o := range j.list {
		if s := o.sends[0]; s.Key != "" && j.h.Routes[s.Lane].IsOrdered {
			name := strings.Join([]string{s.Lane, o.tenant, s.Key}, "\x00")
			keys[name] = append(keys[name], o)
		}
	}
	for _, list := range keys {
		for _, o := range list {
			if len(o.runs) > 0 {
				j.begunAfter(o, list)
			}
		}
	}
}

// begunAfter holds the first run of a message against all others about the same thing.
func (j *judge) begunAfter(o *operation, others []*operation) {
	begun := o.runs[0].Start
	for _, before := range others {
		s, isAccepted := before.accepted()
		if before == o || !isAccepted || s.ToldAt >= o.sends[0].At || j.hasEnded(s, begun) {
			continue
		}
		j.breach(RuleOrder, "key %s of %q: %s began at %v, and %s, accepted at %v, had not ended", s.Key, o.tenant, o.runs[0].Token, begun, s.Token, s.ToldAt)
	}
}

// join gives the product's check one send for each message that was accepted, with the worst that was said of it
// at last, whichever of its sends was asked for.
func (j *judge) join(h *check.History) {
	for i, s := range j.h.Sent {
		if s.Told != check.Taken {
			continue
		}
		first, _ := j.operationOf(s).accepted()
		if first.Token != s.Token && first.Id == s.Id {
			h.Sent[i].Told, h.Sent[i].Id = "", ""
		}
		end := check.End{State: j.lastWord(s), BodySum: j.h.Ends[s.Token].BodySum}
		if was, isKnown := h.Ends[s.Id]; !isKnown || was.State != "unknown" && (end.State == "unknown" || end.BodySum != "") {
			h.Ends[s.Id] = end
		}
	}
}
