package sim

// Mutant takes one guard out of a deployment, so that a test sees whether the
// rules notice.
type Mutant string

// The mutants, each at a port of the simulation.
const (
	NoMutant          Mutant = ""
	UnconfirmedReads  Mutant = "reads are answered without contact with a majority"
	BlindEdits        Mutant = "an edit holds whatever it was based on"
	NewIdForRetry     Mutant = "an order that is sent again has another digest"
	HastyDisk         Mutant = "the disk tells of syncs that were not done"
	KeptIdentity      Mutant = "a wiped member keeps its identity"
	EarlyLeave        Mutant = "a retired machine goes before its groups stand elsewhere"
	OldSnapshot       Mutant = "a snapshot has the state of the one before"
	AnyAge            Mutant = "a daemon never looks how old its view is"
	OwnCount          Mutant = "a replica keeps its own count of the group's time where that is ahead"
	BlindToLevels     Mutant = "an owner raises the feature level without asking"
	AnswersByPosition Mutant = "an answer goes to the call that has waited longest"
	ForgottenEnds     Mutant = "ends are kept for the window of operation keys and no longer"
)
