package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"caperwheel/internal/errs"
)

// Sweep moves one quantity from Base on.
type Sweep struct {
	Name string
	Unit string
	At   []float64
	set  func(p *Point, at float64)
}

// Sweeps are all that are known, in the order in which they run.
var Sweeps = []Sweep{
	{"daemons", "hollow daemons", []float64{24, 48, 96, 192, 384}, func(p *Point, at float64) { p.Daemons = int(at) }},
	{"destinations", "destinations", []float64{100, 400, 1600, 4000}, func(p *Point, at float64) { p.Destinations = int(at) }},
	{"changes", "changes a second", []float64{0.25, 1, 4, 16}, func(p *Point, at float64) { p.Changes = at }},
	{"down", "destinations down, of 64 with traffic", []float64{0, 8, 24, 56}, func(p *Point, at float64) { p.Targets, p.Down = 64, int(at) }},
	{"backlog", "queued messages", []float64{0, 4000, 16000, 48000}, func(p *Point, at float64) { p.Backlog = int(at) }},
	{"places", "places", []float64{12, 48, 96, 192}, func(p *Point, at float64) { p.Places = int(at) }},
	{"restarts", "restarts of fronts a minute", []float64{0, 30, 120, 300}, func(p *Point, at float64) { p.Restarts = at }},
	{"stores", "stores", []float64{3, 6, 12, 17}, func(p *Point, at float64) { p.Stores = int(at) }},
	{"failover", "hollow daemons, one manager of three killed half-way", []float64{24, 96, 192, 384}, func(p *Point, at float64) { p.Daemons, p.IsLost = int(at), true }},
	{"machines", "machines", []float64{15, 32, 50, 85}, whole},
}

// whole lays out a deployment of so many machines as the users' are: managers,
// stores and fronts in the shares of one of 15 machines and of one of 85.
func whole(p *Point, at float64) {
	share := (at - 15) / (85 - 15)
	p.Managers, p.Stores = 3+int(2*share), 3+int(14*share)
	p.Daemons = 2 * (int(at) - p.Managers - p.Stores - realFronts)
	p.Destinations = 31 + int(229*share)
}

// Run measures every point, prints each as it comes, and gives the results; of
// points that could not be measured, the last error.
func (s Sweep) Run(ctx context.Context, o Options, base Point, w io.Writer) ([]Result, error) {
	out, last := []Result{}, error(nil)
	fmt.Fprintf(w, "\nSweep of %s; else %s\n", s.Unit, base)
	for _, at := range s.At {
		p := base
		s.set(&p, at)
		here := o
		here.Dir = filepath.Join(o.Dir, "point")
		r, err := Measure(ctx, here, p)
		if err != nil { // the others can still be measured
			last = errs.Wrap(err, errs.Unhealthy, "%s at %g", s.Name, at)
			fmt.Fprintf(w, "\n%s = %g: not measured: %v\n", s.Name, at, err)
			continue
		}
		r.At = at
		out = append(out, r)
		r.print(w, fmt.Sprintf("%s = %g", s.Name, at))
	}
	s.printFits(w, out)
	return out, last
}

// X gives the quantity at each result.
func (s Sweep) X(results []Result) []float64 {
	out := []float64{}
	for _, r := range results {
		out = append(out, r.At)
	}
	return out
}

// Save writes the figures and their plot beside each other.
func (s Sweep) Save(dir string, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errs.Wrap(err, errs.Internal, "folder")
	}
	raw, err := json.MarshalIndent(results, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, s.Name+".json"), append(raw, '\n'), 0o644)
	}
	if err != nil {
		return errs.Wrap(err, errs.Internal, "figures")
	}
	return s.plot(filepath.Join(dir, s.Name+".svg"), results)
}

// String tells a point in a line.
func (p Point) String() string {
	return fmt.Sprintf("%d daemons, %d destinations, %g changes/s, %d places, %d managers, %d stores, %d real fronts",
		p.Daemons, p.Destinations, p.Changes, p.Places, p.Managers, p.Stores, realFronts)
}
