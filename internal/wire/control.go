package wire

// Version is the newest wire version of this build and OldestVersion the oldest that it supports. A session
// uses the lower of both ends' newest versions. Version 2 added Look.Wait; version 3 messages that are the
// HTTP request as it came (RequestHead), delays, and notification URLs; version 4 deduplicated edits and
// the groups that a reply about a retirement was confirmed for; version 5 compressed arrays between zones;
// version 6 the feature level of replicas; version 7 adapters that keep the time of groups; version 8
// quotas of tenants; version 9 claims of operation keys.
const (
	Version       int64 = 9
	OldestVersion int64 = 1
)

// Who identifies a daemon. Boot is random and new at each start, so that two processes of one daemon are
// distinguished.
type Who struct {
	Name string `avro:"name"`
	Kind string `avro:"kind"`
	Boot string `avro:"boot"`
	Zone string `avro:"cell" json:"Cell"`
	Addr string `avro:"addr"`
	Http string `avro:"http"`
}

// Hello opens a session; Welcome answers it.
type Hello struct {
	Who     Who    `avro:"who"`
	Link    string `avro:"link"`
	Newest  int64  `avro:"newest"`
	Oldest  int64  `avro:"oldest"`
	Window  int64  `avro:"window"`  // unconsumed messages that this end accepts
	Cluster string `avro:"cluster"` // deployment parameters that both ends must share
}

// Welcome is the acceptor's half of the handshake. An empty Reject means that the session is accepted.
type Welcome struct {
	Who     Who    `avro:"who"`
	Version int64  `avro:"version"`
	Window  int64  `avro:"window"`
	Reject  string `avro:"reject"`
}

// PartRevision is the revision up to which a follower has read one part.
type PartRevision struct {
	Part     int64 `avro:"part"`
	Revision int64 `avro:"stamp"`
}

// Change is the newest value of a key. Revision is the change's number in the part's feed.
type Change struct {
	Key      string `avro:"key"`
	Value    []byte `avro:"value"`
	Revision int64  `avro:"stamp" json:"Stamp"`
	Gone     bool   `avro:"gone"` // the key is deleted
	By       string `avro:"by"`   // who made the change
}

// PartNews brings a follower of a part from revision From to revision To. Age is the time in microseconds
// since the part's owner confirmed that nothing newer had been acknowledged.
type PartNews struct {
	Part    int64    `avro:"part"`
	From    int64    `avro:"from"`
	To      int64    `avro:"to"`
	Age     int64    `avro:"age"`
	Changes []Change `avro:"changes"`
}

// Member is a daemon with a live session. Age is the time in milliseconds since it was last heard from.
type Member struct {
	Who  Who     `avro:"who"`
	Age  int64   `avro:"age"`
	Owns []Owned `avro:"owns"`
	Fact Fact    `avro:"fact"`
}

// Fact is the state that a daemon reports about itself in its session, for status and doctor.
type Fact struct {
	Revision int64            `avro:"stamp"`
	Fresh    bool             `avro:"fresh"` // whether the daemon may act on its view
	Counts   map[string]int64 `avro:"counts"`
}

// Owned says that a daemon owns a group in a term. It is a hint and proves no ownership.
type Owned struct {
	Group int64 `avro:"group"`
	Term  int64 `avro:"term"`
	Lag   int64 `avro:"lag"`  // most entries by which a replica is behind
	Size  int64 `avro:"size"` // number of voters
}

// Poll renews a daemon's session and requests the changes after the given revisions.
type Poll struct {
	Who            Who            `avro:"who"`
	Revisions      []PartRevision `avro:"stamps"`
	MembershipHash string         `avro:"roll"`
	Owns           []Owned        `avro:"owns"` // groups that the daemon owns
	Fact           Fact           `avro:"fact"`
	Colocated      []Member       `avro:"beside"` // sessions with the polling agent itself
}

// News answers a Poll. Members is empty if MembershipHash matches that of the Poll.
type News struct {
	Parts          []PartNews `avro:"parts"`
	MembershipHash string     `avro:"roll"`
	Members        []Member   `avro:"members"`
	Reject         string     `avro:"reject"` // why the poll was rejected; empty if it was not
}

// Share tells another manager the sessions that the sending manager holds.
type Share struct {
	Who     Who      `avro:"who"`
	Members []Member `avro:"members"`
}

// Follow asks a store for the changes of all parts that it owns.
type Follow struct {
	Revisions []PartRevision `avro:"stamps"`
}

// Followed answers Follow with the changes of the owned parts only.
type Followed struct {
	Parts []PartNews `avro:"parts"`
}

// Edit changes one key of a part if the key's revision is still IfRevision: 0 means absent, -1 any
// revision. An edit whose OperationId was applied before changes nothing.
type Edit struct {
	Part              int64    `avro:"part"`
	Key               string   `avro:"key"`
	Value             []byte   `avro:"value"`
	IfRevision        int64    `avro:"if_stamp"`
	Gone              bool     `avro:"gone"` // delete the key
	By                string   `avro:"by"`
	OperationId       string   `avro:"order" since:"4"`   // deduplicates the edit; empty for none
	BaseVersion       int64    `avro:"base" since:"4"`    // version that an operator's edit builds on, or SingleCallBase
	EarlierOperations []string `avro:"earlier" since:"4"` // operations applied before that the part may not know of
	At                int64    `avro:"at" since:"4"`      // part time in milliseconds when the owner accepted the edit
}

// SingleCallBase is the BaseVersion of an edit that only the manager that made it may resend.
const SingleCallBase = -1

// Edited answers an Edit. Kind is an error kind, empty if the edit is applied. Revision is the one that the
// operation produced, also if it was applied earlier.
type Edited struct {
	Kind     string `avro:"kind"`
	Text     string `avro:"text"`
	Revision int64  `avro:"stamp"`
	IsRepeat bool   `avro:"again" since:"4"` // the operation had been applied before
}

// Pull reads one key with a quorum read.
type Pull struct {
	Part int64  `avro:"part"`
	Key  string `avro:"key"`
}

// Pulled answers Pull. Age is the time in milliseconds since the change was made, by the part's own clock;
// it is 0 if the store does not know it.
type Pulled struct {
	Kind   string `avro:"kind"`
	Change Change `avro:"change"`
	Age    int64  `avro:"age" since:"4"`
}

// Retire asks a store which of the groups that it owns still have a replica on the store to be emptied.
type Retire struct {
	Store string `avro:"store"`
}

// Retired answers Retire with the number of owned groups that still have a replica on the retiring store,
// and the state of each group whose ownership a majority has confirmed since the request came. IsKnown says
// that the answering store knows of the retirement.
type Retired struct {
	RemainingGroups int64      `avro:"left"`
	Text            string     `avro:"text"`
	IsKnown         bool       `avro:"known" since:"4"`
	Groups          []Standing `avro:"groups" since:"4"`
}

// Standing is the state of one group as its owner sees it: the stores in its roster, and how many of them,
// without the retiring one, have everything that was committed when the owner's last round began.
type Standing struct {
	Group          int64    `avro:"group"`
	Term           int64    `avro:"term"`
	Stores         []string `avro:"stores"`
	UpToDateStores int64    `avro:"whole"`
}
