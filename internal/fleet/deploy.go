package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/settings"
)

// Plan describes a deployment to run: the number of daemons, the back ends, and the load.
type Plan struct {
	Name     string                 `json:"name"`
	Zones    []string               `json:"cells"`
	Fronts   int                    `json:"fronts"` // number of agents, and of adapters
	Stores   int                    `json:"stores"`
	Managers int                    `json:"managers"`
	Workers  map[string]PlanWorkers `json:"workers"`
	Load     []PlanLoad             `json:"load"`
	Places   int                    `json:"places,omitempty"` // the default of the settings, if not given
	IsDirect bool                   `json:"direct,omitempty"` // connect daemons without relays; no zone can be cut off then
}

// PlanWorkers describes the stand-ins of a pool.
type PlanWorkers struct {
	Count  int    `json:"count"`
	WorkMs int    `json:"work_ms"` // mean duration of a run
	Kind   string `json:"kind,omitempty"`
}

// PlanLoad is the load that callers send to a lane and its child lanes by turns.
type PlanLoad struct {
	Lane string  `json:"lane"`
	Rate float64 `json:"rate"` // messages a second
	Keys int     `json:"keys"` // ordering keys; 0 for an unordered lane
	Size int     `json:"size"` // maximum bytes of random padding in a body
}

// Fleet is a running deployment with its daemons, back ends and callers, and the history of its run.
type Fleet struct {
	Plan             Plan
	Dir              string         // folder of settings, logs and data
	Config           []byte         // the configuration, with the addresses of the stand-in endpoints
	Rules            *config.Rules  // Config, compiled
	History          *check.History // records of the run
	Managers         []*Process
	Stores           []*Process
	Agents           []*Process
	Adapters         []*Process
	Backends         Backends
	startedAt        time.Time
	api              *Api
	callers          *Callers
	configEdits      configEdits
	relays           *relays
	BinDir           string // folder of the programs of this build
	OldBinDir        string // folder of the programs of an older build; if set, daemons start with these
	failuresMu       sync.Mutex
	IsRandomSchedule bool     // the schedule was drawn by seed
	FailedSteps      []string // steps of the schedule that were not carried out
}

// recordFailure records a step that was not carried out, so that the run tests less than its schedule says.
func (f *Fleet) recordFailure(form string, args ...any) {
	f.failuresMu.Lock()
	defer f.failuresMu.Unlock()
	f.FailedSteps = append(f.FailedSteps, fmt.Sprintf(form, args...))
}

// Now returns the time since the fleet was created. All records of the history use this clock.
func (f *Fleet) Now() time.Duration { return time.Since(f.startedAt) }

// ReadPlan reads a configuration NAME.json and the plan NAME.fleet.json in the same folder.
func ReadPlan(configFile string) (Plan, []byte, error) {
	var plan Plan
	doc, err := os.ReadFile(configFile)
	if err != nil {
		return plan, nil, errs.Wrap(err, errs.Invalid, "read configuration file")
	}
	raw, err := os.ReadFile(strings.TrimSuffix(configFile, ".json") + ".fleet.json")
	if err != nil {
		return plan, nil, errs.Wrap(err, errs.Invalid, "read plan of the configuration")
	}
	return plan, doc, errs.Wrap(json.Unmarshal(raw, &plan), errs.Invalid, "decode plan")
}

// New creates a deployment of a plan and the configuration doc. It starts the back ends, but no daemons yet. The
// daemons run programs from bin (from oldBin first, if that is set) and keep their files in dir.
func New(plan Plan, doc []byte, bin, oldBin, dir string) (*Fleet, error) {
	f := &Fleet{Plan: plan, Dir: dir, History: check.NewHistory(), Backends: Backends{}, startedAt: time.Now(), relays: newRelays(), BinDir: bin, OldBinDir: oldBin}
	if oldBin != "" {
		bin = oldBin
	}
	if err := f.createBackends(doc); err != nil {
		return nil, err
	}
	return f, f.createDaemons(bin)
}

// createBackends starts the stand-ins of all pools of the configuration, and puts the addresses of the stand-in
// endpoints into it.
func (f *Fleet) createBackends(doc []byte) error {
	rules, faults := config.Compile(doc)
	if len(faults) > 0 {
		return errs.New(errs.Invalid, "configuration is invalid: %v", faults)
	}
	for pool, p := range rules.Pools {
		spec := f.Plan.Workers[pool]
		if p.IsEndpoint {
			spec.Count = 1
			f.History.RateCaps[pool] = p.Rate
			if spec.WorkMs == 0 {
				spec.WorkMs = 20
			}
		}
		for i := range spec.Count {
			name, zone := fmt.Sprintf("%s-%02d", pool[strings.LastIndex(pool, ".")+1:], i+1), f.Plan.Zones[i%len(f.Plan.Zones)]
			if p.IsEndpoint {
				name, zone = config.EndpointWorker, ""
			}
			b, err := NewBackend(pool, name, zone, time.Duration(spec.WorkMs)*time.Millisecond, f.History, f.Now)
			if err != nil {
				return errs.Wrap(err, errs.Internal, "start back end")
			}
			f.Backends[b.Key()] = b
			f.History.Zones[b.Key()] = zone
			if p.IsEndpoint { // replace the address in the configuration by the stand-in's
				doc = []byte(strings.ReplaceAll(string(doc), `"`+p.Address+`"`, `"`+b.Addr+`"`))
			}
		}
	}
	f.Config = doc
	f.Rules, _ = config.Compile(doc)
	for name, lane := range f.Rules.Lanes {
		f.History.LanePools[name] = lane.Pools
		f.History.OrderedLanes[name] = lane.IsOrdered
		if lane.CallbackLane != "" {
			f.History.CallbackLanes[name] = lane.CallbackLane
		}
	}
	return nil
}

// createDaemons creates the processes of all daemons, with relays before them, and writes their settings files.
func (f *Fleet) createDaemons(bin string) error {
	if err := os.MkdirAll(filepath.Join(f.Dir, "log"), 0o755); err != nil {
		return errs.Wrap(err, errs.Internal, "create log folder")
	}
	newProcess := func(kind, name, zone string) (*Process, error) {
		addr, err := FreePort()
		if err != nil {
			return nil, err
		}
		http, err := FreePort()
		return &Process{Kind: kind, Name: name, Zone: zone, Addr: addr, Http: http, binDir: bin,
			log: filepath.Join(f.Dir, "log", name+".log")}, err
	}
	all := []struct {
		kind  string
		count int
		into  *[]*Process
	}{{"manager", f.Plan.Managers, &f.Managers}, {"store", f.Plan.Stores, &f.Stores},
		{"agent", f.Plan.Fronts, &f.Agents}, {"adapter", f.Plan.Fronts, &f.Adapters}}
	for _, a := range all {
		for i := range a.count {
			p, err := newProcess(a.kind, fmt.Sprintf("%s-%d", a.kind, i+1), f.Plan.Zones[i%len(f.Plan.Zones)])
			if err != nil {
				return err
			}
			*a.into = append(*a.into, p)
		}
	}
	seeds := []string{}
	advertised := map[string]string{}
	for _, p := range f.All() {
		addr, err := p.Addr, error(nil)
		if !f.Plan.IsDirect {
			addr, err = f.relays.open(p.Addr, p.Zone)
		}
		if err != nil {
			return err
		}
		advertised[p.Name] = addr
		if p.Kind == "manager" {
			seeds = append(seeds, addr)
		}
	}
	for i, p := range f.All() {
		set := settings.Default()
		set.Name, set.Zone, set.Listen, set.Http, set.Advertise, set.Verbosity = p.Name, p.Zone, p.Addr, p.Http, advertised[p.Name], 1
		set.Seeds = seeds
		if f.Plan.Places > 0 {
			set.Places = f.Plan.Places
		}
		switch p.Kind {
		case "adapter":
			set.Seeds = []string{f.Agents[i-len(f.Managers)-len(f.Stores)-len(f.Agents)].Addr}
		case "store":
			set.Data, set.Founders, set.DiskReserve = filepath.Join(f.Dir, p.Name), min(3, f.Plan.Stores), 1000000
		}
		p.settingsFile = filepath.Join(f.Dir, p.Name+".json")
		if err := os.WriteFile(p.settingsFile, set.NonDefaultJson(), 0o644); err != nil {
			return errs.Wrap(err, errs.Internal, "write settings of %s", p.Name)
		}
	}
	f.api = &Api{f: f}
	return nil
}

// All returns all daemons: managers, stores, agents and adapters.
func (f *Fleet) All() []*Process {
	out := append([]*Process{}, f.Managers...)
	out = append(out, f.Stores...)
	out = append(out, f.Agents...)
	return append(out, f.Adapters...)
}
