package fleet

import (
	"context"
	"strconv"
	"strings"
)

// SumCounters sums the product's metrics counters without labels over all daemons that answer. A daemon's counters
// begin at its start, so the sums are too low in runs in which daemons are killed.
func (f *Fleet) SumCounters(ctx context.Context) map[string]float64 {
	out := map[string]float64{}
	for _, p := range f.All() {
		code, _, raw, err := SendRequest(ctx, "GET", "http://"+p.Http+"/metrics", "", nil)
		if err != nil || code != 200 {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			name, value, isPair := strings.Cut(strings.TrimSpace(line), " ")
			short, isOurs := strings.CutPrefix(name, "caperwheel_")
			isOurs = isOurs && isPair && strings.HasSuffix(name, "_total") && !strings.Contains(name, "{")
			if n, err := strconv.ParseFloat(value, 64); isOurs && err == nil {
				out[strings.TrimSuffix(short, "_total")] += n
			}
		}
	}
	return out
}
