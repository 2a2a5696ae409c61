package wire

import "sync"

// Link is one kind of connection between daemons: the request and reply types that it carries, with one
// schema for each direction. The receiver derives the type of a message from the link that the session was
// opened for.
type Link struct {
	Name    string
	Ordered bool // batches are dispatched in the order in which they were sent

	requestKinds, replyKinds []any

	mu            sync.Mutex
	requestCodecs map[int64]*Codec // by wire version; built when first used
	replyCodecs   map[int64]*Codec
}

// since is a message type that was added in a wire version. It is listed after all older types of its link,
// so that their union branches keep their numbers.
type since struct {
	version int64
	kind    any
}

// kindsOf returns the message types that exist in a wire version.
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

// The links between daemons.
var (
	// SessionLink connects a daemon to a manager, and an adapter to its agent.
	SessionLink = newLink("session", false, []any{&Poll{}}, []any{&News{}})
	// PeerLink connects two managers.
	PeerLink = newLink("peer", false, []any{&Share{}}, []any{&Share{}})
	// PartLink connects a manager to a store that holds parts of the control plane's data.
	PartLink = newLink("part", false, []any{&Follow{}, &Edit{}, &Pull{}, &Retire{}},
		[]any{&Followed{}, &Edited{}, &Pulled{}, &Retired{}})
	// PlaceLink connects an adapter to a store that holds places, the partitions of messages.
	PlaceLink = newLink("place", false, []any{&Take{}, &Settle{}, &Look{}, &Outcome{}, since{8, &QuotaAsk{}}},
		[]any{&Taken{}, &Sight{}, &OutcomeAck{}, since{8, &QuotaGrants{}}})
	// RunLink connects a store to an adapter that runs messages on workers.
	RunLink = newLink("run", false, []any{&Want{}, &Run{}, &Release{}, &Open{}, &Tell{}, since{7, &TellTime{}}, since{7, &AskTime{}}},
		[]any{&Grant{}, &RunAck{}, &OpenAck{}, &Told{}, since{7, &TimeTold{}}, since{7, &TimeKept{}}})
	// GroupLink connects two stores that hold replicas of the same groups.
	GroupLink = newLink("group", true, []any{&GroupMsg{}, &Ballot{}}, []any{&BallotAck{}})
)

// Links maps the link name in a Hello to the link.
var Links = map[string]*Link{}

// newLink returns a link without codecs. Ordered links dispatch batches in the order in which they were
// sent.
func newLink(name string, ordered bool, requests, replies []any) *Link {
	return &Link{Name: name, Ordered: ordered, requestKinds: requests, replyKinds: replies, requestCodecs: map[int64]*Codec{},
		replyCodecs: map[int64]*Codec{}}
}

// Codecs returns the codecs of both directions in a wire version from OldestVersion to Version. They are
// built when first used: a daemon uses few links, mostly in one version, and building all of them would
// delay its start.
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
