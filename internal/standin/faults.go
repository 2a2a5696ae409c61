package standin

import (
	"context"
	"strings"
	"syscall"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// actions cause a fault and give back what undoes it. Who names machines
// (store-1, core-*, "zone north-bank", *), or workers by their service's place
// in the plan (pool-1/1, pool-1/*, pool-3/*).
var actions = map[string]func(ctx context.Context, s *Site, who string) (undo func()){
	"kill": func(_ context.Context, s *Site, who string) func() {
		return s.each(who, func(m *Machine) { m.stop(false) })
	},
	"stop": func(_ context.Context, s *Site, who string) func() {
		return s.each(who, func(m *Machine) { m.stop(true) })
	},
	"wipe": func(_ context.Context, s *Site, who string) func() { return s.each(who, (*Machine).wipe) },
	"wipe and kill": func(_ context.Context, s *Site, who string) func() {
		return s.wipeAndKill(who)
	},
	"turn":   turn,
	"hup":    hup,
	"freeze": freeze,
	"vanish": vanish,
	"leave":  leave,
	"swap":   swap,
	"empty":  empty,
	"edit":   edit,
	"flood":  flood,
	"deafen": deafen,
	"nag":    nag,
	"storm":  storm,
	"gone":   gone,
	"reload": reload, "lone": lone, "together": together,
	"churn":  churn,
	"forget": forget,
	"rotate": rotate, "revoke": revoke, "raise": raise, "lower": lower, "hot": hot,
	"fail": behave, "crawl": behave, "lose": behave, "cut": behave, "silent": behave, "full": behave,
}

// IsFault reports whether there is a fault of that name.
func IsFault(do string) bool { return actions[do] != nil }

// Cause carries out a schedule. Recovery is judged from when a step was really
// begun or undone: a busy machine takes its time.
func (s *Site) Cause(ctx context.Context, schedule fleet.Schedule) {
	isJudged := map[string]bool{}
	for _, o := range schedule.Outages() {
		isJudged[o.Text] = true
	}
	note := func(text string) {
		if isJudged[text] {
			s.History.Add(func() { s.History.Outages = append(s.History.Outages, check.Outage{Text: text, At: s.Now()}) })
		}
	}
	schedule.Carry(ctx, func(ctx context.Context, step fleet.Step) func() {
		note(step.Do + " " + step.Who)
		who := step.Who
		if modes[step.Do] != Well {
			who = step.Do + " " + who
		}
		undo := actions[step.Do](ctx, s, who)
		return func() { undo(); note("end of " + step.Do + " " + step.Who) }
	}, s.failed)
}

func (s *Site) match(who string) []*Machine {
	out := []*Machine{}
	for _, m := range s.Machines {
		zone, isZone := strings.CutPrefix(who, "zone ")
		prefix, isPrefix := strings.CutSuffix(who, "*")
		if m.Short == who || isPrefix && strings.HasPrefix(m.Short, prefix) || isZone && m.Zone == zone {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		s.failed("no machine is called %s", who)
	}
	return out
}

// each hurts machines at once; undone, they start again.
func (s *Site) each(who string, do func(*Machine)) func() {
	all, done := s.match(who), make(chan struct{})
	for _, m := range all {
		go func() { do(m); done <- struct{}{} }()
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

// wipeAndKill has machines lose their disks while all others are killed at the same
// moment, those too whose loss does not count. Undone, all start again.
func (s *Site) wipeAndKill(who string) func() {
	isWiped := map[*Machine]bool{}
	for _, m := range s.match(who) {
		isWiped[m] = true
	}
	return s.each("*", func(m *Machine) {
		if isWiped[m] {
			m.wipe()
		} else {
			m.stop(false)
		}
	})
}

// turn stops machines and starts them again one after another.
func turn(ctx context.Context, s *Site, who string) func() {
	for _, m := range s.match(who) {
		m.stop(true)
		pause(ctx, restartPause)
		m.restart()
		pause(ctx, time.Second)
	}
	return func() {}
}

func hup(_ context.Context, s *Site, who string) func() {
	for _, m := range s.match(who) {
		m.hup()
	}
	return func() {}
}

func freeze(_ context.Context, s *Site, who string) func() {
	all, ends := s.match(who), []func(time.Duration){}
	signal := func(sig syscall.Signal) {
		for _, m := range all {
			for _, p := range m.Processes {
				p.Signal(sig)
			}
		}
	}
	for _, m := range all {
		ends = append(ends, s.History.begin(m.Short, s.Now(), false))
	}
	signal(syscall.SIGSTOP)
	return func() {
		signal(syscall.SIGCONT)
		for _, end := range ends {
			end(s.Now())
		}
	}
}

// empty evacuates a zone; undone, it is taken back.
func empty(ctx context.Context, s *Site, zone string) func() {
	if s.operator.evacuate(ctx, zone, "start") {
		s.History.Add(func() {
			s.History.Marks = append(s.History.Marks, check.Mark{Zone: zone, From: s.Now(), Bound: evacuation})
		})
	}
	return func() {
		at := s.Now()
		s.History.Add(func() {
			for i, m := range s.History.Marks {
				if m.Zone == zone && m.Until == 0 {
					s.History.Marks[i].Until = at
				}
			}
		})
		s.operator.evacuate(ctx, zone, "finish")
	}
}

// flood sends what no worker can do, until undone.
func flood(ctx context.Context, s *Site, route string) func() {
	ctx, cancel := context.WithCancel(ctx)
	for _, load := range s.plan.Loads {
		if strings.HasPrefix(load.Route, route) {
			load.Rate, load.Poisoned, load.Delayed = 3*load.Rate, 1, 0
			go s.Traffic(ctx, []Load{load}, time.Second)
		}
	}
	return cancel
}
