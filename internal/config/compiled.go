package config

import (
	"encoding/json"

	"caperwheel/internal/errs"
	"caperwheel/internal/weight"
)

// Keys of the control state.
const (
	DocumentKey = "charter" // the configuration document, in the configuration part
	ZoneKey     = "cell/"   // + zone: emptied when it stands, as its Order says
	StoreKey    = "store/"  // + store: retired when it stands
	// RetirementsKey has all retirements that were admitted, so that each is
	// weighed against all others in one compare and set.
	RetirementsKey = "retirements"
	WorkersKey     = "workers/" // + pool: the platform's live list, in the pool's part
	DutyKey        = "duty/"    // + pool + "/" + worker: its holder, in the pool's part
	WeightKey      = "weight/"  // + pool: published weights, in the pool's part
	ShareKey       = "share/"   // + lane: published weights of its pools, in the part of the lane's name
)

// Duty says which adapter serves a worker or endpoint. Its term is the revision
// of the change that wrote it.
type Duty struct {
	Holder       string `json:"holder"`
	Boot         string `json:"boot"`
	PreviousBoot string `json:"before"`  // boot of the holder before; empty for none
	IsReleased   bool   `json:"is_free"` // the holder before has given it up: no fence
}

// Encode gives the duty's JSON.
func (d Duty) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "duty"))
	}
	return raw
}

// AssignedDuty is a duty as the view has it.
type AssignedDuty struct {
	Duty
	Term int64
}

// Compiled is all that a daemon needs of its view, compiled: rules, live workers,
// duties, emptied zones. It is made anew when the view changes and never
// written after that.
type Compiled struct {
	Rules              *Rules
	Revision           int64
	Workers            map[string]Table[Worker] // by pool and name, as listed: CanServe tells which are cold
	Duties             map[string]Table[AssignedDuty]
	DrainedZones       map[string]bool // whole zones
	WorkerDrainedZones map[string]bool // zones of which only the workers get nothing
	ColdZones          map[string]bool // restored zones whose workers still count as cold
	IsUnreadable       bool            // the newest configuration cannot be read here: a newer build wrote it
	RetiredStores      map[string]bool
	Weights            map[string]weight.Weights     // by pool, as published
	Shares             map[string]map[string]float64 // by lane and pool, as published
}

// RelativeShare is how much of a lane's traffic a pool is asked for, against the pool
// of the lane that has the most.
func (s *Compiled) RelativeShare(lane, pool string) float64 {
	most, own := 0.0, 1.0
	for _, name := range s.Rules.Lanes[lane].Pools {
		w, isKnown := s.Shares[lane][name]
		if !isKnown {
			w = 1
		}
		if name == pool {
			own = w
		}
		most = max(most, w)
	}
	if most == 0 {
		return 1
	}
	return own / most
}

// EndpointWorker is the name under which an endpoint pool's one address is served.
const EndpointWorker = "endpoint"

func splitDutyName(text string) (pool, worker string) {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '/' {
			return text[:i], text[i+1:]
		}
	}
	return "", text
}

// CanServe says whether new work may go to a worker: it is in the live list,
// live, and neither its zone nor the workers of its zone are being emptied.
func (s *Compiled) CanServe(pool, worker string) (Worker, bool) {
	w, isListed := s.Workers[pool].Get(worker)
	w.IsCold = w.IsCold || s.ColdZones[w.Zone]
	return w, isListed && w.State == "live" && !s.DrainedZones[w.Zone] && !s.WorkerDrainedZones[w.Zone]
}

// IsHolder says whether a life of an adapter holds a worker's duty.
func (s *Compiled) IsHolder(pool, worker, name, boot string) bool {
	held, isAssigned := s.Duties[pool].Get(worker)
	return isAssigned && held.Holder == name && held.Boot == boot
}

// MayStartWork says whether a daemon of the zone may begin new work: not while the
// zone is being emptied, whoever still thinks that it holds a duty there.
func (s *Compiled) MayStartWork(zone string) bool { return !s.DrainedZones[zone] }
