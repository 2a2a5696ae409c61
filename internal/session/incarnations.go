package session

import "slices"

// incarnations are the processes of one daemon name that a manager knows of, in the order in which it
// learned of them. A process that has ended may still have polls in flight; only a live one continues to
// poll.
//
// Invariant: current is not among the former ones, of which there are at most maxFormer, oldest first.
type incarnations struct {
	current string
	former  []formerIncarnation
}

// formerIncarnation is a process that another has succeeded, with the number of polls received from it
// since.
type formerIncarnation struct {
	boot  string
	polls int
}

const (
	// maxFormer bounds the former processes of one name that are remembered.
	maxFormer = 4
	// pollsToConfirm is the number of polls that show that a process is live: a daemon has one in flight,
	// and a second one if it has failed over to another manager.
	pollsToConfirm = 3
)

// notePoll counts a poll of a process and reports whether the process may be the member.
func (l *incarnations) notePoll(boot string) bool {
	for i := range l.former {
		if f := &l.former[i]; f.boot == boot {
			f.polls++
			return f.polls >= pollsToConfirm
		}
	}
	return true
}

// setCurrent records which process is the member now.
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
