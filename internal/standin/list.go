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
	listLag  = 300 * time.Millisecond
	listRate = 20.0
	listPage = 4
)

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

// list is the platform's list of workers. It shows what was, a lag ago.
type list struct {
	site   *Site
	page   int     // entries of a page
	rate   float64 // calls a second that are taken from all
	shared []*manyWorkers
	mu     sync.Mutex
	was    []listState
	took   []time.Duration // calls within the last second
	// Calls and Over count those that came and those over the rate.
	Calls, Over int
}

type listState struct {
	at   time.Duration
	rows []*rows // one after the other
}

// rows are entries of the list, which are never written.
type rows struct {
	all    []instance
	byZone map[string][]instance
}

func newRows(all []instance) *rows {
	r := &rows{all: all, byZone: map[string][]instance{}}
	for _, row := range all {
		r.byZone[row.Zone] = append(r.byZone[row.Zone], row)
	}
	return r
}

// of returns the entries of a zone, or of all where the zone is empty.
func (r *rows) of(zone string) []instance {
	if zone == "" {
		return r.all
	}
	return r.byZone[zone]
}

// cut returns the entries of a zone from one up to another, and whether there are more.
func (s listState) cut(zone string, from, until int) (out []instance, isMore bool) {
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

func (l *list) now() []*rows {
	own, now := []instance{}, l.site.Now()
	for _, p := range l.site.Pools {
		if p.Count == 0 {
			continue
		}
		for _, w := range p.all() {
			state := "ready"
			if w.isLeaving.Load() {
				state = "draining"
			}
			own = append(own, instance{w.Id, p.Name, w.Addr, w.Zone, "v1", p.Slots, state, max(0, (w.ColdUntil - now).Milliseconds())})
		}
	}
	out := []*rows{newRows(own)}
	for _, c := range l.shared {
		out = append(out, c.rows())
	}
	return out
}

// look notes what is, so that it can be shown a lag later.
func (l *list) look() {
	rows := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.was = append(l.was, listState{l.site.Now(), rows})
	for len(l.was) > 1 && l.was[1].at < l.site.Now()-listLag {
		l.was = l.was[1:]
	}
}

func (l *list) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	now := l.site.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Calls++
	for len(l.took) > 0 && l.took[0] <= now-time.Second {
		l.took = l.took[1:]
	}
	if r.URL.Path != "/instances" || r.Method != http.MethodGet {
		out.WriteHeader(404)
		return
	}
	if len(l.took) >= int(math.Ceil(l.rate)) {
		l.Over++
		out.WriteHeader(429)
		return
	}
	l.took = append(l.took, now)
	from, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("page_token"), "after-"))
	from = max(from, 0)
	page, isMore := l.was[0].cut(r.URL.Query().Get("zone"), from, from+l.page)
	var next any
	if isMore {
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
