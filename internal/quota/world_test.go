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
var testTimes = Times{Lease: 1500 * time.Millisecond, Pause: 90 * time.Millisecond, Answer: 150 * time.Millisecond, Horizon: 1200 * time.Millisecond}

const (
	testTick     = 75 * time.Millisecond
	testPatience = 45 * time.Millisecond
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

// flaws are faults of what the world models besides this package: the owner of a place, and a front's process.
type flaws struct {
	answersEarly  bool // the owner answers before its batch is committed
	sharesHolder  bool // a front that was restarted goes on under its former name
	keepsTokens   bool // and with what it held
	forgetsLedger bool // a new owner begins without the counts
}

// conditions are what a world plays.
type conditions struct {
	limit   Limit
	rates   []float64 // messages a second at each front
	length  time.Duration
	isRough bool          // messages are lost, late and repeated; owners change; fronts freeze and restart
	pace    time.Duration // most between two troubles
	jumps   bool          // each message goes to any front
	lowerAt time.Duration
	lower   Limit
	calms   bool // few messages come from when the limit is lowered until after it binds
	flaws   flaws
}

// asked is one ask at the owner.
type asked struct {
	ask    Ask
	answer func(grant wire.QuotaGrant)
}

// world is the fronts of a fleet and the owner of the place that counts one tenant's messages.
type world struct {
	conditions
	rand   *rand.Rand
	now    time.Duration
	turn   int
	queue  events
	fronts []*front
	usual  []float64 // rates while nothing is calm

	ledger    *Ledger // as committed
	lost      time.Duration
	stamp     int64
	term      int
	downUntil time.Duration
	gathered  []asked
	underWay  *Batch
	underAt   int64
	spends    []time.Duration // when messages were admitted that were accepted
	asks      int
	batches   int
	messages  int
	refused   int
	waited    int
	unsafe    string // the first broken invariant
}

// front is one adapter.
type front struct {
	w           *world
	name        string
	life        int
	wallet      *Wallet
	frozenUntil time.Duration
	waiting     map[int64]bool
}

func newWorld(c conditions, seed uint64) *world {
	w := &world{conditions: c, rand: rand.New(rand.NewPCG(seed, 7)), ledger: NewLedger(), usual: slices.Clone(c.rates)}
	for i := range c.rates {
		f := &front{w: w, name: fmt.Sprintf("front-%d", i), wallet: NewWallet(testTimes), waiting: map[int64]bool{}}
		w.fronts = append(w.fronts, f)
		w.after(w.between(0, testTick), f.tick)
	}
	w.arriveAgain()
	if c.isRough {
		w.after(w.between(0, 3*time.Second), w.trouble)
	}
	if c.calms {
		w.after(c.lowerAt-w.between(0, 100*time.Millisecond), func() {
			w.calmOf(0, len(c.rates)-1, 1000, lowerBinds+w.between(0, time.Second))
		})
	}
	return w
}

func (w *world) after(span time.Duration, do func()) {
	w.turn++
	heap.Push(&w.queue, event{w.now + span, w.turn, do})
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

func (w *world) run() {
	for len(w.queue) > 0 && w.queue[0].at < w.length {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
		if w.unsafe == "" {
			w.unsafe = w.check()
		}
	}
}

// check tells which invariant does not hold: what a front may spend within its lease, the ledger has it hold; and
// the bucket and what is held are the burst at most.
func (w *world) check() string {
	for _, f := range w.fronts {
		if p := f.wallet.purses["t"]; p != nil && p.isLeased && w.now < p.leaseEnd {
			if what := f.check(); what != "" {
				return what
			}
		}
	}
	for _, a := range w.ledger.accounts {
		if a.Free < 0 || a.Free > 0 && a.Free+a.held() > a.Burst {
			return fmt.Sprintf("%v: the bucket has %d and holders %d of %d", w.now, a.Free, a.held(), a.Burst)
		}
	}
	return ""
}

// longestGap is after how long the time of the next message is drawn anew, in seconds.
const longestGap = 0.2

// arriveAgain plans the next message of all fronts.
func (w *world) arriveAgain() {
	sum := 0.0
	for _, rate := range w.rates {
		sum += rate
	}
	span := w.rand.ExpFloat64() / sum
	if span > longestGap { // rates may be others by then
		w.after(time.Duration(longestGap*float64(time.Second)), w.arriveAgain)
		return
	}
	w.after(time.Duration(span*float64(time.Second)), func() {
		at, left := 0, w.rand.Float64()*sum
		for at < len(w.rates)-1 && left > w.rates[at] {
			left -= w.rates[at]
			at++
		}
		if w.jumps {
			at = w.rand.IntN(len(w.fronts))
		}
		w.fronts[at].message()
		w.arriveAgain()
	})
}

// trouble has one thing go wrong, and plans the next.
func (w *world) trouble() {
	f := w.fronts[w.rand.IntN(len(w.fronts))]
	switch w.rand.IntN(5) {
	case 0:
		f.frozenUntil = w.now + w.between(10*time.Millisecond, 4*time.Second)
	case 1:
		f.restart()
	case 2, 3:
		w.changeOwner()
	case 4:
		w.calm()
	}
	w.after(w.between(0, w.pace), w.trouble)
}

// calm has one front, or all, get few messages for a while: they go on holding what they hold, or lose it.
func (w *world) calm() {
	first, last, part := 0, len(w.rates)-1, []float64{10, 1000}[w.rand.IntN(2)]
	if w.rand.IntN(2) == 0 {
		first = w.rand.IntN(len(w.rates))
		last = first
	}
	w.calmOf(first, last, part, w.between(0, 6*time.Second))
}

func (w *world) calmOf(first, last int, part float64, span time.Duration) {
	for i := first; i <= last; i++ {
		w.rates[i] = w.usual[i] / part
	}
	w.after(span, func() {
		for i := first; i <= last; i++ {
			w.rates[i] = w.usual[i]
		}
	})
}

// travel brings a message to its receiver after a while, or not, or twice.
func (w *world) travel(arrive func()) {
	if !w.isRough {
		w.after(w.between(time.Millisecond, 4*time.Millisecond), arrive)
		return
	}
	copies := 1
	switch w.rand.IntN(12) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		late := 30 * time.Millisecond
		if w.rand.IntN(10) == 0 {
			late = 5 * time.Second
		}
		w.after(w.between(time.Millisecond, late), arrive)
	}
}

// placeTime falls behind real time with each owner, and never runs ahead.
func (w *world) placeTime() int64 {
	w.stamp = max(w.stamp, (w.now - w.lost).Milliseconds())
	return w.stamp
}

func (w *world) limitNow() Limit {
	if w.lowerAt > 0 && w.now >= w.lowerAt {
		return w.lower
	}
	return w.limit
}

func (w *world) receive(a asked) {
	if w.now < w.downUntil {
		return
	}
	w.gathered = append(w.gathered, a)
	w.propose()
}

func (w *world) propose() {
	if w.underWay != nil || len(w.gathered) == 0 {
		return
	}
	all := w.gathered
	w.gathered = nil
	batch := Batch{Limits: []Limit{w.limitNow()}}
	for _, a := range all {
		batch.Asks = append(batch.Asks, a.ask)
	}
	w.batches++
	w.underWay, w.underAt = &batch, w.placeTime()
	answer := func(grants []wire.QuotaGrant) {
		for i, grant := range grants {
			if grant.Tenant != "" {
				w.travel(func() { all[i].answer(grant) })
			}
		}
	}
	term := w.term
	if w.flaws.answersEarly {
		early, _ := Restore(w.ledger.Image())
		answer(early.Apply(w.underAt, batch))
	}
	w.after(w.between(8*time.Millisecond, 20*time.Millisecond), func() {
		if term != w.term {
			return
		}
		grants := w.ledger.Apply(w.underAt, batch)
		w.underWay = nil
		if !w.flaws.answersEarly {
			answer(grants)
		}
		w.propose()
	})
}

// changeOwner has another store go on with what is committed, to which what is under way may belong or not.
func (w *world) changeOwner() {
	if w.underWay != nil && w.rand.IntN(2) == 0 {
		w.ledger.Apply(w.underAt, *w.underWay)
	}
	w.term++
	w.underWay, w.gathered = nil, nil
	w.lost += w.between(0, 800*time.Millisecond)
	w.downUntil = w.now + w.between(0, 900*time.Millisecond)
	again, err := Restore(w.ledger.Image())
	if err != nil {
		panic(err)
	}
	if w.flaws.forgetsLedger {
		again = NewLedger()
	}
	w.ledger = again
}

// holder is the life of the front as the ledger knows it.
func (f *front) holder() string { return fmt.Sprintf("%s/%d", f.name, f.life) }

// check tells whether the front may spend, or is spending, what the ledger does not have it hold.
func (f *front) check() string {
	p, known := f.wallet.purses["t"], int64(0)
	if a := f.w.ledger.accounts["t"]; a != nil {
		if i, isKnown := a.find(f.holder()); isKnown && a.Holders[i].Life == p.life {
			known = a.Holders[i].held()
		}
	}
	if p.held()+p.inFlight > known || p.inFlight < 0 || p.held() < 0 {
		return fmt.Sprintf("%v: %s holds %d and %d are in flight, and the ledger knows of %d", f.w.now, f.holder(), p.held(), p.inFlight, known)
	}
	return ""
}

func (f *front) restart() {
	if !f.w.flaws.keepsTokens {
		f.wallet = NewWallet(testTimes)
	}
	if !f.w.flaws.sharesHolder {
		f.life++
	}
	f.waiting, f.frozenUntil = map[int64]bool{}, 0
}

// thawed has work done once the front is not frozen.
func (f *front) thawed(work func()) {
	if wait := f.frozenUntil - f.w.now; wait > 0 {
		f.w.after(wait, func() { f.thawed(work) })
		return
	}
	work()
}

func (f *front) tick() {
	f.thawed(func() {
		for _, tenant := range f.wallet.Tenants(f.w.now) {
			f.askIfDue(tenant)
		}
	})
	f.w.after(testTick, f.tick)
}

func (f *front) message() {
	f.thawed(func() {
		f.w.messages++
		decision := f.wallet.Take(f.w.now, "t")
		switch {
		case decision.Waiting != 0:
			f.waiting[decision.Waiting] = true
			life := f.life
			f.w.after(testPatience, func() {
				if f.life == life && f.waiting[decision.Waiting] {
					f.wallet.Cancel("t", decision.Waiting)
					delete(f.waiting, decision.Waiting)
					f.w.refused++
				}
			})
		default:
			f.decided(decision)
		}
		f.askIfDue("t")
	})
}

func (f *front) decided(d Decision) {
	if d.Refusal != "" {
		f.w.refused++
		return
	}
	if f.w.unsafe == "" {
		f.w.unsafe = f.check()
	}
	isCounted, life, wallet := f.w.rand.IntN(10) > 0 || !f.w.isRough, f.life, f.wallet
	if isCounted {
		f.w.spends = append(f.w.spends, f.w.now)
	}
	f.w.after(f.w.between(5*time.Millisecond, 30*time.Millisecond), func() {
		f.thawed(func() {
			if f.life != life || f.wallet != wallet {
				return
			}
			f.settle(wallet.End(f.w.now, "t", d.Life, isCounted))
			f.askIfDue("t")
		})
	})
}

func (f *front) settle(all []Settled) {
	for _, s := range all {
		if f.waiting[s.Number] {
			f.w.waited++
			delete(f.waiting, s.Number)
		}
		f.decided(s.Decision)
	}
}

func (f *front) askIfDue(tenant string) {
	count, isDue := f.wallet.Due(f.w.now, tenant)
	if !isDue {
		return
	}
	f.w.asks++
	sentAt, life, wallet := f.w.now, f.life, f.wallet
	ask := Ask{Holder: f.holder(), Lease: testTimes.Lease.Milliseconds(), Count: count}
	f.w.travel(func() {
		f.w.receive(asked{ask, func(grant wire.QuotaGrant) {
			f.thawed(func() {
				if f.life != life || f.wallet != wallet {
					return // the process that asked has ended
				}
				f.settle(wallet.Answer(f.w.now, sentAt, grant))
				f.askIfDue(tenant)
			})
		}})
	})
}

// mostOver is by how much the messages of any window pass Rate*window + Burst, at most.
func mostOver(spends []time.Duration, limit Limit) float64 {
	rate, burst := float64(limit.Rate)/rateUnit, float64(limit.Burst)/token
	left, at, over := burst, time.Duration(0), 0.0
	for _, spend := range spends {
		left = min(burst, left+rate*(spend-at).Seconds()) - 1
		at = spend
		over = max(over, -left)
	}
	return over
}
