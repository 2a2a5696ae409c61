package wire

// Take asks a place's owner to store a message durably. Its Deadline is the time until the message expires.
type Take struct {
	Place          int64  `avro:"place"`
	Id             string `avro:"id"`
	Lane           string `avro:"lane"`
	Key            string `avro:"key"` // ordering key, with its tenant
	IdempotencyKey string `avro:"idem"`
	ContentType    string `avro:"ctype"`
	Body           []byte `avro:"body"`
	Checksum       string `avro:"sum"`
	Deadline       int64  `avro:"cutoff"`           // milliseconds left
	Parent         string `avro:"parent"`           // message whose end this one reports; empty for none
	RequestHead    []byte `avro:"head" since:"3"`   // head of the HTTP request, if the message is the request as it came
	Delay          int64  `avro:"delay" since:"3"`  // milliseconds before which it must not run
	NotifyUrl      string `avro:"notify" since:"3"` // URL to notify of its end
	// Claim is set on a message that is sent to the home of its operation key to be held there.
	Claim OperationClaim `avro:"claim" since:"9"`
	// IsClaimed says that the adapter asks the homes of operation keys, and has done so if Id depends on that.
	IsClaimed bool `avro:"is_claimed" since:"9"`
}

// Taken answers Take and Settle. Kind is empty if the message is stored; Id is the id of the stored
// message, which differs from the requested one for a repeated request.
type Taken struct {
	Id    string `avro:"id"`
	State string `avro:"state"`
	Kind  string `avro:"kind"`
	Text  string `avro:"text"`
	Owner string `avro:"owner"`
	Retry int64  `avro:"retry"` // milliseconds after which to retry; 0 for none

	IsRepeat bool `avro:"is_repeat" since:"8"` // the message was stored, or about to be, before this Take came
	// IsRebindable, of a rejection: the id was settled for another send with the operation key, so the key may be bound
	// to a new id. Not set if a caller had it settled, who was told that the message never runs.
	IsRebindable bool `avro:"is_rebindable" since:"9"`
}

// Settle asks the owner to decide an undecided message: it is stored, or never will be.
type Settle struct {
	Place int64  `avro:"place"`
	Id    string `avro:"id"`
	Lane  string `avro:"lane"`

	IsForOperation bool `avro:"is_for_operation" since:"9"` // for another send with the message's operation key
}

// Look requests a message's state, its body, or both. With a Claim it asks the home of an operation key which id the
// message of that key has, and proposes Id.
type Look struct {
	Place int64  `avro:"place"`
	Id    string `avro:"id"`
	Body  bool   `avro:"body"`           // whether the reply is to have the body
	Wait  int64  `avro:"wait" since:"2"` // milliseconds for which the reply may wait for the message's end

	Claim OperationClaim `avro:"claim" since:"9"`
}

// PayloadSize returns the approximate payload bytes of a message, so that large messages are not put into
// one batch.
func PayloadSize(body any) int {
	switch m := body.(type) {
	case *GroupMsg:
		size := len(m.State)
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		return size
	case *Take:
		return len(m.Body)
	case *Run:
		return len(m.Body) + len(m.RequestHead)
	case *Sight:
		return len(m.Body) + len(m.Proof.Answer)
	case *Outcome:
		return len(m.Proof.Answer)
	}
	return 0
}

// Proof is the record of one run of a message on a worker.
type Proof struct {
	Attempt     int64  `avro:"attempt"`
	Worker      string `avro:"worker"`
	Adapter     string `avro:"adapter"`
	Status      int64  `avro:"status"`
	ContentType string `avro:"ctype"`
	Answer      []byte `avro:"answer"`
	Checksum    string `avro:"sum"`
}

// Sight answers Look with the state of a message. Kind is an error kind, empty if the message was found.
type Sight struct {
	Kind        string `avro:"kind"`
	Owner       string `avro:"owner"`
	Id          string `avro:"id"`
	Lane        string `avro:"lane"`
	Key         string `avro:"key"`
	State       string `avro:"state"`
	Attempts    int64  `avro:"attempts"`
	Cause       string `avro:"cause"`
	ContentType string `avro:"ctype"`
	Body        []byte `avro:"body"`
	Checksum    string `avro:"sum"`
	Parent      string `avro:"parent"`
	Child       string `avro:"child"`
	Proof       Proof  `avro:"proof"`

	// Of a reply to a Claim: the id that the operation key is bound to, or that the home itself holds messages with
	// the key. Both are empty in the reply of an owner of an older build, which passes over the claim.
	Bound  string `avro:"bound" since:"9"`
	IsHome bool   `avro:"is_home" since:"9"`
}

// Outcome reports the result of a run to the place's owner. Kind is empty for a success. MayHaveStarted
// says whether the worker may have received the request.
type Outcome struct {
	Place          int64  `avro:"place"`
	Id             string `avro:"id"`
	Boot           string `avro:"boot"`
	Proof          Proof  `avro:"proof"`
	Kind           string `avro:"kind"`
	MayHaveStarted bool   `avro:"begun"`
	Final          bool   `avro:"final"` // no further attempt
	Wait           int64  `avro:"wait"`  // milliseconds before the next attempt
	Step           string `avro:"step"`  // empty for the place's owner; see internal/repair
}

// OutcomeAck says that the result is stored durably, or that another store owns the place.
type OutcomeAck struct {
	Kind  string `avro:"kind"`
	Owner string `avro:"owner"`
}

// Want asks the adapter that holds a worker's duty for a concurrency slot on the worker.
type Want struct {
	Pool   string `avro:"pool"`
	Worker string `avro:"worker"`
	Hold   int64  `avro:"hold"` // milliseconds for which the request may wait for a slot
}

// Grant gives a slot under a permit, or the reason why not and when to retry.
type Grant struct {
	Permit int64  `avro:"permit"`
	Kind   string `avro:"kind"`
	Retry  int64  `avro:"retry"`
}

// Run sends a due message to the adapter that granted the permit.
type Run struct {
	Place       int64  `avro:"place"`
	Term        int64  `avro:"term"`
	Id          string `avro:"id"`
	Attempt     int64  `avro:"attempt"`
	Lane        string `avro:"lane"`
	Key         string `avro:"key"`
	Pool        string `avro:"pool"`
	Worker      string `avro:"worker"`
	ContentType string `avro:"ctype"`
	Body        []byte `avro:"body"`
	Checksum    string `avro:"sum"`
	Permit      int64  `avro:"permit"`
	Bound       int64  `avro:"bound"`
	RequestHead []byte `avro:"head" since:"3"`
}

// RunAck says that the run has been accepted or, with Kind set, that it will never start.
type RunAck struct {
	Kind string `avro:"kind"`
}

// Release returns an unused permit.
type Release struct {
	Permit int64 `avro:"permit"`
}

// Open asks an adapter, in a new owner's term, for the result of a run. From then on the adapter rejects
// everything of older terms for the place.
type Open struct {
	Place   int64  `avro:"place"`
	Term    int64  `avro:"term"`
	Id      string `avro:"id"`
	Attempt int64  `avro:"attempt"`
	Boot    string `avro:"boot"` // process of the adapter that received the run
}

// OpenAck answers Open. State is "open" (a result will come), "never" (it will not run) or "gone" (an
// earlier process of the adapter had it, and its agent keeps no result).
type OpenAck struct {
	State string `avro:"state"`
	Kind  string `avro:"kind"`
}

// Tell asks an adapter to notify a URL that a message has ended.
type Tell struct {
	Id     string `avro:"id"`
	Url    string `avro:"url"`
	State  string `avro:"state"`
	Head   []byte `avro:"head"`
	Answer []byte `avro:"answer"` // of the run that succeeded
}

// Told answers Tell: Kind is empty if the URL has accepted the notification.
type Told struct {
	Kind string `avro:"kind"`
}

// Entry is one entry of a group's replicated log.
type Entry struct {
	Index int64  `avro:"index"`
	Term  int64  `avro:"term"`
	Kind  int32  `avro:"kind"`
	Data  []byte `avro:"data"`
}

// GroupMsg is every message between replicas of a group.
type GroupMsg struct {
	Group   int64    `avro:"group"`
	Kind    int32    `avro:"kind"`
	From    string   `avro:"from"`
	To      string   `avro:"to"`
	Term    int64    `avro:"term"`
	Index   int64    `avro:"index"`
	LogTerm int64    `avro:"log_term"`
	Commit  int64    `avro:"commit"`
	Round   int64    `avro:"round"`
	Reject  bool     `avro:"reject"`
	Entries []Entry  `avro:"entries"`
	State   []byte   `avro:"state"`
	Roster  []string `avro:"roster"`
	Level   int64    `avro:"level" since:"6"` // in a reply: the newest feature level that the sender can apply
}

// Ballot asks a blank store to take part in founding a deployment with this roster.
type Ballot struct {
	Number  int64    `avro:"number"`
	Cluster string   `avro:"cluster"`
	Roster  []string `avro:"roster"`
	Step    string   `avro:"step"`
}

// BallotAck answers each step of a ballot. Cluster and Roster are what the store has already promised.
type BallotAck struct {
	Ok      bool     `avro:"ok"`
	Number  int64    `avro:"number"`
	Cluster string   `avro:"cluster"`
	Roster  []string `avro:"roster"`
	Founded bool     `avro:"founded"`
}
