package sim

// Mutant takes one guard out of a deployment, so that a test sees whether the
// rules notice.
type Mutant string

// The mutants, each at a port of the simulation.
const (
	NoMutant           Mutant = ""
	UnconfirmedReads   Mutant = "reads are answered without contact with a majority"
	UnconditionalEdits Mutant = "an edit holds whatever it was based on"
	NewIdForRetry      Mutant = "an order that is sent again has another digest"
	EarlyDiskAck       Mutant = "the disk tells of syncs that were not done"
	KeptIdentity       Mutant = "a wiped member keeps its identity"
	EarlyRemoval       Mutant = "a retired machine goes before its groups stand elsewhere"
	StaleSnapshot      Mutant = "a snapshot has the state of the one before"
	UncheckedViewAge   Mutant = "a daemon never looks how old its view is"
	LocalGroupTime     Mutant = "a replica keeps its own count of the group's time where that is ahead"
	UncheckedLevels    Mutant = "an owner raises the feature level without asking"
	RepliesByPosition  Mutant = "an answer goes to the call that has waited longest"
	ShortRetention     Mutant = "ends are kept for the window of operation keys and no longer"
)
