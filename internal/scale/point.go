// Package scale measures what control costs as a deployment grows: it puts
// hollow daemons, many in one process, beside real managers, stores, agents and
// adapters, moves one quantity at a time, and reads what each role spends. It
// is a proof tool: no product program uses it.
package scale

import (
	"encoding/json"
	"fmt"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
	"caperwheel/internal/timing"
)

// Point is one deployment to measure.
type Point struct {
	Daemons      int     `json:"daemons"`      // hollow ones; half agents, half adapters
	Destinations int     `json:"destinations"` // workers whose duties hollow adapters hold
	Changes      float64 `json:"changes"`      // a second, of the configuration and of a list by turns
	Targets      int     `json:"targets"`      // destinations with traffic, served by the real adapters
	Down         int     `json:"down"`         // of the targets
	Backlog      int     `json:"backlog"`      // messages that nobody runs
	Places       int     `json:"places"`
	Restarts     float64 `json:"restarts"` // of hollow fronts, a minute
	Managers     int     `json:"managers"`
	Stores       int     `json:"stores"`
	IsLost       bool    `json:"lost"`    // one manager is killed half-way
	Traffic      float64 `json:"traffic"` // messages a second that the real adapters take in besides
}

// Base is where every sweep begins.
var Base = Point{Daemons: 40, Destinations: 100, Changes: 1, Places: 48, Managers: 3, Stores: 3, Traffic: 20}

// perPool is how many destinations one list holds.
const perPool = 100

// parts is how many parts the control state has beside the configuration's.
const parts = 4

// realFronts is how many real agents and adapters serve beside the hollow ones.
const realFronts = 3

// bodySize is how many bytes a queued message carries.
const bodySize = 256

func poolName(i int) string   { return fmt.Sprintf("c.p%04d", i) }
func targetName(i int) string { return fmt.Sprintf("d.t%04d", i) }

func (p Point) pools() int { return (p.Destinations + perPool - 1) / perPool }

// plan lays out the real daemons and the traffic.
func (p Point) plan() fleet.Plan {
	out := fleet.Plan{Name: "scale", Zones: []string{"a", "b", "c"}, Fronts: realFronts, Stores: p.Stores, Managers: p.Managers,
		Places: p.Places, IsDirect: true, Workers: map[string]fleet.PlanWorkers{"served": {Count: 3, WorkMs: 4}},
		Load: []fleet.PlanLoad{}}
	if p.Traffic > 0 {
		out.Load = append(out.Load, fleet.PlanLoad{Lane: "served", Rate: p.Traffic, Size: bodySize})
	}
	if p.Targets > 0 {
		out.Load = append(out.Load, fleet.PlanLoad{Lane: "d", Rate: 64, Size: bodySize})
	}
	return out
}

// config writes the point's configuration.
func (p Point) config() ([]byte, error) {
	type tree = map[string]any
	pools := tree{"served": tree{"concurrency": 8, "ease": "0s"}, "parked": tree{}}
	lanes := tree{"served": tree{"pools": []string{"served"}}, "parked": tree{"pools": []string{"parked"}, "patience": "24h"}}
	if p.Destinations > 0 {
		children := tree{}
		for i := range p.pools() {
			children[poolName(i)[2:]] = tree{}
		}
		pools["c"] = tree{"children": children}
	}
	if p.Targets > 0 {
		to, from := tree{}, tree{}
		for i := range p.Targets {
			name := targetName(i)
			to[name[2:]], from[name[2:]] = tree{}, tree{"pools": []string{name}}
		}
		pools["d"] = tree{"children": to, "ease": "0s"}
		lanes["d"] = tree{"children": from, "patience": "10m"}
	}
	raw, err := json.Marshal(tree{"note": "scale", "pools": pools, "lanes": lanes})
	return raw, errs.Wrap(err, errs.Internal, "charter")
}

// nobody is an address at which no one listens: port 1 refuses at once.
const nobody = "127.0.0.1:1"

// lists gives the workers of each pool. Those of the hollow adapters stand in
// their zones; the targets stand in the real ones'.
func (p Point) lists(live string) map[string][]config.Worker {
	out := map[string][]config.Worker{}
	for i := range p.Destinations {
		pool := poolName(i / perPool)
		out[pool] = append(out[pool], config.Worker{Name: fmt.Sprintf("w%03d", i%perPool), Address: nobody,
			Zone: fmt.Sprintf("hollow-%c", 'a'+i%hollowZones), State: "live"})
	}
	for i := range p.Targets {
		w := config.Worker{Name: "only", Address: live, Zone: string(rune('a' + i%realFronts)), State: "live"}
		if i < p.Down {
			w.Address = nobody
		}
		out[targetName(i)] = []config.Worker{w}
	}
	return out
}

// Row is what one role spends: the mean of its daemons.
type Row struct {
	Role     string             `json:"role"`
	Count    int                `json:"count"`
	Keys     float64            `json:"view_keys"`
	View     float64            `json:"view_bytes"`
	Members  float64            `json:"members"`
	Held     float64            `json:"held"` // messages in the places that a store owns
	Disk     float64            `json:"disk_bytes"`
	MsgIn    float64            `json:"messages_in"` // a second, like all below but the last
	MsgOut   float64            `json:"messages_out"`
	BytesIn  float64            `json:"bytes_in"`
	BytesOut float64            `json:"bytes_out"`
	Cpu      float64            `json:"cpu"` // share of one core
	CpuMost  float64            `json:"cpu_most"`
	Wait     float64            `json:"cpu_wait"` // waiting for a core, as a share of the time
	Memory   float64            `json:"memory_bytes"`
	Links    map[string]float64 `json:"links"` // bytes out by link
}

// Result is what was measured at a point.
type Result struct {
	At        float64       `json:"at"` // the quantity that is swept
	Point     Point         `json:"point"`
	For       time.Duration `json:"for"`
	Rows      []Row         `json:"rows"`
	Changes   int           `json:"changes_made"`
	InForce   int           `json:"changes_in_force"` // at every hollow adapter that was there throughout
	Late      int           `json:"changes_late"`     // at the last one only after the bound from their acknowledgement on
	Median    time.Duration `json:"in_force_median"`  // from sending the change to the last adapter
	Most99    time.Duration `json:"in_force_99"`
	Most      time.Duration `json:"in_force_most"`
	Fresh     int           `json:"fresh"`   // hollow adapters at the end
	IsStarved bool          `json:"starved"` // the hollow daemons had no core to run on: they said less than they should
	Restarts  int           `json:"restarts"`
	Duties    float64       `json:"duty_moves"`    // in the window
	Owners    float64       `json:"owner_changes"` // of places, in the window
	Ready     time.Duration `json:"ready_after"`   // until all duties had a holder
	Recover   time.Duration `json:"recover_after"` // a killed store: from its start to ready; only with a backlog
}

// fullSpeech is how many messages a second a hollow daemon says and hears, on the
// mean of an agent and its adapter: three times a poll's two.
func fullSpeech() float64 { return 3 / timing.Default.Of(timing.Poll).Seconds() }

// enough is the share of it below which a point tells of the machine that it was
// measured on and not of the deployment.
const enough = 0.8

// Row gives a role's row.
func (r Result) Row(role string) Row {
	for _, row := range r.Rows {
		if row.Role == role {
			return row
		}
	}
	return Row{Role: role}
}
