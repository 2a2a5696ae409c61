package sim

// Mutant removes one safeguard of the simulated system, so that a test can show that the checks detect its
// absence. The value describes the resulting behaviour.
type Mutant string

// The mutants. Each is applied where the simulation meets the code under test; that code itself is
// unchanged.
const (
	NoMutant           Mutant = ""
	UnconfirmedReads   Mutant = "reads are answered without confirmation by a majority"
	UnconditionalEdits Mutant = "an edit is applied whatever revision it was based on"
	NewIdForRetry      Mutant = "a resent order has another digest"
	EarlyDiskAck       Mutant = "the disk reports syncs that were not done"
	KeptIdentity       Mutant = "a wiped member keeps its identity"
	EarlyRemoval       Mutant = "a retired machine is removed before its groups have moved"
	StaleSnapshot      Mutant = "a snapshot contains the state of the previous one"
	UncheckedViewAge   Mutant = "a daemon does not check the age of its view"
	LocalGroupTime     Mutant = "a replica keeps its own count of group time when that is ahead"
	UncheckedLevels    Mutant = "an owner raises the feature level without checking that its replicas support it"
	RepliesByPosition  Mutant = "a reply goes to the oldest pending call"
	ShortRetention     Mutant = "final states are kept for the window of operation keys only"
	HomeByLane         Mutant = "the home of an operation key follows from the lane too"
	UnaskedHomes       Mutant = "a send with an ordering key does not ask the home of its operation key"
	UnseenAdapters     Mutant = "stores do not see that adapters of an older build serve"
)
