package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"caperwheel/internal/fleet"
)

// Figures of what befalls tenants.
const (
	hotRateFactor  = 20  // times its rate that a hot tenant sends
	maxHotRate     = 300 // messages a second, of any hot tenant
	raisedFactor   = 3
	loweredDivisor = 8
	keyOverlap     = configApplyBound + time.Second // an old key and a new one
)

// customer finds the tenant that a step names by its place in the plan.
func (s *Site) customer(who string) (Customer, bool) {
	var place int
	if _, err := fmt.Sscanf(who, "tenant-%d", &place); err != nil || place < 1 || place > len(s.plan.Customers) {
		s.recordFailure("no tenant is called %s", who)
		return Customer{}, false
	}
	return s.plan.Customers[place-1], true
}

// changeTenant changes one tenant of the configuration.
func (s *Site) changeTenant(ctx context.Context, name string, change func(*tenant)) {
	s.operator.change(ctx, rand.IntN(2) == 0, func(c *siteConfig) {
		if i := slices.IndexFunc(c.Tenants, func(t tenant) bool { return t.Name == name }); i >= 0 {
			change(&c.Tenants[i])
		}
	})
}

func addKey(t *tenant) { t.ApiKeys = append(t.ApiKeys, newApiKey(newRand())) }

// rotateKey gives a tenant a new key, and takes the old ones away once all know the new one.
func rotateKey(ctx context.Context, s *Site, who string) func() {
	c, isKnown := s.customer(who)
	if !isKnown {
		return func() {}
	}
	s.changeTenant(ctx, c.Name, addKey)
	sleep(ctx, keyOverlap)
	s.changeTenant(ctx, c.Name, func(t *tenant) { t.ApiKeys = t.ApiKeys[len(t.ApiKeys)-1:] })
	return func() {}
}

// revokeKeys takes all keys of a tenant away. Undone, it gets a new one.
func revokeKeys(ctx context.Context, s *Site, who string) func() {
	c, isKnown := s.customer(who)
	if !isKnown {
		return func() {}
	}
	s.changeTenant(ctx, c.Name, func(t *tenant) { t.ApiKeys = []string{} })
	return func() { s.changeTenant(s.ctx, c.Name, addKey) }
}

// addMissingKeys gives each tenant without a key a new one: nobody else may ask for its messages.
func (o *operator) addMissingKeys(ctx context.Context) {
	o.mu.Lock()
	isMissing := slices.ContainsFunc(o.current.Tenants, func(t tenant) bool { return len(t.ApiKeys) == 0 })
	o.mu.Unlock()
	if !isMissing {
		return
	}
	o.change(ctx, true, func(c *siteConfig) {
		for i := range c.Tenants {
			if len(c.Tenants[i].ApiKeys) == 0 {
				addKey(&c.Tenants[i])
			}
		}
	})
}

// limit changes what a tenant may send. Undone, it is as it was.
func limit(ctx context.Context, s *Site, who string, share float64) func() {
	c, isKnown := s.customer(who)
	if !isKnown {
		return func() {}
	}
	set := func(rate, burst float64) func(*tenant) {
		return func(t *tenant) { t.Rate, t.Burst = max(1, rate), max(1, burst) }
	}
	s.changeTenant(ctx, c.Name, set(c.Rate*share, c.Burst*share))
	return func() { s.changeTenant(s.ctx, c.Name, set(c.Rate, c.Burst)) }
}

func raise(ctx context.Context, s *Site, who string) func() { return limit(ctx, s, who, raisedFactor) }
func lower(ctx context.Context, s *Site, who string) func() {
	return limit(ctx, s, who, 1.0/loweredDivisor)
}

// overload has a tenant send many times its rate, until undone.
func overload(ctx context.Context, s *Site, who string) func() {
	c, isKnown := s.customer(who)
	if !isKnown {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	load := s.plan.Loads[0]
	load.Tenant, load.Rate, load.DelayedShare = c.Name, min(maxHotRate, hotRateFactor*c.Rate), 0
	go s.RunTraffic(ctx, []Load{load}, time.Second)
	return cancel
}

// Steps that befall tenants, by seed.
const (
	tenantSeedStream       = 32              // the stream of chance, apart from others of the same seed
	meanTenantFaultGap     = 5 * time.Second // between two, on the mean
	tenantBegin            = 3 * time.Second
	tenantEnd              = 8 * time.Second // before the end of a schedule
	maxTenantFaultDuration = 8 * time.Second
)

// tenantFaults are what may befall a tenant.
var tenantFaults = []string{"rotate", "rotate", "revoke", "raise", "lower", "lower", "hot", "hot"}

// TenantFaultSteps draws by seed what befalls tenants, for any schedule of that length. A tenant is in one step at most.
func TenantFaultSteps(seed uint64, length time.Duration) []fleet.Step {
	r, out := rand.New(rand.NewPCG(seed, tenantSeedStream)), []fleet.Step{}
	tenants, kinds := r.Perm(largeCustomers+smallCustomers), r.Perm(len(tenantFaults)) // each kind comes before any comes again
	for at := tenantBegin; at < length-tenantEnd && len(tenants) > 0; at += time.Duration(r.Int64N(int64(2*meanTenantFaultGap))) + time.Millisecond {
		step := fleet.Step{At: at.String(), Action: tenantFaults[kinds[len(out)%len(kinds)]], Target: "tenant-" + strconv.Itoa(tenants[0]+1)}
		if step.Action != "rotate" {
			step.Duration = min(maxTenantFaultDuration, length-at-time.Second).String()
		}
		tenants = tenants[1:]
		out = append(out, step)
	}
	return out
}
