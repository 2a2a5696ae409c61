package explore

// mutant is the removal of one guard: a file, a piece of its source, and the replacement. The replacement is used only
// in the build of the test. The call IsMutant(NAME) in it selects the mutant by name, so that one build serves all.
type mutant struct {
	name     string
	file     string
	old, new string
	search   string // the scenario that must find it, or the first seed of the walks; from seed 0 on if empty
}

// mutants is the table of guards. The search of each one must find a breach.
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
	{"a heartbeat round counts before it is answered", "group/view.go",
		"if g.hasMajority(func(m string) bool {", "if IsMutant(NAME) || g.hasMajority(func(m string) bool {", "restarted"},
	{"reads before the owner's term has a commit", "group/view.go",
		"g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex", "(IsMutant(NAME) || g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex)", ""},
	{"an entry of an older term is committed by counting replicas", "group/append.go",
		"&& t == g.hard.Term {", "&& (IsMutant(NAME) || t == g.hard.Term) {", "contested"},
	{"unsynced entries of the owner count for a commit", "group/append.go",
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
	{"a reply to an older term counts", "group/step.go",
		"if !g.checkTerm(m, now, &out) {", "if !(IsMutant(NAME) && m.Kind == MsgAppendReply && m.Term < g.hard.Term) && !g.checkTerm(m, now, &out) {", "restarted"},
	{"an older snapshot replaces committed entries", "group/append.go",
		"} else if m.Index > g.hard.Commit {", "} else if IsMutant(NAME) || m.Index > g.hard.Commit {", "walk 927"},
	{"a snapshot discards acknowledged entries after it", "group/append.go",
		"isHeld && term == m.LogTerm {\n\t\t// Our", "isHeld && term == m.LogTerm && !IsMutant(NAME) {\n\t\t// Our", "images"},
	{"a learner is promoted at once", "group/roster.go",
		"g.isCaughtUp(c.Promote)", "(IsMutant(NAME) || g.isCaughtUp(c.Promote))", ""},
	{"two roster changes at once", "group/roster.go",
		"if g.rosters[len(g.rosters)-1].index > g.hard.Commit ||", "if g.rosters[len(g.rosters)-1].index > g.hard.Commit && !IsMutant(NAME) ||", ""},
	{"a roster change before the owner's term has a commit", "group/roster.go",
		"|| g.hard.Commit < g.noOpIndex {", "|| g.hard.Commit < g.noOpIndex && !IsMutant(NAME) {", "rosters"},
	{"a former owner keeps sending", "group/progress.go",
		"if g.role == Owner && p.next", "if (IsMutant(NAME) || g.role == Owner) && p.next", "walk 95"},
	{"the owner of a group of one sends before it has synced", "group/group.go",
		"if g.role == Owner && g.synced < g.noOpIndex", "if !IsMutant(NAME) && g.role == Owner && g.synced < g.noOpIndex", "one"},
	{"messages are sent before the write is synced", "explore/host.go",
		"case out.Persist != nil:", "case out.Persist != nil && group.IsMutant(NAME):\n\t\tw.send(r, out.SendAfterSync)\n\t\tr.unsynced = append(r.unsynced, write{persist: out.Persist})\n\tcase out.Persist != nil:", ""},
	{"a blank disk under its old id", "explore/host.go",
		"r.id, r.disk, r.unsynced = idOf", "if group.IsMutant(NAME) {\n\t\tr.disk, r.unsynced = disk{}, nil\n\t\tw.start(r)\n\t\treturn\n\t}\n\tr.id, r.disk, r.unsynced = idOf", ""},
}

// equivalentMutants remove guards that others cover, so that no breach is found. A successor that lacks entries is
// refused votes by the members that have them. A majority that has synced the first entry of an owner has also answered
// its first round. Writes are synced in order, so no write from before an election is left to be synced after it.
var equivalentMutants = []mutant{
	{"a sync of replaced entries counts", "group/step.go",
		"isHeld && t == term {", "isHeld && (IsMutant(NAME) || t == term) {", ""},
	{"a confirmation of the term before counts", "group/elect.go",
		"g.isConfirmed = false", "g.isConfirmed = g.isConfirmed && IsMutant(NAME)", ""},
	{"the successor campaigns before it has all entries", "group/transfer.go",
		"p != nil && p.match == g.last() {", "p != nil && (IsMutant(NAME) || p.match == g.last()) {", "hand-over"},
}
