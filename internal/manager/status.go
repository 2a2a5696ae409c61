package manager

import (
	"context"
	"net/http"
	"slices"

	"caperwheel/internal/beat"
	"caperwheel/internal/store"
	"caperwheel/internal/web"
	"caperwheel/internal/weight"
	"caperwheel/internal/wire"
)

// Status is what an operator sees at a glance.
type Status struct {
	Manager string                        `json:"manager"`
	Fresh   bool                          `json:"fresh"`
	Stamp   int64                         `json:"charter_stamp"`
	Members []StatusMember                `json:"members"`
	Places  []StatusGroup                 `json:"places"`
	Parts   []StatusGroup                 `json:"parts"`
	Lanes   []string                      `json:"lanes"`
	Shares  map[string]map[string]float64 `json:"lane_weights,omitempty"` // of lanes with several pools
	Pools   []StatusPool                  `json:"pools"`
	Emptied []string                      `json:"emptied_cells"`
	Retired []string                      `json:"retired_stores"`
	Shape   map[string]int64              `json:"shape"`
}

// StatusMember is one daemon.
type StatusMember struct {
	wire.Who
	AgeMs  int64            `json:"age_ms"`
	Fresh  bool             `json:"fresh"`
	Stamp  int64            `json:"charter_stamp"`
	Counts map[string]int64 `json:"counts,omitempty"`
}

// StatusGroup is one place or part and who owns it.
type StatusGroup struct {
	Number int64  `json:"number"`
	Owner  string `json:"owner"`
	Term   int64  `json:"term"`
	Voters int64  `json:"voters"`
	Lag    int64  `json:"lag"`
}

// StatusPool is one pool and where its workers' duties lie.
type StatusPool struct {
	Name    string            `json:"name"`
	Workers int               `json:"workers"`
	Duties  map[string]string `json:"duties"`
	Weights weight.Weights    `json:"weights"`
}

func (m *Manager) getStatus(w http.ResponseWriter, _ *http.Request) {
	scene := m.scenes.Now()
	out := Status{Manager: m.d.Who.Name, Fresh: m.d.IsFresh(), Stamp: scene.Stamp, Members: []StatusMember{}, Pools: []StatusPool{},
		Shape: map[string]int64{"places": int64(m.d.Settings.Places), "parts": int64(m.d.Settings.Parts)}}
	_, members := m.registry.Members(m.d.Now())
	groups := map[int64]StatusGroup{}
	for _, member := range members {
		out.Members = append(out.Members, StatusMember{member.Who, member.Age, member.Fact.Fresh, member.Fact.Stamp, member.Fact.Counts})
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
		out.Places = append(out.Places, withNumber(groups[store.PlaceGroup+number], number))
	}
	out.Lanes, out.Shares = sorted(scene.Rules.Lanes), scene.Shares
	for _, name := range sorted(scene.Rules.Pools) {
		p := StatusPool{Name: name, Workers: len(scene.Workers[name]), Duties: map[string]string{}, Weights: scene.Weights[name]}
		for worker, d := range scene.Duties[name] {
			p.Duties[worker] = d.Holder
		}
		out.Pools = append(out.Pools, p)
	}
	out.Emptied, out.Retired = sorted(scene.Emptied), sorted(scene.Retired)
	web.Answer(w, 200, out)
}

func withNumber(g StatusGroup, number int64) StatusGroup { g.Number = number; return g }

func sorted[V any](m map[string]V) []string {
	out := []string{}
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// getDaemons lists daemons, for handing clients to adapters that are ready.
func (m *Manager) getDaemons(w http.ResponseWriter, r *http.Request) {
	isReadyOnly, kind := r.URL.Query().Get("ready") == "true", r.URL.Query().Get("kind")
	emptied := m.scenes.Now().Emptied
	out := []StatusMember{}
	_, members := m.registry.Members(m.d.Now())
	for _, member := range members {
		isReady := member.Fact.Fresh && !emptied[member.Who.Cell]
		if isReadyOnly && !isReady || kind != "" && member.Who.Kind != kind {
			continue
		}
		out = append(out, StatusMember{member.Who, member.Age, member.Fact.Fresh, member.Fact.Stamp, nil})
	}
	web.Answer(w, 200, out)
}

// getStore tells how far a store's retirement has come.
func (m *Manager) getStore(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("store")
	left, asked, answered := int64(0), 0, 0
	ctx, cancel := context.WithTimeout(r.Context(), m.d.Bounds.Of(beat.Settle))
	defer cancel()
	for _, who := range m.d.Roll.Kind("store") {
		asked++
		reply, err := m.d.Node.Peer(wire.PartLink, who.Addr).Call(ctx, &wire.Retire{Store: name})
		if got, isGot := reply.(*wire.Retired); err == nil && isGot {
			left += got.Left
			answered++
		}
	}
	_, isHere := m.d.Roll.Find(name)
	web.Answer(w, 200, map[string]any{"store": name, "here": isHere, "retired": m.scenes.Now().Retired[name],
		"groups_left": left, "complete": asked == answered, "done": left == 0 && asked == answered && asked > 0})
}
