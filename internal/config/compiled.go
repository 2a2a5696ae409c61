package config

import (
	"encoding/json"

	"caperwheel/internal/errs"
	"caperwheel/internal/weight"
)

// Keys of the control state.
const (
	DocumentKey = "charter" // the configuration document, in the configuration part
	ZoneKey     = "cell/"   // + zone: drained, or restored and cold, as its DrainOrder says
	StoreKey    = "store/"  // + store: retired while the key exists
	// RetirementsKey holds all admitted retirements, so that each is checked against all others in one
	// compare and set.
	RetirementsKey = "retirements"
	WorkersKey     = "workers/" // + pool: the worker list, in the pool's part
	DutyKey        = "duty/"    // + pool + "/" + worker: its duty, in the pool's part
	WeightKey      = "weight/"  // + pool: published weights, in the pool's part
	ShareKey       = "share/"   // + lane: published weights of its pools, in the part of the lane's name
)

// Duty assigns a worker or endpoint to the adapter that serves it. Its term is the revision of the
// change that wrote it.
type Duty struct {
	Holder       string `json:"holder"`  // name of the adapter
	Boot         string `json:"boot"`    // boot of its process
	PreviousBoot string `json:"before"`  // boot of the previous holder; empty for none
	IsReleased   bool   `json:"is_free"` // the previous holder has released it: no fencing delay
}

// Encode returns the duty as JSON.
func (d Duty) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode duty"))
	}
	return raw
}

// AssignedDuty is a duty in the view, with its term.
type AssignedDuty struct {
	Duty
	Term int64
}

// Compiled is the compiled control state that a daemon works with: rules, workers, duties, drained
// zones, weights. A change of the view yields a new Compiled; an existing one is never written.
type Compiled struct {
	Rules              *Rules
	Revision           int64
	Workers            map[string]Table[Worker]       // by pool and name, as listed; see CanServe for which are cold
	Duties             map[string]Table[AssignedDuty] // by pool and worker
	DrainedZones       map[string]bool                // whole zones
	WorkerDrainedZones map[string]bool                // zones of which only the workers are drained
	ColdZones          map[string]bool                // restored zones whose workers still count as cold
	IsUnreadable       bool                           // the newest configuration is of a newer build and cannot be read
	RetiredStores      map[string]bool
	Weights            map[string]weight.Weights     // by pool, as published
	Shares             map[string]map[string]float64 // by lane and pool, as published
}

// RelativeShare returns the share of a lane's traffic that a pool gets, relative to the pool of the lane
// with the largest share.
func (s *Compiled) RelativeShare(lane, pool string) float64 {
	largest, own := 0.0, 1.0
	for _, name := range s.Rules.Lanes[lane].Pools {
		w, isKnown := s.Shares[lane][name]
		if !isKnown {
			w = 1
		}
		if name == pool {
			own = w
		}
		largest = max(largest, w)
	}
	if largest == 0 {
		return 1
	}
	return own / largest
}

// EndpointWorker is the name of the single worker of an endpoint pool.
const EndpointWorker = "endpoint"

// splitDutyName splits a duty's name at its last slash.
func splitDutyName(text string) (pool, worker string) {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '/' {
			return text[:i], text[i+1:]
		}
	}
	return "", text
}

// CanServe reports whether new work may go to a worker, and returns its entry. The worker must be listed
// and live, and neither its zone nor the workers of its zone may be drained. The entry is cold if
// the worker is listed as cold or its zone was just restored.
func (s *Compiled) CanServe(pool, worker string) (Worker, bool) {
	w, isListed := s.Workers[pool].Get(worker)
	w.IsCold = w.IsCold || s.ColdZones[w.Zone]
	return w, isListed && w.State == "live" && !s.DrainedZones[w.Zone] && !s.WorkerDrainedZones[w.Zone]
}

// IsHolder reports whether the adapter process with this name and boot holds a worker's duty.
func (s *Compiled) IsHolder(pool, worker, name, boot string) bool {
	assigned, isAssigned := s.Duties[pool].Get(worker)
	return isAssigned && assigned.Holder == name && assigned.Boot == boot
}

// MayStartWork reports whether a daemon of the zone may begin new work. It may not while the zone is
// drained, even if the daemon still holds a duty.
func (s *Compiled) MayStartWork(zone string) bool { return !s.DrainedZones[zone] }
