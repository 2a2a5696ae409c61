package explore

// mutant is one guard taken out: where, the text that has it, and the text
// without. The replaced sources exist only while the test runs; isMutant picks
// one by its name, so that one build serves all.
type mutant struct {
	name     string
	file     string
	old, new string
	search   string // the search that must find it, or the first seed of walks; from 0 on if empty
}

// mutants is the table of guards. Each must be found by its search.
var mutants = []mutant{
	{"a vote without comparing logs", "group/elect.go",
		"g.isUpToDate(m) && g.role == Follower", "(IsMutant(NAME) || g.isUpToDate(m)) && g.role == Follower", "walk 144"},
	{"two votes in a term", "group/elect.go",
		"(g.hard.Vote == \"\" ||", "(IsMutant(NAME) || g.hard.Vote == \"\" ||", "split"},
	{"a vote that is not saved", "group/elect.go",
		"g.hard.Vote = m.From\n\t\tg.saveHard(out)", "g.hard.Vote = m.From\n\t\tif !IsMutant(NAME) {\n\t\t\tg.saveHard(out)\n\t\t}", "split"},
	{"a term that is not saved", "group/elect.go",
		"term, \"\"\n\t\tg.saveHard(out)", "term, \"\"\n\t\tif !IsMutant(NAME) {\n\t\t\tg.saveHard(out)\n\t\t}", "deposed"},
	{"a pre-vote counts as a vote", "group/elect.go",
		"g.role == Candidate && m.Kind == MsgVoteReply && m.Term == g.hard.Term",
		"g.role == Candidate && (m.Kind == MsgVoteReply && m.Term == g.hard.Term || IsMutant(NAME) && m.Kind == MsgPreVoteReply)", "founding"},
	{"a blank replica votes", "group/elect.go",
		"return len(g.roster()) > 0", "return IsMutant(NAME) || len(g.roster()) > 0", "old name"},
	{"a round counts before it is answered", "group/view.go",
		"if g.hasMajority(func(m string) bool {", "if IsMutant(NAME) || g.hasMajority(func(m string) bool {", "restarted"},
	{"reads before the own term has a commit", "group/view.go",
		"g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex", "(IsMutant(NAME) || g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex)", ""},
	{"an old term's commit by counting", "group/append.go",
		"&& t == g.hard.Term {", "&& (IsMutant(NAME) || t == g.hard.Term) {", "contested"},
	{"the own log counts unsynced", "group/append.go",
		"return g.synced", "if IsMutant(NAME) {\n\t\t\treturn g.last()\n\t\t}\n\t\treturn g.synced", ""},
	{"replaced entries count as synced", "group/append.go",
		"g.synced = min(g.synced, e.Index-1)", "if !IsMutant(NAME) {\n\t\t\tg.synced = min(g.synced, e.Index-1)\n\t\t}", ""},
	{"a learner counts as a voter", "group/append.go",
		"for _, m := range Voters(g.roster()) {\n\t\tmatches", "for _, m := range countedIn(NAME, g.roster()) {\n\t\tmatches", ""},
	{"a commit beyond what the message proves", "group/append.go",
		"min(m.Commit, tail)", "min(m.Commit, map[bool]int64{false: tail, true: g.last()}[IsMutant(NAME)])", "walk 709"},
	{"entries after a gap or another history", "group/append.go",
		"if !isHeld || term != m.LogTerm {", "if !isHeld || term != m.LogTerm && !IsMutant(NAME) {", "walk 709"},
	{"an old owner's append", "group/step.go",
		"if m.Term < g.hard.Term {", "if m.Term < g.hard.Term && !(IsMutant(NAME) && m.Kind == MsgAppend) {", "deposed"},
	{"an answer to an old term counts", "group/step.go",
		"if !g.checkTerm(m, now, &out) {", "if !(IsMutant(NAME) && m.Kind == MsgAppendReply && m.Term < g.hard.Term) && !g.checkTerm(m, now, &out) {", "restarted"},
	{"an older image over what is committed", "group/append.go",
		"} else if m.Index > g.hard.Commit {", "} else if IsMutant(NAME) || m.Index > g.hard.Commit {", "walk 927"},
	{"an image takes an acknowledged tail back", "group/append.go",
		"isHeld && term == m.LogTerm {\n\t\t// Our", "isHeld && term == m.LogTerm && !IsMutant(NAME) {\n\t\t// Our", "images"},
	{"a learner is promoted at once", "group/roster.go",
		"g.isCaughtUp(c.Promote)", "(IsMutant(NAME) || g.isCaughtUp(c.Promote))", ""},
	{"two roster changes at once", "group/roster.go",
		"if g.rosters[len(g.rosters)-1].index > g.hard.Commit ||", "if g.rosters[len(g.rosters)-1].index > g.hard.Commit && !IsMutant(NAME) ||", ""},
	{"a roster change before the own term has a commit", "group/roster.go",
		"|| g.hard.Commit < g.noOpIndex {", "|| g.hard.Commit < g.noOpIndex && !IsMutant(NAME) {", "rosters"},
	{"an owner that has left sends on", "group/progress.go",
		"if g.role == Owner && p.next", "if (IsMutant(NAME) || g.role == Owner) && p.next", "walk 95"},
	{"an owner alone speaks before its disk knows", "group/group.go",
		"if g.role == Owner && g.synced < g.noOpIndex", "if !IsMutant(NAME) && g.role == Owner && g.synced < g.noOpIndex", "one"},
	{"messages leave before the write is synced", "explore/host.go",
		"case out.Persist != nil:", "case out.Persist != nil && group.IsMutant(NAME):\n\t\tw.send(r, out.SendAfterSync)\n\t\tr.unsynced = append(r.unsynced, write{persist: out.Persist})\n\tcase out.Persist != nil:", ""},
	{"a blank disk under its old name", "explore/host.go",
		"r.id, r.disk, r.unsynced = idOf", "if group.IsMutant(NAME) {\n\t\tr.disk, r.unsynced = disk{}, nil\n\t\tw.start(r)\n\t\treturn\n\t}\n\tr.id, r.disk, r.unsynced = idOf", ""},
}

// equivalentMutants are guards that others cover: nothing is found without them. A successor
// that lacks entries is refused by those who have them. A majority that has
// synced an owner's first entry has answered its first round, too. Writes are
// synced in order, so that none of before an election is left after it.
var equivalentMutants = []mutant{
	{"a sync of replaced entries counts", "group/step.go",
		"isHeld && t == term {", "isHeld && (IsMutant(NAME) || t == term) {", ""},
	{"sure of the term before", "group/elect.go",
		"g.isConfirmed = false", "g.isConfirmed = g.isConfirmed && IsMutant(NAME)", ""},
	{"the heir is called before it has all", "group/transfer.go",
		"p != nil && p.match == g.last() {", "p != nil && (IsMutant(NAME) || p.match == g.last()) {", "hand-over"},
}
