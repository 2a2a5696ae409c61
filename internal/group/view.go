package group

import (
	"math"
	"slices"
	"time"

	"caperwheel/internal/timing"
)

// View is a read-only summary of a replica's state.
type View struct {
	Role        Role
	Term        int64
	Owner       string        // member id of the owner, or of its successor during a transfer; empty if not known
	Commit      int64         // commit index
	Last        int64         // index of the last entry in the log
	Roster      []string      // the newest roster in the log
	Lag         int64         // number of entries that the slowest voter lacks; owners only
	CaughtUp    []string      // responding voters that have all that was committed at the last heartbeat; owners only
	ConfirmedAt time.Duration // send time of the newest heartbeat round that a majority has answered
	IsConfirmed bool          // ConfirmedAt is valid: reads as of that time are linearizable
	CommonLevel int64         // newest feature level that all members can apply; owners only
}

// View returns a summary of the current state of the replica.
func (g *Group) View() View {
	v := View{Role: g.role, Term: g.hard.Term, Owner: g.owner, Commit: g.hard.Commit, Last: g.last(),
		Roster: slices.Clone(g.roster()), ConfirmedAt: g.confirmedAt,
		IsConfirmed: g.role == Owner && g.isConfirmed && g.hard.Commit >= g.noOpIndex && g.applied >= g.noOpIndex}
	if g.successor != "" {
		v.Owner = g.successor // clients are redirected to the successor
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

// caughtUpVoters returns the responding voters whose synced log has everything that was committed when the owner's last
// heartbeat round was sent.
func (g *Group) caughtUpVoters() []string {
	out := []string{}
	for _, m := range Voters(g.roster()) {
		if g.isResponding(m) && g.matchOf(m) >= g.heartbeatCommit {
			out = append(out, m)
		}
	}
	return out
}

// Silence returns how long ago an owner last heard from a store that holds the group. A store that has not answered
// this owner within its first election timeout was silent before the ownership began. For how long is not known here,
// so the maximum duration is returned and the caller decides by its other information.
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

// IsEveryVoterResponding reports whether every voter has answered one of the owner's last heartbeat rounds.
func (g *Group) IsEveryVoterResponding() bool {
	return !slices.ContainsFunc(Voters(g.roster()), func(m string) bool { return !g.isResponding(m) })
}

// confirm finds the newest heartbeat round that a majority has answered. This replica was the owner when it was sent.
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
