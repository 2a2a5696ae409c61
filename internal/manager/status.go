package manager

import (
	"net/http"
	"slices"

	"caperwheel/internal/daemon"
	"caperwheel/internal/web"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// Status is the summary of the deployment that the status call returns.
type Status struct {
	Manager            string                        `json:"manager"`
	IsFresh            bool                          `json:"fresh"`
	Revision           int64                         `json:"charter_stamp"`
	Members            []StatusMember                `json:"members"`
	Places             []StatusGroup                 `json:"places"`
	Parts              []StatusGroup                 `json:"parts"`
	Lanes              []string                      `json:"lanes"`
	LaneWeights        map[string]map[string]float64 `json:"lane_weights,omitempty"` // if it has several pools
	Pools              []StatusPool                  `json:"pools"`
	DrainedZones       []string                      `json:"emptied_cells"`
	WorkerDrainedZones []string                      `json:"resting_cells,omitempty"` // of workers only
	RetiredStores      []string                      `json:"retired_stores"`
	Shape              map[string]int64              `json:"shape"` // numbers of places and parts
}

// StatusMember is the state of one daemon.
type StatusMember struct {
	wire.Who
	AgeMs    int64            `json:"age_ms"`
	IsFresh  bool             `json:"fresh"`
	Revision int64            `json:"charter_stamp"`
	Counts   map[string]int64 `json:"counts,omitempty"`
}

// StatusGroup is one place or part, with its owner.
type StatusGroup struct {
	Number int64  `json:"number"`
	Owner  string `json:"owner"`
	Term   int64  `json:"term"`
	Voters int64  `json:"voters"`
	Lag    int64  `json:"lag"`
}

// StatusPool is one pool, with the holders of its workers' duties.
type StatusPool struct {
	Name    string            `json:"name"`
	Workers int               `json:"workers"`
	Duties  map[string]string `json:"duties"`
	Weights weight.Weights    `json:"weights"`
}

func (m *Manager) getStatus(w http.ResponseWriter, _ *http.Request) {
	compiled := m.configs.Current()
	out := Status{Manager: m.d.Who.Name, IsFresh: m.d.IsFresh(), Revision: compiled.Revision, Members: []StatusMember{}, Pools: []StatusPool{},
		Shape: map[string]int64{"places": int64(m.d.Settings.Places), "parts": int64(m.d.Settings.Parts)}}
	_, members := m.registry.Members(m.d.Now())
	groups := map[int64]StatusGroup{}
	for _, member := range members {
		out.Members = append(out.Members, StatusMember{member.Who, member.Age, member.Fact.Fresh, member.Fact.Revision, member.Fact.Counts})
		for _, o := range member.Owns {
			if o.Term >= groups[o.Group].Term {
				groups[o.Group] = StatusGroup{o.Group, member.Who.Name, o.Term, o.Size, o.Lag}
			}
		}
	}
	for number := range int64(m.d.Settings.Parts) + 1 {
		out.Parts = append(out.Parts, withNumber(groups[number], number))
	}
	for number := range int64(m.d.Settings.Places) {
		out.Places = append(out.Places, withNumber(groups[wire.FirstPlaceGroup+number], number))
	}
	out.Lanes, out.LaneWeights = sorted(compiled.Rules.Lanes), compiled.Shares
	for _, name := range sorted(compiled.Rules.Pools) {
		p := StatusPool{Name: name, Workers: compiled.Workers[name].Len(), Duties: map[string]string{}, Weights: compiled.Weights[name]}
		for worker, d := range compiled.Duties[name].All() {
			p.Duties[worker] = d.Holder
		}
		out.Pools = append(out.Pools, p)
	}
	out.WorkerDrainedZones = sorted(compiled.WorkerDrainedZones)
	out.DrainedZones, out.RetiredStores = sorted(compiled.DrainedZones), sorted(compiled.RetiredStores)
	web.WriteJson(w, 200, out)
}

// measurePools emits how many workers each pool has, and how many of them have a holder.
func (m *Manager) measurePools(emit daemon.Emit) {
	compiled := m.configs.Current()
	for name := range compiled.Rules.Pools {
		emit("pool_workers", "Workers on a pool's list.", float64(compiled.Workers[name].Len()), "pool", name)
		emit("pool_duties", "Workers of a pool that have a holder.", float64(compiled.Duties[name].Len()), "pool", name)
	}
}

func withNumber(g StatusGroup, number int64) StatusGroup { g.Number = number; return g }

// sorted returns the keys of a map in ascending order.
func sorted[V any](m map[string]V) []string {
	out := []string{}
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// getDaemons lists the daemons, for load balancers that route clients to ready adapters.
func (m *Manager) getDaemons(w http.ResponseWriter, r *http.Request) {
	isReadyOnly, kind := r.URL.Query().Get("ready") == "true", r.URL.Query().Get("kind")
	emptied := m.configs.Current().DrainedZones
	out := []StatusMember{}
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		isReady := member.Fact.Fresh && !emptied[member.Who.Zone]
		if isReadyOnly && !isReady || kind != "" && member.Who.Kind != kind {
			continue
		}
		out = append(out, StatusMember{member.Who, member.Age, member.Fact.Fresh, member.Fact.Revision, nil})
	}
	web.WriteJson(w, 200, out)
}

// getStore answers with the progress of a store's retirement.
func (m *Manager) getStore(w http.ResponseWriter, r *http.Request) {
	got, err := m.operators.RetirementProgress(r.Context(), r.PathValue("store"))
	if err != nil {
		web.WriteError(w, err)
		return
	}
	web.WriteJson(w, 200, got)
}
