package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// draw is one kind of fault of a random schedule, with how often it is drawn
// against others, whom it may hit and how long it lasts at most.
type draw struct {
	share int
	do    string
	who   func(r *rand.Rand, plan Plan) string
	most  time.Duration // 0: it is not undone
}

func daemonOf(kinds ...string) func(*rand.Rand, Plan) string {
	return func(r *rand.Rand, plan Plan) string {
		kind := kinds[r.IntN(len(kinds))]
		count := map[string]int{"store": plan.Stores, "manager": plan.Managers}[kind]
		if count == 0 {
			count = plan.Fronts
		}
		return fmt.Sprintf("%s-%d", kind, 1+r.IntN(count))
	}
}

func oneOf(names ...string) func(*rand.Rand, Plan) string {
	return func(r *rand.Rand, _ Plan) string { return names[r.IntN(len(names))] }
}

func zoneOf(r *rand.Rand, plan Plan) string {
	return plan.Zones[r.IntN(len(plan.Zones))]
}

func poolOf(r *rand.Rand, plan Plan) string {
	names := []string{}
	for name, w := range plan.Workers {
		if w.Count > 1 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[r.IntN(len(names))]
}

func workerOf(r *rand.Rand, plan Plan) string {
	pool := poolOf(r, plan)
	return fmt.Sprintf("%s/%s-%02d", pool, pool, 1+r.IntN(plan.Workers[pool].Count))
}

func allOf(r *rand.Rand, plan Plan) string {
	return poolOf(r, plan) + "/*"
}

var draws = []draw{
	{4, "kill", daemonOf("store", "manager", "agent", "adapter"), 8 * time.Second},
	{4, "freeze", daemonOf("store", "manager", "agent", "adapter"), 8 * time.Second},
	{2, "stop", daemonOf("store", "manager", "agent", "adapter"), 3 * time.Second},
	{1, "kill", oneOf("store-*", "manager-*", "adapter-*", "agent-*", "*"), 3 * time.Second},
	{1, "freeze", oneOf("store-*", "manager-*"), 5 * time.Second},
	{2, "kill cell", zoneOf, 12 * time.Second},
	{2, "cut cell", zoneOf, 8 * time.Second},
	{1, "wipe", daemonOf("store"), 3 * time.Second},
	{1, "empty", zoneOf, 10 * time.Second},
	{3, "edit", oneOf("good", "race", "invalid", "stale"), 0},
	{1, "fail", workerOf, 8 * time.Second},
	{1, "crawl", workerOf, 8 * time.Second},
	{1, "lose", workerOf, 8 * time.Second},
	{1, "cut", workerOf, 8 * time.Second},
	{2, "stall", workerOf, 8 * time.Second},
	{1, "lose", allOf, 3 * time.Second},
	{1, "vanish", workerOf, 8 * time.Second},
	{1, "vanish", allOf, 6 * time.Second},
	{1, "leave", workerOf, 8 * time.Second},
}

// RandomSchedule draws a schedule for a deployment: the same seed draws the
// same one. Faults overlap as they come, but no disk is lost while another
// store is away or has not had time to catch up: that much nobody rides out.
func RandomSchedule(plan Plan, seed uint64, length time.Duration) Schedule {
	list := []Draw{}
	for _, d := range draws {
		list = append(list, Draw{d.share, d.do, func(r *rand.Rand) string { return d.who(r, plan) }, d.most})
	}
	return DrawSchedule(list, seed, length)
}

// Draw is one kind of fault that a schedule may be drawn from.
type Draw struct {
	Share int // how often it is drawn against others
	Do    string
	Who   func(r *rand.Rand) string
	Most  time.Duration // longest; 0: it is not undone
}

// DrawSchedule draws by seed from any faults.
func DrawSchedule(draws []Draw, seed uint64, length time.Duration) Schedule {
	r := rand.New(rand.NewPCG(seed, 29))
	out := Schedule{Note: fmt.Sprintf("drawn by seed %d", seed), For: length.String()}
	shares := 0
	for _, d := range draws {
		shares += d.Share
	}
	hurtStores, isWiped := time.Duration(0), false
	for at := 5 * time.Second; at < length-8*time.Second; at += time.Duration(1500+r.IntN(4000)) * time.Millisecond {
		left, d := r.IntN(shares), Draw{}
		for _, d = range draws {
			if left -= d.Share; left < 0 {
				break
			}
		}
		who, lasts := d.Who(r), time.Duration(0)
		if d.Most > 0 {
			lasts = time.Duration(1+r.Int64N(int64(d.Most/time.Second))) * time.Second
		}
		lasts = min(lasts, length-at-2*time.Second)
		if d.Do == "wipe" && (isWiped || at < hurtStores+15*time.Second) {
			continue
		}
		step := Step{At: at.String(), Do: d.Do, Who: who}
		if lasts > 0 {
			step.For = lasts.String()
		}
		out.Steps = append(out.Steps, step)
		if d.Do == "wipe" { // leave the others alone until it has been brought up to date
			isWiped = true
			at += lasts + 15*time.Second
		} else {
			hurtStores = max(hurtStores, at+lasts)
		}
	}
	return out
}
