package explore

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// Digest identifies a state up to symmetry: two states with the same digest differ at most by a permutation of the
// founding members. The reverse does not hold in all cases: states that are equal up to a permutation may have
// different digests if the signatures of some members are equal, because a full comparison would be too expensive.
type Digest [16]byte

// Digest returns the digest of this state.
func (w *World) Digest() Digest {
	order, rename := w.canonicalOrder()
	raw := make([]byte, 0, 2048)
	for _, at := range order {
		raw = w.replicas[at].canonical(raw, rename)
	}
	raw = appendMessages(raw, w.inFlight, rename)
	raw = group.AppendEntries(raw, w.ghost.committed)
	raw = appendSet(appendSet(raw, w.ghost.roster, rename), w.ghost.commitRoster, rename)
	for _, n := range w.eventCounts[Duplicate:] {
		raw = binary.AppendVarint(raw, int64(n))
	}
	lines := []string{}
	for m, d := range w.ghost.replacedDisks {
		lines = append(lines, string(d.canonical([]byte(rename(m)), rename)))
	}
	for term, owner := range w.ghost.termOwners {
		id, rest, _ := strings.Cut(owner, " ")
		lines = append(lines, fmt.Sprint(term, rename(id), rest))
	}
	slices.Sort(lines)
	for _, line := range lines {
		raw = append(raw, line...)
	}
	sum := sha256.Sum256(raw)
	return Digest(sum[:16])
}

// canonicalOrder sorts the replicas by signature. It returns their indices in that order, and a function that renames
// members accordingly.
func (w *World) canonicalOrder() ([]int, func(string) string) {
	signatures := make([][]byte, len(w.replicas))
	order := make([]int, len(w.replicas))
	for i, r := range w.replicas {
		order[i] = i
		signatures[i] = slices.Clip(r.signature(i >= w.options.Members))
		for _, m := range w.inFlight {
			if group.Name(m.To) == r.name {
				signatures[i] = append(signatures[i], byte(m.Kind), byte(m.Term), byte(m.Index))
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return bytes.Compare(signatures[a], signatures[b]) })
	renamed := make(map[string]string, len(order))
	for i, at := range order {
		renamed[w.replicas[at].name] = string(rune('A' + i))
	}
	return order, func(member string) string {
		name, disk, _ := strings.Cut(strings.TrimPrefix(member, "~"), "/")
		prefix := ""
		if group.IsLearner(member) {
			prefix = "~"
		}
		return prefix + renamed[name] + disk
	}
}

// signature returns the encoded state of a replica without any member names. The signature of a spare machine always
// differs from that of a founding member.
func (r *replica) signature(isSpare bool) []byte {
	if r.cachedSignature == nil {
		first := byte(0)
		if isSpare {
			first = 1
		}
		r.cachedSignature = r.canonical([]byte{first}, func(string) string { return "" })
	}
	return r.cachedSignature
}

// canonical appends the encoded state of a replica, with members renamed.
func (r *replica) canonical(raw []byte, rename func(string) string) []byte {
	raw = r.stateMachine.Canonical(append(raw, 0), r.now, rename)
	for _, m := range r.commitMarks {
		raw = binary.AppendVarint(raw, int64(m.committed))
	}
	raw = binary.AppendVarint(raw, r.applied)
	raw = binary.AppendVarint(raw, int64(r.startCount))
	if r.isOwner {
		raw = append(raw, 1)
	}
	if r.snapshot != nil {
		raw = binary.AppendVarint(raw, r.snapshot.Index)
	}
	raw = r.disk.canonical(raw, rename)
	for _, unsynced := range r.unsynced {
		raw = append(raw, 2)
		if unsynced.fullState != nil {
			raw = unsynced.fullState.canonical(raw, rename)
		}
		if p := unsynced.persist; p != nil {
			raw = disk{snapshot: p.Snapshot, log: p.Entries}.canonical(raw, rename)
			if p.Hard != nil {
				raw = disk{hardState: *p.Hard}.canonical(raw, rename)
			}
		}
		for i := range unsynced.sendAfter {
			raw = append(raw, appendMessage(nil, &unsynced.sendAfter[i], rename)...)
		}
	}
	return raw
}

// canonical appends the encoded content of a disk, with members renamed.
func (d disk) canonical(raw []byte, rename func(string) string) []byte {
	raw = append(append(raw, 3, byte(d.hardState.Term), byte(d.hardState.Commit)), rename(d.hardState.Vote)...)
	if d.snapshot != nil {
		raw = append(raw, 4, byte(d.snapshot.Index), byte(d.snapshot.Term))
		raw = appendSet(raw, d.snapshot.Roster, rename)
	}
	return appendLog(raw, d.log, rename)
}

// appendLog appends log entries, and the renamed members of roster entries.
func appendLog(raw []byte, log []wire.Entry, rename func(string) string) []byte {
	raw = group.AppendEntries(raw, log)
	for _, e := range log {
		if e.Kind == group.EntryRoster {
			raw = appendSet(raw, rosterOf(e), rename)
		}
	}
	return raw
}

// appendSet appends the renamed members in sorted order.
func appendSet(raw []byte, members []string, rename func(string) string) []byte {
	list := []string{}
	for _, m := range members {
		list = append(list, rename(m))
	}
	slices.Sort(list)
	return append(append(raw, strings.Join(list, ",")...), 0)
}

// appendMessages appends messages in an order that does not depend on when they were sent.
func appendMessages(raw []byte, messages []*wire.GroupMsg, rename func(string) string) []byte {
	list := make([]string, 0, len(messages))
	for _, m := range messages {
		list = append(list, string(appendMessage(make([]byte, 0, 64), m, rename)))
	}
	slices.Sort(list)
	raw = binary.AppendVarint(raw, int64(len(list)))
	for _, one := range list {
		raw = append(raw, one...)
	}
	return raw
}

// appendMessage appends one message, with members renamed.
func appendMessage(raw []byte, m *wire.GroupMsg, rename func(string) string) []byte {
	raw = append(raw, byte(m.Kind))
	for _, n := range []int64{m.Term, m.Index, m.LogTerm, m.Commit, m.Round} {
		raw = binary.AppendVarint(raw, n)
	}
	if m.Reject {
		raw = append(raw, 1)
	}
	raw = append(append(append(raw, rename(m.From)...), 0), rename(m.To)...)
	return appendSet(appendLog(raw, m.Entries, rename), m.Roster, rename)
}
