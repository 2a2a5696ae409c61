package scale

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// figure is one thing measured of a role.
type figure struct {
	name string
	unit string
	of   func(r Row) float64
}

// figures are those that are fitted and drawn.
var figures = []figure{
	{"processor", "% of a core", func(r Row) float64 { return r.Cpu * 100 }},
	{"memory", "MB", func(r Row) float64 { return r.Memory / 1e6 }},
	{"bytes", "KB/s in and out", func(r Row) float64 { return (r.BytesIn + r.BytesOut) / 1e3 }},
	{"messages", "messages/s in and out", func(r Row) float64 { return r.MsgIn + r.MsgOut }},
	{"state", "KB of view", func(r Row) float64 { return r.View / 1e3 }},
}

var roles = []string{"manager", "store", "agent", "adapter", "hollow"}

func (r Result) print(w io.Writer, title string) {
	fmt.Fprintf(w, "\n%s: ready after %v; %d changes, %d in force everywhere, %d late; at the last adapter after %v median, %v 99 %%, %v most; %d adapters fresh",
		title, r.Ready.Round(time.Millisecond), r.Changes, r.InForce, r.Late, r.Median.Round(time.Millisecond),
		r.Most99.Round(time.Millisecond), r.Most.Round(time.Millisecond), r.Fresh)
	if r.Restarts > 0 {
		fmt.Fprintf(w, "; %d restarts", r.Restarts)
	}
	if r.Duties+r.Owners > 0 {
		fmt.Fprintf(w, "; %.0f duties moved, %.0f owner changes", r.Duties, r.Owners)
	}
	if r.Recover > 0 {
		fmt.Fprintf(w, "; a killed store is ready after %v", r.Recover.Round(time.Millisecond))
	}
	if r.IsStarved {
		fmt.Fprint(w, "; starved")
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "role\tcount\tkeys\tview KB\tmembers\theld\tdisk MB\tmsg/s in\tout\tKB/s in\tout\tcore %\tmost\twait %\tMB\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t\n", row.Role, row.Count, row.Keys,
			row.View/1e3, row.Members, row.Held, row.Disk/1e6, row.MsgIn, row.MsgOut, row.BytesIn/1e3, row.BytesOut/1e3,
			row.Cpu*100, row.CpuMost*100, row.Wait*100, row.Memory/1e6)
	}
	_ = t.Flush()
}

// printFits prints a line for each role and figure, over the points that were
// not starved; a bend well above 1 in what
// fits no line badly is growth that is worse than linear.
func (s Sweep) printFits(w io.Writer, results []Result) {
	results = slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.IsStarved })
	if len(results) < 2 {
		fmt.Fprintf(w, "\nToo few points that were not starved to fit a line.\n")
		return
	}
	fmt.Fprintf(w, "\nFitted over %s:\n", s.Unit)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "role\tfigure\tat 0\tslope\tR²\tbend\tunit\t")
	for _, role := range roles {
		for _, f := range figures {
			fit := s.fit(results, role, f)
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3f\t%.2f\t%s\t\n", role, f.name, short(fit.At0), short(fit.Slope), fit.R2, fit.Bend, f.unit)
		}
	}
	lag := FitLine(s.X(results), lagsIn(results))
	fmt.Fprintf(t, "all\tin force\t%s\t%s\t%.3f\t%.2f\tms, median\t\n", short(lag.At0), short(lag.Slope), lag.R2, lag.Bend)
	_ = t.Flush()
}

func (s Sweep) fit(results []Result, role string, f figure) Fit {
	return FitLine(s.X(results), valuesOf(results, role, f))
}

func valuesOf(results []Result, role string, f figure) []float64 {
	out := []float64{}
	for _, r := range results {
		out = append(out, f.of(r.Row(role)))
	}
	return out
}

func lagsIn(results []Result) []float64 {
	out := []float64{}
	for _, r := range results {
		out = append(out, float64(r.Median)/float64(time.Millisecond))
	}
	return out
}

// short writes a number with four figures.
func short(x float64) string {
	if x == 0 || math.Abs(x) >= 1e-4 && math.Abs(x) < 1e6 {
		return fmt.Sprintf("%.4g", x)
	}
	return fmt.Sprintf("%.3e", x)
}
