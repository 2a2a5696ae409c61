package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// planDraw is one kind of fault of a random schedule: its weight, a function that draws what it hits in the deployment
// of a plan, and its maximum duration.
type planDraw struct {
	weight      int
	action      string
	target      func(r *rand.Rand, plan Plan) string
	maxDuration time.Duration // 0: it is not undone
}

// randomDaemon draws a daemon of one of the kinds.
func randomDaemon(kinds ...string) func(*rand.Rand, Plan) string {
	return func(r *rand.Rand, plan Plan) string {
		kind := kinds[r.IntN(len(kinds))]
		count := map[string]int{"store": plan.Stores, "manager": plan.Managers}[kind]
		if count == 0 {
			count = plan.Fronts
		}
		return fmt.Sprintf("%s-%d", kind, 1+r.IntN(count))
	}
}

// randomOf draws one of the targets given.
func randomOf(names ...string) func(*rand.Rand, Plan) string {
	return func(r *rand.Rand, _ Plan) string { return names[r.IntN(len(names))] }
}

// randomZone draws a zone.
func randomZone(r *rand.Rand, plan Plan) string {
	return plan.Zones[r.IntN(len(plan.Zones))]
}

// randomPool draws a pool with more than one worker.
func randomPool(r *rand.Rand, plan Plan) string {
	names := []string{}
	for name, w := range plan.Workers {
		if w.Count > 1 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[r.IntN(len(names))]
}

// randomWorker draws a worker of a pool that randomPool draws.
func randomWorker(r *rand.Rand, plan Plan) string {
	pool := randomPool(r, plan)
	return fmt.Sprintf("%s/%s-%02d", pool, pool, 1+r.IntN(plan.Workers[pool].Count))
}

// randomPoolWorkers draws a pool with more than one worker and targets all its workers.
func randomPoolWorkers(r *rand.Rand, plan Plan) string {
	return randomPool(r, plan) + "/*"
}

// planDraws are the faults of RandomSchedule.
var planDraws = []planDraw{
	{4, "kill", randomDaemon("store", "manager", "agent", "adapter"), 8 * time.Second},
	{4, "freeze", randomDaemon("store", "manager", "agent", "adapter"), 8 * time.Second},
	{2, "stop", randomDaemon("store", "manager", "agent", "adapter"), 3 * time.Second},
	{1, "kill", randomOf("store-*", "manager-*", "adapter-*", "agent-*", "*"), 3 * time.Second},
	{1, "freeze", randomOf("store-*", "manager-*"), 5 * time.Second},
	{2, "kill cell", randomZone, 12 * time.Second},
	{2, "cut cell", randomZone, 8 * time.Second},
	{1, "wipe", randomDaemon("store"), 3 * time.Second},
	{1, "empty", randomZone, 10 * time.Second},
	{3, "edit", randomOf("good", "race", "invalid", "stale"), 0},
	{1, "fail", randomWorker, 8 * time.Second},
	{1, "crawl", randomWorker, 8 * time.Second},
	{1, "lose", randomWorker, 8 * time.Second},
	{1, "cut", randomWorker, 8 * time.Second},
	{2, "stall", randomWorker, 8 * time.Second},
	{1, "lose", randomPoolWorkers, 3 * time.Second},
	{1, "vanish", randomWorker, 8 * time.Second},
	{1, "vanish", randomPoolWorkers, 6 * time.Second},
	{1, "leave", randomWorker, 8 * time.Second},
}

// RandomSchedule draws a schedule for the deployment of a plan; see DrawSchedule.
func RandomSchedule(plan Plan, seed uint64, length time.Duration) Schedule {
	list := []FaultDraw{}
	for _, d := range planDraws {
		list = append(list, FaultDraw{d.weight, d.action, func(r *rand.Rand) string { return d.target(r, plan) }, d.maxDuration})
	}
	return DrawSchedule(list, seed, length)
}

// FaultDraw is one kind of fault from which a schedule is drawn.
type FaultDraw struct {
	Weight      int                       // frequency relative to the other kinds
	Action      string                    // see Step
	Target      func(r *rand.Rand) string // draws what it hits
	MaxDuration time.Duration             // 0: it is not undone
}

// DrawSchedule draws a schedule of the given length from kinds of faults. The same seed draws the same schedule. Faults
// may overlap, with one exception: a disk is wiped only once, and only while no other store is down or still catching
// up, because the loss of a second copy is more than the system is designed to survive.
func DrawSchedule(draws []FaultDraw, seed uint64, length time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, 29))
	out := Schedule{Note: fmt.Sprintf("drawn by seed %d", seed), Duration: length.String()}
	totalWeight := 0
	for _, d := range draws {
		totalWeight += d.Weight
	}
	lastFaultEnd, isWiped := time.Duration(0), false
	for at := 5 * time.Second; at < length-8*time.Second; at += time.Duration(1500+r.IntN(4000)) * time.Millisecond {
		remaining, d := r.IntN(totalWeight), FaultDraw{}
		for _, d = range draws {
			if remaining -= d.Weight; remaining < 0 {
				break
			}
		}
		target, duration := d.Target(r), time.Duration(0)
		if d.MaxDuration > 0 {
			duration = time.Duration(1+r.Int64N(int64(d.MaxDuration/time.Second))) * time.Second
		}
		duration = min(duration, length-at-2*time.Second)
		if d.Action == "wipe" && (isWiped || at < lastFaultEnd+15*time.Second) {
			continue
		}
		step := Step{At: at.String(), Action: d.Action, Target: target}
		if duration > 0 {
			step.Duration = duration.String()
		}
		out.Steps = append(out.Steps, step)
		if d.Action == "wipe" { // no other faults until the wiped store has caught up
			isWiped = true
			at += duration + 15*time.Second
		} else {
			lastFaultEnd = max(lastFaultEnd, at+duration)
		}
	}
	return out
}
