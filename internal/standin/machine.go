package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// The platform's machine classes.
const (
	classCore  = "core"
	classStore = "storage"
	classFront = "front_end"
)

const (
	settingsFileVariable = "CAPERWHEEL_NODE_FILE"
	watchPeriod          = 100 * time.Millisecond
	restartPause         = 500 * time.Millisecond
)

// Machine is a machine with a process for each of its roles.
type Machine struct {
	Name, ShortName, Class, Zone string
	Processes                    []*fleet.Process
	site                         *Site
	host                         int

	mu             sync.Mutex
	shouldRun      bool // desired state of the processes
	hasRun         bool
	usesSecondList bool // the settings name the list's second address
	incarnation    atomic.Int64
	// nextSignalEvent is closed at the next signal that stops the processes or makes them reload settings.
	nextSignalEvent   atomic.Pointer[signalEvent]
	isPermanentlyDown bool                // the machine never starts again
	endDisruption     func(time.Duration) // ends the current disruption; nil without one
}

// createProcesses adds a process for each role of the machine's class.
func (m *Machine) createProcesses() {
	roles := map[string][]string{classCore: {"manager"}, classStore: {"store"}, classFront: {"agent", "adapter"}}
	for _, kind := range roles[m.Class] {
		log := filepath.Join(m.site.Dir, "log", m.ShortName+"-"+kind+".log")
		m.Processes = append(m.Processes, fleet.NewProcess(kind, m.ShortName, m.Zone, m.site.Bin, log, "", settingsFileVariable+"="+m.file(kind)))
	}
}

// file returns the path of the settings file of a process.
func (m *Machine) file(kind string) string {
	return filepath.Join(m.site.Dir, "etc", m.ShortName+"-"+kind+".json")
}

// disk returns the data directory.
func (m *Machine) disk() string { return filepath.Join(m.site.Dir, "disk", m.ShortName) }

// settings returns the settings file that the platform provides for a process of this kind.
func (m *Machine) settings(kind string) map[string]any {
	s := m.site
	seeds, zones := []string{}, map[string]string{}
	for i, zone := range s.Zones {
		seeds, zones[zone] = append(seeds, s.at(machineHost+i, portControl)), "shire"
	}
	ip, _, _ := strings.Cut(s.at(m.host, 0), ":")
	listen, serves, list := map[string]string{}, []string{}, listHost
	if m.usesSecondList {
		seeds[0], seeds[1], list = seeds[1], seeds[0], listHost+1
	}
	var data any
	switch kind {
	case "adapter":
		listen, serves = map[string]string{"front": s.at(m.host, portFront), "readiness": s.at(m.host, portReady)}, []string{classFront}
	case "manager":
		listen, serves = map[string]string{"control": s.at(m.host, portControl)}, []string{"control_plane"}
	case "store":
		serves = []string{classStore}
	}
	if m.Class != classFront {
		data = m.disk()
	}
	return map[string]any{"node_name": m.Name, "role": kind, "machine_class": m.Class, "serves": serves, "ip_address": ip,
		"zone": m.Zone, "region": "shire", "zones": zones, "listen_addresses": listen,
		"internal_port_range": []int{s.port + portFirst, s.port + portLast}, "seed_nodes": seeds, "first_start": !m.hasRun,
		"loss_counted": m.Class != classFront, "data_directory": data, "discovery_source": "cloud_api", "entry_kind": "virtual_address",
		"limits": map[string]any{"cpu_fraction": 1.0, "core_count": 1, "memory_mb": 320, "file_descriptors": 4000,
			"link_speed_mbps": 900.0, "disk_mb": 200},
		"heartbeat_interval_ms": 1000, "active_contracts": []string{"base", "drain", "config", "ingest", "recover", "places"},
		"tolerated_losses": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 2, "address_reuse_s": 2, "contact_ms": contactBound.Milliseconds(),
			"acknowledge_ms": acknowledgeBound.Milliseconds(), "catch_up_s": 4, "drain_ms": drainBound.Milliseconds(),
			"grace_period_s": s.grace().Seconds(), "loss_slack_ms": lossSlack.Milliseconds(), "config_apply_ms": configApplyBound.Milliseconds(),
			"rollback_slack_ms": rollbackSlack.Milliseconds(), "outer_stretch_ms": 11000, "cold_overshoot": coldOvershoot, "cold_slack": coldSlack,
			"evacuation_ms": evacuationBound.Milliseconds(), "recovery_s": 12, "finish_s": finishBound.Seconds(), "status_s": 100,
			"callback_timeout_s": 5, "visibility_ms": 3000, "earliest_ms": 100, "ceiling_window_s": ceilingWindow.Seconds(),
			"ceiling_overshoot": ceilingOvershoot, "key_window_s": keyWindow.Seconds(), "quota_window_s": quotaWindow.Seconds(),
			"quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack, "revoke_ms": 5000, "revoked_everywhere": false},
		"cloud_api":      map[string]any{"address": s.at(list, 0), "rate_per_s": s.List.rate, "duties": []string{}, "max_lag_ms": listDelay.Milliseconds()},
		"field_of_later": map[string]any{"to_be": "ignored"}}
}

// write writes the settings files of all processes, each by an atomic rename.
func (m *Machine) write() error {
	for _, p := range m.Processes {
		raw, err := json.Marshal(m.settings(p.Kind))
		if err == nil {
			err = os.WriteFile(m.file(p.Kind)+".new", raw, 0o644)
		}
		if err == nil {
			err = os.Rename(m.file(p.Kind)+".new", m.file(p.Kind))
		}
		if err != nil {
			return errs.Wrap(err, errs.Internal, "write the settings of machine %s", m.Name)
		}
	}
	return nil
}

// start starts all processes with the current settings.
func (m *Machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shouldRun || m.isPermanentlyDown {
		return nil // already started by the end of another fault, or permanently down
	}
	if err := os.MkdirAll(m.disk(), 0o755); err != nil {
		return errs.Wrap(err, errs.Internal, "create the data directory of machine %s", m.Name)
	}
	if err := m.write(); err != nil {
		return err
	}
	for _, p := range m.Processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	m.shouldRun, m.hasRun = true, true
	m.incarnation.Add(1)
	if m.endDisruption != nil {
		m.endDisruption(m.site.Now())
		m.endDisruption = nil
	}
	return nil
}

// restart starts the machine and records a failure if it does not start.
func (m *Machine) restart() {
	if err := m.start(); err != nil {
		m.site.recordFailure("machine %s did not start: %v", m.ShortName, err)
	}
}

// reloadSettings writes changed settings and sends SIGHUP to the processes.
func (m *Machine) reloadSettings() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usesSecondList = !m.usesSecondList
	if err := m.write(); err != nil {
		m.site.recordFailure("%v", err)
	}
	m.announceSignal()
	for _, p := range m.Processes {
		if m.shouldRun && m.isListening(p) {
			p.Signal(syscall.SIGHUP)
		}
	}
}

// restartExited starts processes that exited by themselves, and records each as a failure.
func (s *Site) restartExited() {
	for _, m := range s.Machines {
		if !m.mu.TryLock() {
			continue
		}
		for _, p := range m.Processes {
			if m.shouldRun && !p.IsUp() {
				s.recordFailure("%s %s exited by itself: %s", m.ShortName, p.Kind, p.ExitStatus())
				if err := p.Start(); err != nil {
					s.recordFailure("cannot start a process of machine %s again: %v", m.ShortName, err)
				}
			}
		}
		m.mu.Unlock()
	}
}
