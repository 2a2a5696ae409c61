package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	listDelay         = 300 * time.Millisecond
	listRatePerSecond = 20.0
	listPageEntries   = 4
)

// instance is an entry of the list, as its JSON has it.
type instance struct {
	Identifier string `json:"identifier"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"concurrency_slots"`
	State      string `json:"state"`
	ColdFor    int64  `json:"cold_remaining_ms"`
}

// list emulates the platform's API that lists worker instances. It shows the state of listDelay ago.
type list struct {
	site          *Site
	page          int     // entries per page
	rate          float64 // calls per second that are accepted in total
	sharedWorkers []*manyWorkers
	mu            sync.Mutex
	snapshots     []listState
	recentCalls   []time.Duration // calls within the last second
	// Calls counts all calls, CallsOverRate those rejected because of the rate.
	Calls, CallsOverRate int
}

// listState is the content of the list at a moment.
type listState struct {
	at   time.Duration
	rows []*rows // concatenated
}

// rows are immutable entries of the list.
type rows struct {
	all    []instance
	byZone map[string][]instance
}

// newRows indexes entries by zone.
func newRows(all []instance) *rows {
	r := &rows{all: all, byZone: map[string][]instance{}}
	for _, row := range all {
		r.byZone[row.Zone] = append(r.byZone[row.Zone], row)
	}
	return r
}

// of returns the entries of a zone, or all entries if the zone is empty.
func (r *rows) of(zone string) []instance {
	if zone == "" {
		return r.all
	}
	return r.byZone[zone]
}

// slice returns the entries of a zone from index from to index until, and whether there are more.
func (s listState) slice(zone string, from, until int) (out []instance, hasMore bool) {
	out = []instance{}
	for _, r := range s.rows {
		part := r.of(zone)
		if from < len(part) && until > 0 {
			out = append(out, part[max(0, from):min(len(part), until)]...)
		}
		from, until = from-len(part), until-len(part)
	}
	return out, until < 0
}

// currentRows returns the entries of the workers that exist now.
func (l *list) currentRows() []*rows {
	poolRows, now := []instance{}, l.site.Now()
	for _, p := range l.site.Pools {
		if p.Count == 0 {
			continue
		}
		for _, w := range p.all() {
			state := "ready"
			if w.isDraining.Load() {
				state = "draining"
			}
			poolRows = append(poolRows, instance{w.Id, p.Name, w.Addr, w.Zone, "v1", p.Slots, state, max(0, (w.ColdUntil - now).Milliseconds())})
		}
	}
	out := []*rows{newRows(poolRows)}
	for _, c := range l.sharedWorkers {
		out = append(out, c.rows())
	}
	return out
}

// snapshot records the current entries, which are shown after listDelay.
func (l *list) snapshot() {
	rows := l.currentRows()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, listState{l.site.Now(), rows})
	for len(l.snapshots) > 1 && l.snapshots[1].at < l.site.Now()-listDelay {
		l.snapshots = l.snapshots[1:]
	}
}

// ServeHTTP serves a page of the list, or 429 beyond the rate.
func (l *list) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	now := l.site.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Calls++
	for len(l.recentCalls) > 0 && l.recentCalls[0] <= now-time.Second {
		l.recentCalls = l.recentCalls[1:]
	}
	if r.URL.Path != "/instances" || r.Method != http.MethodGet {
		out.WriteHeader(404)
		return
	}
	if len(l.recentCalls) >= int(math.Ceil(l.rate)) {
		l.CallsOverRate++
		out.WriteHeader(429)
		return
	}
	l.recentCalls = append(l.recentCalls, now)
	from, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("page_token"), "after-"))
	from = max(from, 0)
	page, hasMore := l.snapshots[0].slice(r.URL.Query().Get("zone"), from, from+l.page)
	var next any
	if hasMore {
		next = "after-" + strconv.Itoa(from+l.page)
	}
	raw, err := json.Marshal(map[string]any{"instances": page, "next_page_token": next})
	if err != nil {
		out.WriteHeader(500)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(raw)
}
