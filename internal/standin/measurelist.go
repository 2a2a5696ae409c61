package standin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"caperwheel/internal/errs"
)

// ListOptions are what a measurement of long lists is made of.
type ListOptions struct {
	Workers  int // on the list
	Page     int // entries of a page
	Rate     float64
	Bin, Dir string
}

// ListFigures are what was measured with a list. Spans count from when the deployment was up.
type ListFigures struct {
	Workers  int
	FirstRun time.Duration      // until a worker of the list has run a message
	Listed   time.Duration      // until a manager knows each worker
	Assigned time.Duration      // until each has a holder
	Changed  time.Duration      // from a worker's leaving on the list until a manager knows it
	Idle     map[string]float64 // cores that a daemon of each kind takes while nothing changes
	Memory   map[string]int64   // bytes that a daemon of each kind has
	Calls    int
	Refused  int
}

// idleMeasurementSpan is for how long the cost of an idle deployment is measured.
const idleMeasurementSpan = 10 * time.Second

// MeasureList runs a small deployment with a list of so many workers.
func MeasureList(ctx context.Context, o ListOptions) (ListFigures, error) {
	plan := SmallPlan()
	plan.ListPage, plan.ListRate, plan.Services[0].Listed, plan.Services[0].Count = o.Page, o.Rate, o.Workers, 1
	out := ListFigures{Workers: o.Workers, Idle: map[string]float64{}, Memory: map[string]int64{}}
	s, err := New(plan, o.Bin, o.Dir)
	if s != nil {
		defer s.Down()
	}
	if err != nil {
		return out, err
	}
	if err := s.Up(ctx); err != nil {
		return out, err
	}
	began, pool, all := s.Now(), plan.Services[0].Name, o.Workers+len(plan.Zones)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go s.RunTraffic(loadCtx, plan.Loads[:1], plan.Deadline)
	shared := s.List.sharedWorkers[0]
	select {
	case <-shared.firstRunSeen:
		out.FirstRun = s.Now() - began
	case <-ctx.Done():
		return out, errs.New(errs.DeadlineExceeded, "no worker of the list has run anything")
	}
	if !s.waitForMetric(ctx, "caperwheel_pool_workers", all) {
		return out, errs.New(errs.DeadlineExceeded, "not every worker of %s is known", pool)
	}
	out.Listed = s.Now() - began
	if !s.waitForMetric(ctx, "caperwheel_pool_duties", all) {
		return out, errs.New(errs.DeadlineExceeded, "not every worker of %s has a holder", pool)
	}
	out.Assigned = s.Now() - began
	stop()
	s.measureIdle(ctx, &out)
	changedAt := s.Now()
	shared.drain(o.Workers / 2)
	if !s.waitForDraining(ctx, shared.id(o.Workers/2)) {
		return out, errs.New(errs.DeadlineExceeded, "that a worker leaves is not known")
	}
	out.Changed = s.Now() - changedAt
	s.List.mu.Lock()
	out.Calls, out.Refused = s.List.Calls, s.List.CallsOverRate
	s.List.mu.Unlock()
	return out, nil
}

// waitForMetric reads the first manager's metrics until one of some pool has come to a value.
func (s *Site) waitForMetric(ctx context.Context, name string, value int) bool {
	for ctx.Err() == nil {
		for line := range strings.Lines(string(s.fetch(ctx, s.machinesMatching("core-1")[0], "/metrics"))) {
			words := strings.Fields(line)
			if len(words) != 2 || !strings.HasPrefix(line, name+"{") {
				continue
			}
			if got, err := strconv.ParseFloat(words[1], 64); err == nil && got >= float64(value) {
				return true
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return false
}

// waitForDraining asks for the lists of pools until one has a worker as leaving.
func (s *Site) waitForDraining(ctx context.Context, text string) bool {
	for ctx.Err() == nil {
		for _, pool := range gjson.GetBytes(s.fetch(ctx, s.machinesMatching("core-1")[0], "/v1/status"), "pools.#.name").Array() {
			raw := s.fetch(ctx, s.machinesMatching("core-1")[0], "/v1/pools/"+pool.Str+"/workers")
			for _, w := range gjson.GetBytes(raw, "workers").Array() {
				if strings.Contains(w.Get("name").Str, text) && w.Get("state").Str == "leaving" {
					return true
				}
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return false
}

// fetch reads from a machine's own door; nothing where it does not answer.
func (s *Site) fetch(ctx context.Context, m *Machine, path string) []byte {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.at(m.host, portHttp)+path, nil)
	if err != nil {
		return nil
	}
	answer, err := s.queryClient.Do(req)
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	raw, err := readAll(answer)
	if err != nil {
		return nil
	}
	return raw
}

// measureIdle measures what daemons take while nothing changes.
func (s *Site) measureIdle(ctx context.Context, out *ListFigures) {
	before := s.cpuSeconds()
	sleep(ctx, idleMeasurementSpan)
	after := s.cpuSeconds()
	for name, ticks := range after {
		kind, _, _ := strings.Cut(name, " ")
		out.Idle[kind] = max(out.Idle[kind], (ticks-before[name])/idleMeasurementSpan.Seconds())
	}
	for _, m := range s.Machines {
		for _, p := range m.Processes {
			out.Memory[p.Kind] = max(out.Memory[p.Kind], residentBytes(p.Pid()))
		}
	}
}

// clockTicksPerSecond is how many a second the system counts a process's time in.
const clockTicksPerSecond = 100

// cpuSeconds returns the processor time that each process has taken, in seconds.
func (s *Site) cpuSeconds() map[string]float64 {
	out := map[string]float64{}
	for _, m := range s.Machines {
		for _, p := range m.Processes {
			raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
			_, rest, isWhole := strings.Cut(string(raw), ") ")
			fields := strings.Fields(rest)
			if err != nil || !isWhole || len(fields) < 13 {
				continue
			}
			user, _ := strconv.ParseFloat(fields[11], 64)
			system, _ := strconv.ParseFloat(fields[12], 64)
			out[p.Kind+" "+m.ShortName] = (user + system) / clockTicksPerSecond
		}
	}
	return out
}

// residentBytes returns the bytes of memory that a process has.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
