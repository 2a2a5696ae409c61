package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/manager"
	"caperwheel/internal/settings"
	"caperwheel/internal/store"
)

// doctorCommand holds the arguments of doctor.
type doctorCommand struct {
	Settings []string `arg:"--settings" help:"settings files to check, as KIND=FILE"`
}

// finding is one fault that the doctor reports, with its remedy. Severe findings make the command fail.
type finding struct {
	IsSevere bool   `json:"grave"`
	Where    string `json:"where"`
	Fault    string `json:"fault"`
	Remedy   string `json:"remedy"`
}

// doctor checks settings files and the deployment's status for common faults and prints the findings. It does not
// compare clocks.
func (t *runner) doctor(c *doctorCommand) error {
	found := []finding{}
	for _, pair := range c.Settings {
		found = append(found, checkSettings(pair)...)
	}
	if status, err := t.readStatus(); err != nil {
		found = append(found, finding{true, t.args.Manager, "the manager does not answer: " + err.Error(),
			"is it running, and is --manager its HTTP address?"})
	} else {
		found = append(found, checkStatus(status)...)
		found = append(found, t.checkTenants()...)
	}
	hasSevere := false
	if t.args.Json {
		raw, err := json.MarshalIndent(found, "", "  ")
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode the findings")
		}
		fmt.Fprintln(t.out, string(raw))
	}
	for _, f := range found {
		hasSevere = hasSevere || f.IsSevere
		if !t.args.Json {
			fmt.Fprintf(t.out, "%s %s: %s\n    %s\n", map[bool]string{true: "FAULT", false: "note "}[f.IsSevere], f.Where, f.Fault, f.Remedy)
		}
	}
	if hasSevere {
		return errs.New(errs.Unhealthy, "the doctor found severe faults")
	}
	if len(found) == 0 && !t.args.Json {
		fmt.Fprintln(t.out, "No fault was found.")
	}
	return nil
}

// checkSettings loads a settings file, given as KIND=FILE, as its daemon would, and connects to each seed in it.
func checkSettings(pair string) []finding {
	kind, file := "", pair
	for i, r := range pair {
		if r == '=' {
			kind, file = pair[:i], pair[i+1:]
			break
		}
	}
	s, err := settings.Load(kind, []string{"--settings", file}, nil)
	if err != nil {
		return []finding{{true, file, err.Error(), "correct the file; the daemon would not start with it"}}
	}
	out := []finding{}
	for _, seed := range s.Seeds {
		conn, err := net.DialTimeout("tcp", seed, 2*time.Second)
		if err != nil {
			out = append(out, finding{false, file, "seed " + seed + " does not answer", "is a daemon running there, and can this machine reach it?"})
			continue
		}
		conn.Close()
	}
	return out
}

// checkStatus returns the faults that a manager's status shows.
func checkStatus(s manager.Status) []finding {
	out := []finding{}
	add := func(isSevere bool, where, fault, remedy string) {
		out = append(out, finding{isSevere, where, fault, remedy})
	}
	if !s.IsFresh {
		add(true, s.Manager, "its view is stale", "are the stores up, and a majority of each part's replicas?")
	}
	stores, managers, zones, clusters := 0, 0, map[string]bool{}, map[int64]bool{}
	for _, m := range s.Members {
		if !m.IsFresh {
			add(true, m.Name, "its view is stale: it accepts and starts no work", "check its network path to the managers, and its log")
		} else if m.Revision < s.Revision {
			add(false, m.Name, fmt.Sprintf("holds configuration revision %d, the newest is %d", m.Revision, s.Revision), "it should catch up within the configured bound; run the doctor again")
		}
		switch m.Kind {
		case "store":
			stores++
			zones[m.Zone] = true
			if cluster := m.Counts[store.ClusterCount]; cluster != 0 {
				clusters[cluster] = true
			}
			if m.Counts["full"] > 0 {
				add(true, m.Name, "its disk is nearly full: its places reject new messages", "free space on the disk, or retire the store")
			}
			if n := m.Counts[store.UnknownTimeCount]; n > 0 {
				add(false, m.Name, fmt.Sprintf("the time of %d of its places was unknown when it became their owner", n),
					"delays and patience there end late, by as long as all of their stores were down; see the metric place_time_seconds")
			}
			if m.Counts["segments"] > 8 {
				add(false, m.Name, fmt.Sprintf("its log has %d segments", m.Counts["segments"]), "snapshots are not written fast enough to free segments; is the disk slow?")
			}
		case "manager":
			managers++
			out = append(out, checkLists(m)...)
		}
	}
	if len(clusters) > 1 {
		add(true, "stores", fmt.Sprintf("they belong to %d separate deployments", len(clusters)),
			"two groups of stores were founded separately: stop the one that holds no data yet, clear its data folders, and start it again")
	}
	if stores < 3 || len(zones) < 3 {
		add(stores < 2, "stores", fmt.Sprintf("only %d in this deployment, in %d zones", stores, len(zones)),
			"with fewer than three stores in three zones, the loss of one more stops places")
	}
	if managers < 2 {
		add(false, "managers", fmt.Sprintf("only %d in this deployment", managers), "start another: without a manager, the view of every daemon goes stale")
	}
	groups := func(kind string, list []manager.StatusGroup) {
		withoutOwner, underReplicated, lagging := 0, 0, 0
		for _, g := range list {
			switch {
			case g.Owner == "":
				withoutOwner++
			case g.Voters < 3:
				underReplicated++
			case g.Lag > 1000:
				lagging++
			}
		}
		if withoutOwner > 0 {
			add(true, kind, fmt.Sprintf("%d have no owner", withoutOwner), "is a majority of the stores up?")
		}
		if underReplicated > 0 {
			add(false, kind, fmt.Sprintf("%d have fewer than three replicas", underReplicated), "is a store down, or retired without a replacement?")
		}
		if lagging > 0 {
			add(false, kind, fmt.Sprintf("%d have a replica that is far behind", lagging), "a store is down, or catching up")
		}
	}
	groups("places", s.Places)
	groups("parts", s.Parts)
	for _, p := range s.Pools {
		if p.Workers == 0 {
			add(false, "pool "+p.Name, "no workers are listed", "set its live list: caperwheel workers set "+p.Name+" FILE")
		} else if len(p.Duties) < p.Workers {
			add(false, "pool "+p.Name, fmt.Sprintf("%d of %d workers have a holder", len(p.Duties), p.Workers), "are adapters up in zones that are not drained?")
		}
	}
	for _, zone := range s.DrainedZones {
		add(false, "zone "+zone, "is drained", "restore it when the maintenance is done: caperwheel zone restore "+zone)
	}
	return out
}

// maxListAgeMs is the age of a list of workers, in milliseconds, above which it is reported as a severe fault.
const maxListAgeMs = 60_000

// checkLists returns the faults of the lists of workers that a manager reads.
func checkLists(m manager.StatusMember) []finding {
	out := []finding{}
	for _, count := range slices.Sorted(maps.Keys(m.Counts)) {
		zone, isList := strings.CutPrefix(count, manager.ListAgePrefix)
		if !isList {
			continue
		}
		where := "list of workers"
		if zone != "" {
			where += " of zone " + zone
		}
		switch age := m.Counts[count]; {
		case age < 0:
			out = append(out, finding{false, where, fmt.Sprintf("%s has not read it completely yet; %d calls were refused", m.Name, m.Counts[manager.ListRefusedCount]),
				"a long list takes time to read: see list_calls_total and the log of " + m.Name})
		case age > maxListAgeMs:
			out = append(out, finding{true, where, fmt.Sprintf("the last reading of it is %d s old; %d calls were refused", age/1000, m.Counts[manager.ListRefusedCount]),
				"can " + m.Name + " reach the list, and does list_rate leave it enough calls?"})
		}
	}
	return out
}
