package wire

// Version is the newest wire version this build speaks; Oldest the oldest.
// Both ends of a session use the lower of their newest versions. Version 2 has
// Look.Wait; version 3 has messages that come as they are (Head), delays, and
// whom to tell of an end; version 4 has edits that are remembered by their order,
// and the groups that an answer about a retirement was confirmed for; version 5 has arrays
// that are compressed between zones; version 6 has the feature level of replicas; version 7 has
// adapters that keep the time of groups; version 8 has limits of tenants.
const (
	Version       int64 = 8
	OldestVersion int64 = 1
)

// Who tells what a daemon is. Boot is new at every start, so that two lives of
// one daemon are never taken for one.
type Who struct {
	Name string `avro:"name"`
	Kind string `avro:"kind"`
	Boot string `avro:"boot"`
	Zone string `avro:"cell" json:"Cell"`
	Addr string `avro:"addr"`
	Http string `avro:"http"`
}

// Hello opens a session; Welcome answers it. An empty Reject means accepted.
type Hello struct {
	Who     Who    `avro:"who"`
	Link    string `avro:"link"`
	Newest  int64  `avro:"newest"`
	Oldest  int64  `avro:"oldest"`
	Window  int64  `avro:"window"`
	Cluster string `avro:"cluster"`
}

// Welcome is the acceptor's half of the handshake.
type Welcome struct {
	Who     Who    `avro:"who"`
	Version int64  `avro:"version"`
	Window  int64  `avro:"window"`
	Reject  string `avro:"reject"`
}

// PartRevision is how far a follower has read one part.
type PartRevision struct {
	Part     int64 `avro:"part"`
	Revision int64 `avro:"stamp"`
}

// Change is one key's newest value. Revision is its number in the part's feed.
type Change struct {
	Key      string `avro:"key"`
	Value    []byte `avro:"value"`
	Revision int64  `avro:"stamp" json:"Stamp"`
	Gone     bool   `avro:"gone"`
	By       string `avro:"by"`
}

// PartNews brings a follower from one revision to another. Age is how long ago, in
// microseconds, the part's owner confirmed that nothing newer was acknowledged.
type PartNews struct {
	Part    int64    `avro:"part"`
	From    int64    `avro:"from"`
	To      int64    `avro:"to"`
	Age     int64    `avro:"age"`
	Changes []Change `avro:"changes"`
}

// Member is a daemon whose session stands. Age in milliseconds.
type Member struct {
	Who  Who     `avro:"who"`
	Age  int64   `avro:"age"`
	Owns []Owned `avro:"owns"`
	Fact Fact    `avro:"fact"`
}

// Fact is what a daemon says of itself in its session, for status and doctor.
type Fact struct {
	Revision int64            `avro:"stamp"`
	Fresh    bool             `avro:"fresh"`
	Counts   map[string]int64 `avro:"counts"`
}

// Owned says that a daemon owns a group in a term. A hint, never a proof.
type Owned struct {
	Group int64 `avro:"group"`
	Term  int64 `avro:"term"`
	Lag   int64 `avro:"lag"`
	Size  int64 `avro:"size"`
}

// Poll renews a daemon's session and asks for news behind the given revisions.
type Poll struct {
	Who            Who            `avro:"who"`
	Revisions      []PartRevision `avro:"stamps"`
	MembershipHash string         `avro:"roll"`
	Owns           []Owned        `avro:"owns"`
	Fact           Fact           `avro:"fact"`
	Colocated      []Member       `avro:"beside"`
}

// News answers a poll. Members is empty when Membership matches the asker's.
type News struct {
	Parts          []PartNews `avro:"parts"`
	MembershipHash string     `avro:"roll"`
	Members        []Member   `avro:"members"`
	Reject         string     `avro:"reject"`
}

// Share tells another manager the sessions that stand here.
type Share struct {
	Who     Who      `avro:"who"`
	Members []Member `avro:"members"`
}

// Follow asks a store for news of all parts that it owns.
type Follow struct {
	Revisions []PartRevision `avro:"stamps"`
}

// Followed answers with news of the owned parts only.
type Followed struct {
	Parts []PartNews `avro:"parts"`
}

// Edit changes one key of a part if the key's revision is still IfRevision: 0 for
// absent, -1 for any. One whose Order has been taken before changes nothing.
type Edit struct {
	Part              int64    `avro:"part"`
	Key               string   `avro:"key"`
	Value             []byte   `avro:"value"`
	IfRevision        int64    `avro:"if_stamp"`
	Gone              bool     `avro:"gone"`
	By                string   `avro:"by"`
	OperationId       string   `avro:"order" since:"4"`   // names the order that is remembered; empty: none is
	BaseVersion       int64    `avro:"base" since:"4"`    // the version that an operator's order builds on; SingleCallBase for the edit of a single call
	EarlierOperations []string `avro:"earlier" since:"4"` // orders taken before that the part may not know
	At                int64    `avro:"at" since:"4"`      // part time when the owner took it in, in milliseconds
}

// SingleCallBase is the Base of an edit that nobody but the manager that made it sends again.
const SingleCallBase = -1

// Edited answers an edit. Kind is an error kind, empty when it holds. Revision is
// the one that the order made, if it was taken, also when that was before.
type Edited struct {
	Kind     string `avro:"kind"`
	Text     string `avro:"text"`
	Revision int64  `avro:"stamp"`
	IsRepeat bool   `avro:"again" since:"4"` // the order had been taken before
}

// Pull reads one key through a majority.
type Pull struct {
	Part int64  `avro:"part"`
	Key  string `avro:"key"`
}

// Pulled answers a read. Age is how long ago, in milliseconds of the part's own
// time, the change was made: 0 also where the store does not know it.
type Pulled struct {
	Kind   string `avro:"kind"`
	Change Change `avro:"change"`
	Age    int64  `avro:"age" since:"4"`
}

// Retire asks a store which of the groups that it owns stand on a store that is to
// be emptied.
type Retire struct {
	Store string `avro:"store"`
}

// Retired tells in how many of the asked store's groups it still stands, and of
// each group whose ownership a majority has confirmed since the ask came how it
// stands. IsKnown says that the asked store knows of the retirement.
type Retired struct {
	RemainingGroups int64      `avro:"left"`
	Text            string     `avro:"text"`
	IsKnown         bool       `avro:"known" since:"4"`
	Groups          []Standing `avro:"groups" since:"4"`
}

// Standing is how one group stands, as its owner sees it: the stores in its
// roster, and how many of them, without the one that was asked about, have all
// that was committed when the owner's last round began.
type Standing struct {
	Group          int64    `avro:"group"`
	Term           int64    `avro:"term"`
	Stores         []string `avro:"stores"`
	UpToDateStores int64    `avro:"whole"`
}
