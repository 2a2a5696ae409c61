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

// ListOptions are the parameters of MeasureList.
type ListOptions struct {
	Workers  int // on the list, in addition to a small pool
	Page     int // entries per page
	Rate     float64
	Bin, Dir string
}

// ListFigures are the results of MeasureList. Durations count from when the deployment was up.
type ListFigures struct {
	Workers  int
	FirstRun time.Duration      // until a worker of the list has run a message
	Listed   time.Duration      // until a manager has every worker in its view
	Assigned time.Duration      // until every worker is assigned
	Changed  time.Duration      // from a worker draining on the list until a manager reports it
	Idle     map[string]float64 // cores used per kind of daemon while nothing changes
	Memory   map[string]int64   // resident bytes per kind of daemon
	Calls    int
	Refused  int
}

// idleMeasurementSpan is how long the CPU use of an idle deployment is measured.
const idleMeasurementSpan = 10 * time.Second

// MeasureList runs a small deployment whose list has o.Workers additional workers, and measures how long the service
// takes to read it and what it costs.
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
	startedAt, pool, all := s.Now(), plan.Services[0].Name, o.Workers+len(plan.Zones)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	go s.RunTraffic(loadCtx, plan.Loads[:1], plan.Deadline)
	shared := s.List.sharedWorkers[0]
	select {
	case <-shared.firstRunSeen:
		out.FirstRun = s.Now() - startedAt
	case <-ctx.Done():
		return out, errs.New(errs.DeadlineExceeded, "no worker of the list has run a message")
	}
	if !s.waitForMetric(ctx, "caperwheel_pool_workers", all) {
		return out, errs.New(errs.DeadlineExceeded, "the manager does not report every worker of service %s", pool)
	}
	out.Listed = s.Now() - startedAt
	if !s.waitForMetric(ctx, "caperwheel_pool_duties", all) {
		return out, errs.New(errs.DeadlineExceeded, "not every worker of service %s is assigned", pool)
	}
	out.Assigned = s.Now() - startedAt
	stop()
	s.measureIdle(ctx, &out)
	changedAt := s.Now()
	shared.drain(o.Workers / 2)
	if !s.waitForDraining(ctx, shared.id(o.Workers/2)) {
		return out, errs.New(errs.DeadlineExceeded, "the manager does not report the draining worker as leaving")
	}
	out.Changed = s.Now() - changedAt
	s.List.mu.Lock()
	out.Calls, out.Refused = s.List.Calls, s.List.CallsOverRate
	s.List.mu.Unlock()
	return out, nil
}

// waitForMetric polls the first manager's metrics until a series of that name has reached a value.
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

// waitForDraining polls the first manager's worker lists until a worker whose name contains text is reported as
// leaving.
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

// fetch reads a path of a machine's HTTP interface; nil if there is no complete response.
func (s *Site) fetch(ctx context.Context, m *Machine, path string) []byte {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.at(m.host, portHttp)+path, nil)
	if err != nil {
		return nil
	}
	response, err := s.queryClient.Do(req)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	raw, err := readAll(response)
	if err != nil {
		return nil
	}
	return raw
}

// measureIdle measures the CPU and memory use of the daemons while nothing changes.
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

// clockTicksPerSecond is the unit of process times in /proc/PID/stat.
const clockTicksPerSecond = 100

// cpuSeconds returns the CPU time that each process has used, in seconds.
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

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
