package wire

import "sync"

// Link is one kind of daemon-to-daemon link: what may be asked over it and
// what may be answered, each with one schema. The receiver knows the type of
// what arrives from the link that the session was opened for.
type Link struct {
	Name    string
	Ordered bool // batches are dispatched in the order in which they were cut

	requestKinds, replyKinds []any

	mu            sync.Mutex
	requestCodecs map[int64]*Codec // by wire version; built when first used
	replyCodecs   map[int64]*Codec
}

// since is a kind of message that no version before the given one has. It stands behind all
// older kinds of its link, whose numbers stay what they were.
type since struct {
	version int64
	kind    any
}

// kindsOf returns the kinds of messages that a version has.
func kindsOf(kinds []any, version int64) []any {
	out := []any{}
	for _, kind := range kinds {
		newer, isNewer := kind.(since)
		switch {
		case !isNewer:
			out = append(out, kind)
		case newer.version <= version:
			out = append(out, newer.kind)
		}
	}
	return out
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
	PlaceLink = newLink("place", false, []any{&Take{}, &Settle{}, &Look{}, &Outcome{}, since{8, &QuotaAsk{}}},
		[]any{&Taken{}, &Sight{}, &OutcomeAck{}, since{8, &QuotaGrants{}}})
	// RunLink joins a store to an adapter.
	RunLink = newLink("run", false, []any{&Want{}, &Run{}, &Release{}, &Open{}, &Tell{}, since{7, &TellTime{}}, since{7, &AskTime{}}},
		[]any{&Grant{}, &RunAck{}, &OpenAck{}, &Told{}, since{7, &TimeTold{}}, since{7, &TimeKept{}}})
	// GroupLink joins two stores.
	GroupLink = newLink("group", true, []any{&GroupMsg{}, &Ballot{}}, []any{&BallotAck{}})
)

// Links finds a link by the name in a Hello.
var Links = map[string]*Link{}

func newLink(name string, ordered bool, requests, replies []any) *Link {
	return &Link{Name: name, Ordered: ordered, requestKinds: requests, replyKinds: replies, requestCodecs: map[int64]*Codec{},
		replyCodecs: map[int64]*Codec{}}
}

// Codecs returns how both directions are written in a wire version, from Oldest to
// Version. They are built when first used: a daemon speaks few links, mostly in one
// version, and its start waits for what is built before.
func (l *Link) Codecs(version int64) (requests, replies *Codec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requestCodecs[version] == nil {
		l.requestCodecs[version] = newCodec("ask", version, kindsOf(l.requestKinds, version))
		l.replyCodecs[version] = newCodec("reply", version, kindsOf(l.replyKinds, version))
	}
	return l.requestCodecs[version], l.replyCodecs[version]
}

func init() {
	for _, link := range []*Link{SessionLink, PeerLink, PartLink, PlaceLink, RunLink, GroupLink} {
		Links[link.Name] = link
	}
}
