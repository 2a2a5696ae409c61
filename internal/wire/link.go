package wire

// Link is one kind of daemon-to-daemon link: what may be asked over it and
// what may be answered, each with one schema. The receiver knows the type of
// what arrives from the link that the session was opened for.
type Link struct {
	Name    string
	asks    map[int64]*Codec // by wire version
	replies map[int64]*Codec
	Ordered bool // batches are dispatched in the order in which they were cut
}

// The links of caperwheel.
var (
	// SessionLink joins a daemon to a manager, and an adapter to its agent.
	SessionLink = newLink("session", false, []any{&Poll{}}, []any{&News{}})
	// PeerLink joins two managers.
	PeerLink = newLink("peer", false, []any{&Share{}}, []any{&Share{}})
	// PartLink joins a manager to a store.
	PartLink = newLink("part", false, []any{&Follow{}, &Edit{}, &Pull{}, &Retire{}},
		[]any{&Followed{}, &Edited{}, &Pulled{}, &Retired{}})
	// PlaceLink joins an adapter to a store.
	PlaceLink = newLink("place", false, []any{&Take{}, &Settle{}, &Look{}, &Outcome{}},
		[]any{&Taken{}, &Sight{}, &OutcomeAck{}})
	// RunLink joins a store to an adapter.
	RunLink = newLink("run", false, []any{&Want{}, &Run{}, &Release{}, &Open{}, &Tell{}},
		[]any{&Grant{}, &RunAck{}, &OpenAck{}, &Told{}})
	// GroupLink joins two stores.
	GroupLink = newLink("group", true, []any{&GroupMsg{}, &Ballot{}}, []any{&BallotAck{}})
)

// Links finds a link by the name in a Hello.
var Links = map[string]*Link{}

func newLink(name string, ordered bool, asks, replies []any) *Link {
	link := &Link{Name: name, Ordered: ordered, asks: map[int64]*Codec{}, replies: map[int64]*Codec{}}
	for version := Oldest; version <= Version; version++ {
		link.asks[version], link.replies[version] = newCodec("ask", version, asks), newCodec("reply", version, replies)
	}
	return link
}

// Codecs returns how both directions are written in a wire version.
func (l *Link) Codecs(version int64) (asks, replies *Codec) {
	return l.asks[version], l.replies[version]
}

func init() {
	for _, link := range []*Link{SessionLink, PeerLink, PartLink, PlaceLink, RunLink, GroupLink} {
		Links[link.Name] = link
	}
}
