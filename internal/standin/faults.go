package standin

import (
	"context"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// faultActions maps the name of a fault to the function that causes it, which returns the function that ends it. Their
// last parameter selects machines (store-1, core-*, "zone north-bank", *), workers by the position of their service in
// the plan (pool-1/1, pool-1/*, pool-3/*), tenants by their position (tenant-1), a zone, or the kind of change.
var faultActions = map[string]func(ctx context.Context, s *Site, name string) (endFault func()){
	"kill": func(_ context.Context, s *Site, name string) func() {
		return s.disruptEach(name, func(m *Machine) { m.stop(false) })
	},
	"stop": func(_ context.Context, s *Site, name string) func() {
		return s.disruptEach(name, func(m *Machine) { m.stop(true) })
	},
	"wipe": func(_ context.Context, s *Site, name string) func() { return s.disruptEach(name, (*Machine).wipe) },
	"wipe and kill": func(_ context.Context, s *Site, name string) func() {
		return s.wipeAndKill(name)
	},
	"turn":   rollingRestart,
	"hup":    reloadSettings,
	"freeze": freezeMachines,
	"vanish": crashWorkers,
	"leave":  drainWorkers,
	"swap":   reuseAddress,
	"empty":  evacuateZone,
	"edit":   changeConfig,
	"flood":  floodRoute,
	"deafen": failReceivers,
	"nag":    signalWhileStopping,
	"storm":  reloadRepeatedly,
	"gone":   losePower,
	"reload": reload, "lone": restartAgents, "together": stopTogether,
	"churn":  changeRepeatedly,
	"forget": closeIdleConnections,
	"rotate": rotateKey, "revoke": revokeKeys, "raise": raise, "lower": lower, "hot": overload,
	"fail": setMode, "crawl": setMode, "lose": setMode, "cut": setMode, "silent": setMode, "full": setMode,
}

// IsFault reports whether a fault of that name exists.
func IsFault(name string) bool { return faultActions[name] != nil }

// InjectFaults carries out a schedule of faults. It records the time at which each step really began and ended, from
// which recovery is judged: on a busy machine a step can take long.
func (s *Site) InjectFaults(ctx context.Context, schedule fleet.Schedule) {
	isJudged := map[string]bool{}
	for _, o := range schedule.Outages() {
		isJudged[o.Description] = true
	}
	recordOutage := func(text string) {
		if isJudged[text] {
			s.History.WithLock(func() { s.History.Outages = append(s.History.Outages, check.Outage{Description: text, At: s.Now()}) })
		}
	}
	schedule.Run(ctx, func(ctx context.Context, step fleet.Step) func() {
		recordOutage(step.Action + " " + step.Target)
		selector := step.Target
		if faultModes[step.Action] != Healthy {
			selector = step.Action + " " + selector
		}
		endFault := faultActions[step.Action](ctx, s, selector)
		return func() { endFault(); recordOutage("end of " + step.Action + " " + step.Target) }
	}, s.recordFailure)
}

// machinesMatching returns the machines that a selector names, and records a failure if there is none.
func (s *Site) machinesMatching(selector string) []*Machine {
	out := []*Machine{}
	for _, m := range s.Machines {
		zone, isZone := strings.CutPrefix(selector, "zone ")
		prefix, isPrefix := strings.CutSuffix(selector, "*")
		if m.ShortName == selector || isPrefix && strings.HasPrefix(m.ShortName, prefix) || isZone && m.Zone == zone {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		s.recordFailure("no machine matches %s", selector)
	}
	return out
}

// disruptEach applies a fault to all matching machines concurrently; when the fault ends, they start again.
func (s *Site) disruptEach(selector string, disrupt func(*Machine)) func() {
	all, done := s.machinesMatching(selector), make(chan struct{})
	for _, m := range all {
		go func() { disrupt(m); done <- struct{}{} }()
	}
	for range all {
		<-done
	}
	return func() {
		for _, m := range all {
			m.restart()
		}
	}
}

// wipeAndKill deletes the disks of the matching machines while all machines are killed at the same moment, including
// those that do not count as lost machines. All start again when the fault ends.
func (s *Site) wipeAndKill(selector string) func() {
	isWiped := map[*Machine]bool{}
	for _, m := range s.machinesMatching(selector) {
		isWiped[m] = true
	}
	return s.disruptEach("*", func(m *Machine) {
		if isWiped[m] {
			m.wipe()
		} else {
			m.stop(false)
		}
	})
}

// rollingRestart stops and restarts the matching machines one after another.
func rollingRestart(ctx context.Context, s *Site, selector string) func() {
	for _, m := range s.machinesMatching(selector) {
		m.stop(true)
		sleep(ctx, restartPause)
		m.restart()
		sleep(ctx, time.Second)
	}
	return func() {}
}

// reloadSettings makes the matching machines reload changed settings.
func reloadSettings(_ context.Context, s *Site, selector string) func() {
	for _, m := range s.machinesMatching(selector) {
		m.reloadSettings()
	}
	return func() {}
}

// freezeMachines suspends the processes of the matching machines by SIGSTOP until the fault ends.
func freezeMachines(_ context.Context, s *Site, selector string) func() {
	all, ends := s.machinesMatching(selector), []func(time.Duration){}
	signal := func(sig syscall.Signal) {
		for _, m := range all {
			for _, p := range m.Processes {
				p.Signal(sig)
			}
		}
	}
	for _, m := range all {
		ends = append(ends, s.History.beginDisruption(m.ShortName, s.Now(), false))
	}
	signal(syscall.SIGSTOP)
	return func() {
		signal(syscall.SIGCONT)
		for _, end := range ends {
			end(s.Now())
		}
	}
}

// evacuateZone starts the evacuation of a zone and finishes it when the fault ends.
func evacuateZone(ctx context.Context, s *Site, zone string) func() {
	if s.operator.evacuate(ctx, zone, "start") {
		s.History.WithLock(func() {
			s.History.Marks = append(s.History.Marks, check.Drain{Zone: zone, From: s.Now(), Grace: evacuationBound})
		})
	}
	return func() {
		at := s.Now()
		s.History.WithLock(func() {
			for i, m := range s.History.Marks {
				if m.Zone == zone && m.Until == 0 {
					s.History.Marks[i].Until = at
				}
			}
		})
		s.operator.evacuate(ctx, zone, "finish")
	}
}

// floodRoute submits messages that no worker can process, at three times the load's rate, until the fault ends.
func floodRoute(ctx context.Context, s *Site, route string) func() {
	ctx, cancel := context.WithCancel(ctx)
	for _, load := range s.plan.Loads {
		if strings.HasPrefix(load.Route, route) {
			load.Rate, load.PoisonedShare, load.DelayedShare = 3*load.Rate, 1, 0
			go s.RunTraffic(ctx, []Load{load}, time.Second)
		}
	}
	return cancel
}
