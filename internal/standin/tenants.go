package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of tenants, which are also in the settings files of the processes.
const (
	keyWindow      = 60 * time.Second // time for which an operation key identifies one message
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// tenant is a tenant in a configuration.
type tenant struct {
	Name     string   `json:"name"`
	ApiKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst_size"`
}

// Customer is a tenant with the load that its clients send.
type Customer struct {
	tenant
	MessageShare float64 // of all messages that need an API key
	IsRoaming    bool    // its clients all use the same front at a time, and change it together
}

// Parameters of the customers.
const (
	largeCustomers = 2
	smallCustomers = 8
	largeShare     = 0.3 // of all messages, for each large one
	limitHeadroom  = 2.5 // limit as a multiple of the tenant's mean rate
	burstSeconds   = 3   // burst as seconds of the tenant's rate
	minTenantRate  = 4   // lowest rate limit, messages per second
	topPriority    = 5
)

// customers draws a few large and many small tenants, with limits for a total load in messages per second.
func customers(rng *rand.Rand, perSecond float64) []Customer {
	out, left, weights := []Customer{}, 1.0, 0.0
	for i := range largeCustomers + smallCustomers {
		c := Customer{tenant: tenant{Name: fmt.Sprintf("tenant-%d-%x", i+1, rng.Uint32()), Priority: rng.IntN(topPriority)}, MessageShare: largeShare}
		c.ApiKeys = []string{newApiKey(rng)}
		c.IsRoaming = i%2 == 1
		if i < largeCustomers {
			left -= c.MessageShare
		} else {
			c.MessageShare = 0.5 + rng.Float64()
			weights += c.MessageShare
		}
		out = append(out, c)
	}
	for i := range out {
		if i >= largeCustomers {
			out[i].MessageShare *= left / weights
		}
		out[i].Rate = math.Ceil(max(minTenantRate, limitHeadroom*out[i].MessageShare*perSecond))
		out[i].Burst = burstSeconds * out[i].Rate
	}
	return out
}

// apiKeyPrefix begins each API key, so that workers recognize a key in any field.
const apiKeyPrefix = "api-key-"

// newApiKey draws an API key.
func newApiKey(rng *rand.Rand) string { return fmt.Sprintf("%s%016x", apiKeyPrefix, rng.Uint64()) }

// cloneTenants copies tenants with their API keys.
func cloneTenants(list []tenant) []tenant {
	out := slices.Clone(list)
	for i := range out {
		out[i].ApiKeys = slices.Clone(out[i].ApiKeys)
	}
	return out
}

// isSameTenant reports whether two tenants have the same settings.
func isSameTenant(a, b tenant) bool {
	return a.Name == b.Name && a.Priority == b.Priority && a.Rate == b.Rate && a.Burst == b.Burst && slices.Equal(a.ApiKeys, b.ApiKeys)
}

// tenantUpdateFrom lists the tenants that an update sets and those that it removes.
func (c siteConfig) tenantUpdateFrom(was siteConfig) (set []tenant, removed []string) {
	set, removed = []tenant{}, []string{} // an update has lists, even if they are empty
	for _, t := range c.Tenants {
		if !slices.ContainsFunc(was.Tenants, func(o tenant) bool { return isSameTenant(o, t) }) {
			set = append(set, t)
		}
	}
	for _, t := range was.Tenants {
		if !slices.ContainsFunc(c.Tenants, func(o tenant) bool { return o.Name == t.Name }) {
			removed = append(removed, t.Name)
		}
	}
	return set, removed
}

// shareKey gives two tenants the same API key, which makes the configuration invalid.
func (c siteConfig) shareKey() siteConfig {
	shared := newApiKey(newRand())
	for i := range 2 {
		if i == len(c.Tenants) {
			c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("trial-%d", i), Rate: minTenantRate, Burst: minTenantRate})
		}
		c.Tenants[i].ApiKeys = append(c.Tenants[i].ApiKeys, shared)
	}
	return c
}
