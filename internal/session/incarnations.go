package session

import "slices"

// lives are those that a manager knows of one name, in the order in which it learnt of them. A process
// that has ended may still have polls under way; only one that lives goes on polling.
//
// Invariant: newest is not among the former; these are at most maxFormer, the oldest first.
type incarnations struct {
	current string
	former  []formerIncarnation
}

// formerIncarnation is a life that another has followed, and how many polls of it have come since.
type formerIncarnation struct {
	boot  string
	polls int
}

const (
	maxFormer = 4
	// pollsToConfirm is how many polls show that a life goes on: a daemon has one under way, and
	// one more where it has turned to another manager.
	pollsToConfirm = 3
)

// notePoll notes a poll of a life, and reports whether the life may be the member.
func (l *incarnations) notePoll(boot string) bool {
	for i := range l.former {
		if f := &l.former[i]; f.boot == boot {
			f.polls++
			return f.polls >= pollsToConfirm
		}
	}
	return true
}

// setCurrent notes which life is the member now.
func (l *incarnations) setCurrent(boot string) {
	if boot == l.current {
		return
	}
	l.former = slices.DeleteFunc(l.former, func(f formerIncarnation) bool { return f.boot == boot })
	if l.current != "" {
		l.former = append(l.former, formerIncarnation{boot: l.current})
	}
	l.former = l.former[max(0, len(l.former)-maxFormer):]
	l.current = boot
}
