package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperwheel/internal/wire"
)

// testTimes are the times that follow from a bound of three seconds.
var testTimes = Times{Lease: 1500 * time.Millisecond, Pause: 90 * time.Millisecond, Answer: 300 * time.Millisecond, Horizon: 1200 * time.Millisecond}

const (
	testTick = 75 * time.Millisecond
	testWait = 120 * time.Millisecond
)

// event is a scheduled event of a simulation.
type event struct {
	at    time.Duration
	order int // events of the same moment happen in the order in which they were scheduled
	do    func()
}

// events is a heap of events, by time and order.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// defects are deliberate defects of the simulated components outside this package: a place's owner and an adapter's
// process.
type defects struct {
	answersEarly   bool // the owner answers before its batch is committed
	sharesHolder   bool // a restarted adapter goes on under its former name
	keepsTokens    bool // and with the tokens that it held
	forgetsBuckets bool // a new owner begins without the buckets
}

// conditions are the parameters of a simulation.
type conditions struct {
	limit            Limit
	rates            []float64 // messages a second at each adapter
	length           time.Duration
	hasFaults        bool          // messages are lost, late and repeated; owners change; adapters freeze and restart
	maxFaultInterval time.Duration // longest time between two faults
	spreadsMessages  bool          // each message goes to any adapter
	lowerAt          time.Duration
	lower            Limit
	lullsAtLowering  bool // few messages arrive from when the limit is lowered until it must hold
	defects          defects
}

// queuedRequest is one request that is queued at the owner.
type queuedRequest struct {
	ask    Ask
	answer func(grant wire.QuotaGrant)
}

// simulation simulates a fleet's adapters and the owner of the place that counts one tenant's messages.
type simulation struct {
	conditions
	rand      *rand.Rand
	now       time.Duration
	lastOrder int
	queue     events
	adapters  []*simulatedAdapter
	baseRates []float64 // rates while the load is not reduced

	allocator     *Allocator // committed state
	timeLost      time.Duration
	lastPlaceTime int64
	term          int
	downUntil     time.Duration
	queued        []queuedRequest
	pendingBatch  *Batch
	pendingAt     int64
	admissions    []time.Duration // when the accepted messages were admitted
	asks          int
	batches       int
	messages      int
	refused       int
	waited        int
	violation     string // the first invariant that was violated
}

// simulatedAdapter is one adapter.
type simulatedAdapter struct {
	sim         *simulation
	name        string
	incarnation int
	cache       *TokenCache
	frozenUntil time.Duration
	waiting     map[int64]bool
}

func newSimulation(c conditions, seed uint64) *simulation {
	w := &simulation{conditions: c, rand: rand.New(rand.NewPCG(seed, 7)), allocator: NewAllocator(), baseRates: slices.Clone(c.rates)}
	for i := range c.rates {
		f := &simulatedAdapter{sim: w, name: fmt.Sprintf("front-%d", i), cache: NewTokenCache(testTimes), waiting: map[int64]bool{}}
		w.adapters = append(w.adapters, f)
		w.after(w.between(0, testTick), f.tick)
	}
	w.scheduleMessage()
	if c.hasFaults {
		w.after(w.between(0, 3*time.Second), w.injectFault)
	}
	if c.lullsAtLowering {
		w.after(c.lowerAt-w.between(0, 100*time.Millisecond), func() {
			w.reduceLoadOf(0, len(c.rates)-1, 1000, lowerLimitDelay+w.between(0, time.Second))
		})
	}
	return w
}

func (w *simulation) after(span time.Duration, do func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{w.now + span, w.lastOrder, do})
}

func (w *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

func (w *simulation) run() {
	for len(w.queue) > 0 && w.queue[0].at < w.length {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
		if w.violation == "" {
			w.violation = w.check()
		}
	}
}

// check reports a violated invariant: the allocator has granted all that an adapter may spend within its lease, and
// the bucket and the held tokens are at most the burst together.
func (w *simulation) check() string {
	for _, f := range w.adapters {
		if p := f.cache.tenants["t"]; p != nil && p.isLeased && w.now < p.leaseEnd {
			if what := f.check(); what != "" {
				return what
			}
		}
	}
	for _, a := range w.allocator.buckets {
		if a.Free < 0 || a.Free > 0 && a.Free+a.held() > a.Burst {
			return fmt.Sprintf("%v: the bucket has %d and holders %d of %d", w.now, a.Free, a.held(), a.Burst)
		}
	}
	return ""
}

// maxExcess returns the most by which the messages of any window exceed Rate*window + Burst.
func maxExcess(spends []time.Duration, limit Limit) float64 {
	rate, burst := float64(limit.Rate)/rateUnit, float64(limit.Burst)/tokenUnits
	left, at, over := burst, time.Duration(0), 0.0
	for _, spend := range spends {
		left = min(burst, left+rate*(spend-at).Seconds()) - 1
		at = spend
		over = max(over, -left)
	}
	return over
}
