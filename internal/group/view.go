package group

import (
	"math"
	"slices"
	"time"

	"caperwheel/internal/timing"
)

// View is what others may know of a replica.
type View struct {
	Role        Role
	Term        int64
	Owner       string
	Commit      int64
	Last        int64
	Roster      []string
	Lag         int64    // entries that the slowest voter misses; owners only
	CaughtUp    []string // voters with all that was committed when the last round began; owners only
	ConfirmedAt time.Duration
	IsConfirmed bool  // Confirmed holds: reads as of then are safe
	CommonLevel int64 // the newest feature level that all members can apply; owners only
}

// View of this replica now.
func (g *Group) View() View {
	v := View{Role: g.role, Term: g.hard.Term, Owner: g.owner, Commit: g.hard.Commit, Last: g.last(),
		Roster: slices.Clone(g.roster()), ConfirmedAt: g.confirmedAt,
		IsConfirmed: g.role == Owner && g.isConfirmed && g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex}
	if g.successor != "" {
		v.Owner = g.successor // whoever asks is sent there
	}
	for _, m := range Voters(g.roster()) {
		if p := g.peers[m]; g.role == Owner && m != g.opts.Self && p != nil {
			v.Lag = max(v.Lag, g.last()-p.match)
		}
	}
	if g.role == Owner {
		v.CaughtUp, v.CommonLevel = g.caughtUpVoters(), g.commonLevel()
	}
	return v
}

// caughtUpVoters gives the voters whose synced log has all that was committed when the
// owner's last round began, and that answered one of the last rounds.
func (g *Group) caughtUpVoters() []string {
	out := []string{}
	for _, m := range Voters(g.roster()) {
		if g.isResponding(m) && g.matchOf(m) >= g.heartbeatCommit {
			out = append(out, m)
		}
	}
	return out
}

// Silence returns for how long an owner has not heard of a store that holds the
// group. A store that never answered this owner, and left its first rounds
// unanswered, was silent before the owner began: how long is not known here, so the
// longest span is returned, and whoever asks goes by what else is known.
func (g *Group) Silence(name string, now time.Duration) time.Duration {
	if name == Name(g.opts.Self) {
		return 0
	}
	heardAt, hasAnswered := g.ownedAt, false
	for member, p := range g.peers {
		if Name(member) == name && p.acked > 0 {
			heardAt, hasAnswered = max(heardAt, p.ackedAt), true
		}
	}
	if !hasAnswered && now-g.ownedAt >= g.opts.Bounds.Of(timing.ElectionTimeout) {
		return math.MaxInt64
	}
	return now - heardAt
}

// IsEveryVoterResponding reports whether every voter has answered one of the owner's last rounds.
func (g *Group) IsEveryVoterResponding() bool {
	return !slices.ContainsFunc(Voters(g.roster()), func(m string) bool { return !g.isResponding(m) })
}

// confirm finds the newest round that a majority has answered.
func (g *Group) confirm(now time.Duration) {
	for i := len(g.rounds) - 1; i >= 0; i-- {
		r := g.rounds[i]
		if g.hasMajority(func(m string) bool {
			return m == g.opts.Self || g.peers[m] != nil && g.peers[m].acked >= r.round
		}) {
			g.confirmedAt, g.isConfirmed = max(g.confirmedAt, r.at), true
			g.rounds = g.rounds[i+1:]
			return
		}
	}
}
