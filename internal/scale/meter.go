package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// reading is what one process has used and counted since it started.
type reading struct {
	at     time.Time
	cpu    time.Duration
	wait   time.Duration      // for a core, while ready to run
	rss    float64            // bytes
	counts map[string]float64 // metrics by name and labels
}

// clockTick is the unit of /proc/PID/stat: a hundredth of a second on Linux.
const clockTick = 10 * time.Millisecond

// readProcess reads processor time and memory of a process.
func readProcess(pid int) (cpu time.Duration, rss float64, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.Lost, "process %d", pid)
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0, 0, errs.Wrap(err, errs.Lost, "process %d", pid)
	}
	cpu, err = cpuOf(stat)
	return cpu, rssOf(status), err
}

// cpuOf reads user and system time out of a stat line. The name of the program
// stands in brackets and may have blanks.
func cpuOf(stat []byte) (time.Duration, error) {
	at := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[at+1:]))
	if at < 0 || len(fields) < 13 {
		return 0, errs.New(errs.Corrupt, "stat of a process")
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, errs.Wrap(err, errs.Corrupt, "stat of a process")
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, errs.Wrap(err, errs.Corrupt, "stat of a process")
}

// waitOf sums for how long the threads of a process were ready and had no core.
// Where it is much, the machine was busy, and times mean little.
func waitOf(pid int) time.Duration {
	total := int64(0)
	files, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if fields := strings.Fields(string(raw)); err == nil && len(fields) > 1 {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			total += n
		}
	}
	return time.Duration(total)
}

func rssOf(status []byte) float64 {
	for line := range strings.Lines(string(status)) {
		if rest, isIt := strings.CutPrefix(line, "VmRSS:"); isIt {
			if fields := strings.Fields(rest); len(fields) > 0 {
				kb, _ := strconv.ParseFloat(fields[0], 64)
				return kb * 1024
			}
		}
	}
	return 0
}

// countsOf reads the product's own metrics out of an exposition.
func countsOf(text []byte) map[string]float64 {
	out := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		at := strings.LastIndexByte(line, ' ')
		name, isOurs := strings.CutPrefix(line, "caperwheel_")
		if !isOurs || at < 0 {
			continue
		}
		if n, err := strconv.ParseFloat(strings.TrimSpace(line[at:]), 64); err == nil {
			out[name[:at-len("caperwheel_")]] = n
		}
	}
	return out
}

// read takes a reading of a process.
func read(ctx context.Context, p *fleet.Process) (reading, error) {
	out := reading{at: time.Now()}
	var err error
	if out.cpu, out.rss, err = readProcess(p.Pid()); err != nil {
		return out, err
	}
	out.wait = waitOf(p.Pid())
	code, _, raw, err := fleet.Do(ctx, "GET", "http://"+p.Http+"/metrics", "", nil)
	if err == nil && code != 200 {
		err = errs.New(errs.Unhealthy, "metrics of %s: %d", p.Name, code)
	}
	out.counts = countsOf(raw)
	return out, err
}

// sum adds the counts whose name and labels hold all the parts.
func (r reading) sum(parts ...string) float64 {
	out := 0.0
	for name, n := range r.counts {
		isIt := true
		for _, part := range parts {
			isIt = isIt && strings.Contains(name, part)
		}
		if isIt {
			out += n
		}
	}
	return out
}

// ask reads a document of the pack.
func ask(ctx context.Context, p *fleet.Process, path string, into any) error {
	code, _, raw, err := fleet.Do(ctx, "GET", "http://"+p.Http+path, "", nil)
	if err != nil || code != 200 {
		return errs.New(errs.Unhealthy, "%s of the pack: %d", path, code)
	}
	return errs.Wrap(json.Unmarshal(raw, into), errs.Corrupt, "%s of the pack", path)
}

// diskOf sums the files of a folder.
func diskOf(dir string) float64 {
	total := 0.0
	_ = filepath.WalkDir(dir, func(_ string, e os.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			if info, err := e.Info(); err == nil {
				total += float64(info.Size())
			}
		}
		return nil
	})
	return total
}
