package store

import (
	"caperwheel/internal/group"
	"caperwheel/internal/wire"
)

// post sends a request to an adapter.
func (s *Store) post(who wire.Who, request any, answer func(any, error)) error {
	return s.d.Node.Peer(wire.RunLink, who.Addr).Post(request, answer)
}

// sendGroupMessage sends a message of a group to the store of the member that it is for.
func (s *Store) sendGroupMessage(m wire.GroupMsg) {
	if who, isMember := s.d.Membership.Find(group.Name(m.To)); isMember {
		replaceNils(&m)
		_ = s.d.Node.Peer(wire.GroupLink, who.Addr).Post(&m, nil) // lost messages are sent again at intervals
	}
}

// queuedLinkBytesLimit limits the bytes queued for the link to another store. Beyond it, the store's groups send that
// store no more entries, because their heartbeats share the link and must not be late.
const queuedLinkBytesLimit = 256 << 10

// hasRoom reports whether the link to a member's store accepts more entries.
func (s *Store) hasRoom(member string) bool {
	who, isMember := s.d.Membership.Find(group.Name(member))
	return isMember && s.d.Node.Peer(wire.GroupLink, who.Addr).HasSendCapacity(queuedLinkBytesLimit)
}

// replaceNils replaces nil slices by empty ones.
func replaceNils(m *wire.GroupMsg) {
	if m.Entries == nil {
		m.Entries = []wire.Entry{}
	}
	if m.State == nil {
		m.State = []byte{}
	}
	if m.Roster == nil {
		m.Roster = []string{}
	}
}

// onGroup serves other stores: ballots, and the messages of groups.
func (s *Store) onGroup(from wire.Who, body any, answer func(any)) {
	switch m := body.(type) {
	case *wire.Ballot:
		go func() { answer(s.bootstrapper.onBallot(m)) }() // it writes to disk
	case *wire.GroupMsg:
		if !s.isOpen.Load() {
			return
		}
		h := s.hostOf(m.Group)
		if h == nil {
			if m.Kind != group.MsgAppend && m.Kind != group.MsgSnapshot && m.Kind != group.MsgSnapshotChunk {
				return
			}
			h = s.openGroup(m.Group)
		}
		h.Receive(*m)
	}
}
