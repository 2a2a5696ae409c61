package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"caperwheel/internal/wire"
)

// testTimes are the times of a bound of three seconds.
var testTimes = Times{Lease: 1500 * time.Millisecond, Pause: 90 * time.Millisecond, Answer: 300 * time.Millisecond, Horizon: 1200 * time.Millisecond}

const (
	testTick = 75 * time.Millisecond
	testWait = 120 * time.Millisecond
)

// event is something that happens in a world.
type event struct {
	at   time.Duration
	turn int // events of one moment happen in the order in which they were planned
	do   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].turn < q[j].turn
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// defects are faults of what the world models besides this package: the owner of a place, and a front's process.
type defects struct {
	answersEarly  bool // the owner answers before its batch is committed
	sharesHolder  bool // a front that was restarted goes on under its former name
	keepsTokens   bool // and with what it held
	forgetsLedger bool // a new owner begins without the counts
}

// conditions are what a world plays.
type conditions struct {
	limit            Limit
	rates            []float64 // messages a second at each front
	length           time.Duration
	hasFaults        bool          // messages are lost, late and repeated; owners change; fronts freeze and restart
	maxFaultInterval time.Duration // most between two troubles
	spreadsMessages  bool          // each message goes to any front
	lowerAt          time.Duration
	lower            Limit
	lullsAtLowering  bool // few messages come from when the limit is lowered until after it binds
	defects          defects
}

// asked is one ask at the owner.
type queuedRequest struct {
	ask    Ask
	answer func(grant wire.QuotaGrant)
}

// simulation is the fronts of a fleet and the owner of the place that counts one tenant's messages.
type simulation struct {
	conditions
	rand      *rand.Rand
	now       time.Duration
	turn      int
	queue     events
	adapters  []*simulatedAdapter
	baseRates []float64 // rates while nothing is calm

	ledger        *Allocator // as committed
	lost          time.Duration
	lastPlaceTime int64
	term          int
	downUntil     time.Duration
	gathered      []queuedRequest
	pendingBatch  *Batch
	pendingAt     int64
	admissions    []time.Duration // when messages were admitted that were accepted
	asks          int
	batches       int
	messages      int
	refused       int
	waited        int
	violation     string // the first broken invariant
}

// simulatedAdapter is one adapter.
type simulatedAdapter struct {
	sim         *simulation
	name        string
	life        int
	wallet      *TokenCache
	frozenUntil time.Duration
	waiting     map[int64]bool
}

func newSimulation(c conditions, seed uint64) *simulation {
	w := &simulation{conditions: c, rand: rand.New(rand.NewPCG(seed, 7)), ledger: NewAllocator(), baseRates: slices.Clone(c.rates)}
	for i := range c.rates {
		f := &simulatedAdapter{sim: w, name: fmt.Sprintf("front-%d", i), wallet: NewTokenCache(testTimes), waiting: map[int64]bool{}}
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
	w.turn++
	heap.Push(&w.queue, event{w.now + span, w.turn, do})
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

// check tells which invariant does not hold: what a front may spend within its lease, the ledger has it hold; and
// the bucket and what is held are the burst at most.
func (w *simulation) check() string {
	for _, f := range w.adapters {
		if p := f.wallet.tenants["t"]; p != nil && p.isLeased && w.now < p.leaseEnd {
			if what := f.check(); what != "" {
				return what
			}
		}
	}
	for _, a := range w.ledger.buckets {
		if a.Free < 0 || a.Free > 0 && a.Free+a.held() > a.Burst {
			return fmt.Sprintf("%v: the bucket has %d and holders %d of %d", w.now, a.Free, a.held(), a.Burst)
		}
	}
	return ""
}

// maxExcess is by how much the messages of any window pass Rate*window + Burst, at most.
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
