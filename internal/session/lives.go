package session

import "slices"

// lives are those that a manager knows of one name, in the order in which it learnt of them. A process
// that has ended may still have polls under way; only one that lives goes on polling.
//
// Invariant: newest is not among the former; these are at most mostFormer, the oldest first.
type lives struct {
	newest string
	former []formerLife
}

// formerLife is a life that another has followed, and how many polls of it have come since.
type formerLife struct {
	boot  string
	polls int
}

const (
	mostFormer = 4
	// livingPolls is how many polls show that a life goes on: a daemon has one under way, and
	// one more where it has turned to another manager.
	livingPolls = 3
)

// polled notes a poll of a life, and reports whether the life may be the member.
func (l *lives) polled(boot string) bool {
	for i := range l.former {
		if f := &l.former[i]; f.boot == boot {
			f.polls++
			return f.polls >= livingPolls
		}
	}
	return true
}

// follow notes which life is the member now.
func (l *lives) follow(boot string) {
	if boot == l.newest {
		return
	}
	l.former = slices.DeleteFunc(l.former, func(f formerLife) bool { return f.boot == boot })
	if l.newest != "" {
		l.former = append(l.former, formerLife{boot: l.newest})
	}
	l.former = l.former[max(0, len(l.former)-mostFormer):]
	l.newest = boot
}
