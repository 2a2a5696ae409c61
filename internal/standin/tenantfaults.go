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

// Parameters of the faults that affect tenants.
const (
	hotRateFactor  = 20  // times its rate that an overloading tenant sends
	maxHotRate     = 300 // messages per second
	raisedFactor   = 3
	loweredDivisor = 8
	keyOverlap     = configApplyBound + time.Second // time for which the old and the new key are valid
)

// customer finds the tenant that a step names by its position in the plan.
func (s *Site) customer(id string) (Customer, bool) {
	var position int
	if _, err := fmt.Sscanf(id, "tenant-%d", &position); err != nil || position < 1 || position > len(s.plan.Customers) {
		s.recordFailure("no tenant matches %s", id)
		return Customer{}, false
	}
	return s.plan.Customers[position-1], true
}

// changeTenant changes one tenant in the configuration.
func (s *Site) changeTenant(ctx context.Context, name string, change func(*tenant)) {
	s.operator.change(ctx, rand.IntN(2) == 0, func(c *siteConfig) {
		if i := slices.IndexFunc(c.Tenants, func(t tenant) bool { return t.Name == name }); i >= 0 {
			change(&c.Tenants[i])
		}
	})
}

// addKey adds a new API key to a tenant.
func addKey(t *tenant) { t.ApiKeys = append(t.ApiKeys, newApiKey(newRand())) }

// rotateKey adds a new API key to a tenant, and removes the old ones after all daemons must know the new one.
func rotateKey(ctx context.Context, s *Site, id string) func() {
	c, isKnown := s.customer(id)
	if !isKnown {
		return func() {}
	}
	s.changeTenant(ctx, c.Name, addKey)
	sleep(ctx, keyOverlap)
	s.changeTenant(ctx, c.Name, func(t *tenant) { t.ApiKeys = t.ApiKeys[len(t.ApiKeys)-1:] })
	return func() {}
}

// revokeKeys removes all API keys of a tenant. It gets a new one when the fault ends.
func revokeKeys(ctx context.Context, s *Site, id string) func() {
	c, isKnown := s.customer(id)
	if !isKnown {
		return func() {}
	}
	s.changeTenant(ctx, c.Name, func(t *tenant) { t.ApiKeys = []string{} })
	return func() { s.changeTenant(s.ctx, c.Name, addKey) }
}

// addMissingKeys adds an API key to each tenant that has none, because only the tenant may query its messages.
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

// limit multiplies a tenant's rate and burst by share. The limit is restored when the fault ends.
func limit(ctx context.Context, s *Site, id string, share float64) func() {
	c, isKnown := s.customer(id)
	if !isKnown {
		return func() {}
	}
	set := func(rate, burst float64) func(*tenant) {
		return func(t *tenant) { t.Rate, t.Burst = max(1, rate), max(1, burst) }
	}
	s.changeTenant(ctx, c.Name, set(c.Rate*share, c.Burst*share))
	return func() { s.changeTenant(s.ctx, c.Name, set(c.Rate, c.Burst)) }
}

// raise multiplies a tenant's limit by raisedFactor, and lower divides it by loweredDivisor, until the fault ends.
func raise(ctx context.Context, s *Site, id string) func() { return limit(ctx, s, id, raisedFactor) }
func lower(ctx context.Context, s *Site, id string) func() {
	return limit(ctx, s, id, 1.0/loweredDivisor)
}

// overload makes a tenant send many times its rate until the fault ends.
func overload(ctx context.Context, s *Site, id string) func() {
	c, isKnown := s.customer(id)
	if !isKnown {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	load := s.plan.Loads[0]
	load.Tenant, load.Rate, load.DelayedShare = c.Name, min(maxHotRate, hotRateFactor*c.Rate), 0
	go s.RunTraffic(ctx, []Load{load}, time.Second)
	return cancel
}

// Parameters of random tenant faults.
const (
	tenantSeedStream       = 32              // random stream, separate from others of the same seed
	meanTenantFaultGap     = 5 * time.Second // between two faults
	tenantBegin            = 3 * time.Second
	tenantEnd              = 8 * time.Second // before the end of a schedule
	maxTenantFaultDuration = 8 * time.Second
)

// tenantFaults are the faults that are drawn for tenants.
var tenantFaults = []string{"rotate", "rotate", "revoke", "raise", "lower", "lower", "hot", "hot"}

// TenantFaultSteps draws the tenant faults of a schedule of that length. Each tenant is affected by at most one step.
func TenantFaultSteps(seed uint64, length time.Duration) []fleet.Step {
	r, out := rand.New(rand.NewPCG(seed, tenantSeedStream)), []fleet.Step{}
	tenants, kinds := r.Perm(largeCustomers+smallCustomers), r.Perm(len(tenantFaults)) // no kind twice before all have come
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
