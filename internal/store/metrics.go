package store

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/daemon"
	"caperwheel/internal/group"
	"caperwheel/internal/place"
	"caperwheel/internal/timing"
)

// ownerships counts the ownerships of places that began on this store.
var ownerships = prometheus.NewCounter(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place",
	Name: "ownerships_total", Help: "Times that this store became the owner of a place."})

// runStarts counts runs by whether the message had run before and whether the run starts later than wanted.
var runStarts = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "starts_total",
	Help: "Runs given to adapters, by lane, whether the message had run before, and whether it was wanted earlier."},
	[]string{"lane", "repeated", "late"})

// slotRequestResults counts the results of slot requests, which tell why ready messages wait.
var slotRequestResults = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Subsystem: "place", Name: "slot_asks_total",
	Help: "Asks for slots on workers, by pool and by what came of them: granted, nobody to ask, unanswered, or the kind of refusal."},
	[]string{"pool", "told"})

// Results of a slot request, besides the kinds of refusals.
const (
	slotGranted    = "granted"
	slotNoWorker   = "nobody_to_ask"
	slotUnanswered = "unanswered"
)

func init() { prometheus.MustRegister(ownerships, runStarts, slotRequestResults) }

// countStart counts a run that is about to start at a place time.
func countStart(e *place.Message, now int64) {
	isLate := e.StartBy > 0 && e.StartBy < now
	runStarts.WithLabelValues(e.Lane, strconv.FormatBool(e.Attempt > 0), strconv.FormatBool(isLate)).Inc()
}

// emitMetrics emits the metrics of the places that this store owns, of its disk and of its memory.
func (s *Store) emitMetrics(emit daemon.Emit) {
	owned, lag := 0, int64(0)
	for _, id := range s.groupIds() {
		if v := s.hostOf(id).View(); v.Role == group.Owner {
			owned++
			lag = max(lag, v.Lag)
		}
	}
	emit("groups_owned", "Places and parts that this store owns.", float64(owned))
	emit("groups_lag", "Entries by which the farthest replica of an owned group is behind.", float64(lag))
	emit("disk_full", "1 while intake is rejected for want of disk.", map[bool]float64{true: 1}[s.diskFull.Load()])
	emit("disk_waiting_bytes", "Bytes given to the disk that are not synced yet.", float64(s.disk.UnsyncedBytes()))
	emit("disk_segments", "Segments of the log.", float64(s.disk.Segments()))
	emit("repair_kept", "Results kept for adapters.", float64(s.results.Count()))
	emit("memory_tight", "1 while intake is rejected for want of memory.", map[bool]float64{true: 1}[s.isMemoryLow.Load()])
	counts, leastPatience, waits, orphanedRuns := map[string]map[place.State]int{}, map[string]time.Duration{}, map[string]time.Duration{}, 0
	for _, t := range s.collectStats() {
		orphanedRuns += t.orphanedRuns
		if t.number >= 0 {
			emit("place_time_seconds", "The time that a place owned here counts; it grows by a second a second, unless time was lost.", t.time.Seconds(),
				"place", strconv.FormatInt(t.number, 10))
			emit("place_feature_level", "The feature level that the group of a place owned here has agreed on.", float64(t.level),
				"place", strconv.FormatInt(t.number, 10))
			emit("operation_claims", "Operation keys that a place owned here remembers.", float64(t.claims), "place", strconv.FormatInt(t.number, 10))
		}
		for lane, wait := range t.longestWaits {
			waits[lane] = max(waits[lane], wait)
		}
		for lane, states := range t.counts {
			if counts[lane] == nil {
				counts[lane] = map[place.State]int{}
			}
			for state, n := range states {
				counts[lane][state] += n
			}
		}
		for lane, left := range t.patienceLeft {
			if was, isKnown := leastPatience[lane]; !isKnown || left < was {
				leastPatience[lane] = left
			}
		}
	}
	for lane, states := range counts {
		for state, n := range states {
			emit("place_messages", "Messages in the places owned here.", float64(n), "lane", lane, "state", string(state))
		}
	}
	emit("place_runs_away", "Open runs whose adapter has no session.", float64(orphanedRuns))
	for lane, wait := range waits {
		emit("place_longest_wait_seconds", "How long the message has waited that has waited longest of those that may run.", wait.Seconds(), "lane", lane)
	}
	for lane, left := range leastPatience {
		emit("place_patience_left_seconds", "Patience left of the message that expires next.", left.Seconds(), "lane", lane)
	}
}

// logOwnership logs the place time at which an ownership begins and what its messages wait for. Together with the time
// of the log line it shows by how much the place time has fallen behind.
func (p *PlaceHost) logOwnership() {
	count, first := p.machine.Delayed(p.now())
	klog.Infof("place: This store owns place %d in term %d, at place time %d ms; %d messages are delayed, the next is due in %d ms.",
		p.number, p.host.Term(), p.now(), count, first)
}

// placeStats are the statistics of one place; number is -1 if this store does not own it.
type placeStats struct {
	counts       map[string]map[place.State]int
	patienceLeft map[string]time.Duration
	longestWaits map[string]time.Duration
	orphanedRuns int // open runs whose adapter has no session
	number       int64
	time         time.Duration // the place's time
	level        int64         // feature level
	claims       int           // operation keys that are remembered
}

// stats returns the statistics of the place. It must be called on the place's goroutine.
func (p *PlaceHost) stats() placeStats {
	t := placeStats{number: -1, patienceLeft: map[string]time.Duration{}, longestWaits: map[string]time.Duration{}}
	if !p.host.IsOwner() {
		return t
	}
	now := p.now()
	t.number, t.time = p.number, time.Duration(now)*time.Millisecond
	t.level, t.claims = p.machine.Level(), p.machine.ClaimCount()
	lanes := p.machine.LaneStats(now)
	t.counts = lanes.Counts
	for lane, deadline := range lanes.Deadlines {
		t.patienceLeft[lane] = time.Duration(deadline-now) * time.Millisecond
	}
	for lane, wait := range lanes.LongestWaits {
		t.longestWaits[lane] = time.Duration(wait) * time.Millisecond
	}
	for _, e := range p.machine.Running() {
		if _, isMember := p.environment.Find(e.Adapter); !isMember {
			t.orphanedRuns++
		}
	}
	return t
}

// collectStats collects the statistics of each held place on the place's goroutine. Places that do not answer within
// the settle timeout are left out.
func (s *Store) collectStats() []placeStats {
	places := s.listPlaces()
	got := make(chan placeStats, len(places))
	expected := 0
	for _, p := range places {
		err := p.Do(func() {
			got <- p.stats()
		})
		if err == nil {
			expected++
		}
	}
	out := []placeStats{}
	timeout := time.After(s.d.Bounds.Of(timing.SettleTimeout))
	for range expected {
		select {
		case t := <-got:
			out = append(out, t)
		case <-timeout:
			return out
		}
	}
	return out
}
