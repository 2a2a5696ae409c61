package host

import (
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// A snapshot larger than one message is sent in parts: Commit is the offset of a part, and Reject marks the
// last one. Parts may arrive in any order or be lost; the owner resends the whole snapshot until it is
// installed.
const (
	snapshotMessageBytesLimit = 8 << 20 // up to this size a snapshot is one message, as in wire version 1
	maxSnapshotBytes          = 1 << 30
)

// partBuffer collects the parts of one snapshot. Invariant: all are of the same sender, term and index;
// size never exceeds maxSnapshotBytes.
type partBuffer struct {
	header   wire.GroupMsg // the message without state
	byOffset map[int64][]byte
	size     int64
	total    int64 // -1 until the last part has arrived
}

// splitSnapshot returns the messages that carry a snapshot, each with at most maxBytes of it.
func splitSnapshot(m wire.GroupMsg, state []byte, maxBytes int) []wire.GroupMsg {
	if len(state) <= maxBytes {
		m.State = state
		return []wire.GroupMsg{m}
	}
	out := []wire.GroupMsg{}
	for at := 0; at < len(state); at += maxBytes {
		part := m
		part.Kind, part.Commit = group.MsgSnapshotChunk, int64(at)
		part.State, part.Reject = state[at:min(at+maxBytes, len(state))], at+maxBytes >= len(state)
		out = append(out, part)
	}
	return out
}

// add adds a part, and returns the snapshot once all of its bytes have arrived.
func (p *partBuffer) add(m wire.GroupMsg) (snapshot wire.GroupMsg, isComplete bool) {
	if p.byOffset == nil || p.header.From != m.From || p.header.Term != m.Term || p.header.Index != m.Index {
		*p = partBuffer{header: m, byOffset: map[int64][]byte{}, total: -1}
	}
	if m.Commit < 0 || p.byOffset[m.Commit] != nil || p.size+int64(len(m.State)) > maxSnapshotBytes {
		return snapshot, false
	}
	p.byOffset[m.Commit] = m.State
	p.size += int64(len(m.State))
	if m.Reject {
		p.total = m.Commit + int64(len(m.State))
	}
	if p.size != p.total {
		return snapshot, false
	}
	snapshot = m
	snapshot.Kind, snapshot.Commit, snapshot.Reject, snapshot.State = group.MsgSnapshot, 0, false, make([]byte, 0, p.total)
	for at := int64(0); at < p.total; {
		part := p.byOffset[at]
		if len(part) == 0 { // parts of two different splits: start again
			*p = partBuffer{}
			return snapshot, false
		}
		snapshot.State = append(snapshot.State, part...)
		at += int64(len(part))
	}
	*p = partBuffer{}
	return snapshot, int64(len(snapshot.State)) == int64(cap(snapshot.State))
}
