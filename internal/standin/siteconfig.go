package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// route is a route in a configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"hostname"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"route_kind"`
	Timeout     int64   `json:"timeout_ms"`
	Target      int64   `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	Attempts    int     `json:"max_attempts"`
	IsOrdered   bool    `json:"ordered"`
	Retention   float64 `json:"retention_s"`
	HasCallback bool    `json:"callback_url"`
	RunTarget   int64   `json:"run_target_ms"`
	IsPublic    bool    `json:"public_access"`
}

// service is a service in a configuration.
type service struct {
	Name             string  `json:"name"`
	Health           string  `json:"health_path"`
	Conns            int     `json:"connection_limit"`
	Protocol         string  `json:"protocol"`
	IsSecure         bool    `json:"transport_security"`
	ColdFor          float64 `json:"cold_start_s"`
	ColdRate         float64 `json:"cold_per_s"`
	Rate             float64 `json:"rate_per_s"`
	HasDeduplication bool    `json:"deduplicates"`
	IsPullMode       bool    `json:"pull_mode"`
	Fixed            *string `json:"fixed_endpoint"`
}

// limits are the limits on clients' connections and requests in a configuration.
type limits struct {
	Header  int64 `json:"max_header_bytes"`
	Body    int64 `json:"max_body_bytes"`
	Reading int64 `json:"header_timeout_ms"`
	Idle    int64 `json:"idle_timeout_ms"`
}

// siteConfig is a configuration as the operator sends it.
type siteConfig struct {
	Version  int64     `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants,omitempty"`
}

// SitePlan is the plan of a deployment with its services and load.
type SitePlan struct {
	Zones    []string
	Services []ServicePlan
	Routes   []route
	Loads    []Load
	Deadline time.Duration // of clients
	Fronts   int           // machines of class front_end per zone; 0 means 1
	Grace    time.Duration // grace period of processes; 0 means gracePeriod
	IsSlow   bool          // the host may be slow: processes get several times their grace period
	ListPage int           // entries per page of the list; 0 means listPageEntries
	ListRate float64       // calls per second that the list accepts; 0 means listRatePerSecond

	Customers []Customer // without any, no route needs an API key
}

// SmallPlan returns the plan of the small deployment: three zones with a machine of each class, a service with a
// public route, an ordered service with deduplication, and an endpoint with a rate limit.
func SmallPlan() SitePlan {
	salt := fmt.Sprintf("%x", rand.Uint32())
	sort, press, buoy := "sort"+salt, "press."+salt, "buoy-"+salt // the second is not a valid name of the product
	hosts := []string{"Lots" + salt + ".example", "orders" + salt + ".example"}
	make := func(name, host, prefix, service string, timeout int64, priority, attempts int, isOrdered, hasCallback bool) route {
		return route{Name: name, Host: host, Prefix: prefix, Kind: "asynchronous", Timeout: timeout, Target: 150, Priority: priority,
			Service: service, Attempts: attempts, IsOrdered: isOrdered, Retention: 80, HasCallback: hasCallback, RunTarget: 1000}
	}
	plan := SitePlan{Zones: []string{"north-bank", "south-bank", "mill-island"}, Deadline: 2 * time.Second,
		Services: []ServicePlan{
			{Name: sort, Slots: 4, Queue: 12, MaxConns: 60, Work: 60 * time.Millisecond, Count: 2, ReportsLoad: true, ColdRate: 1, ColdFor: 3 * time.Second},
			{Name: press, Slots: 2, Queue: 6, MaxConns: 60, Work: 20 * time.Millisecond, Count: 1, HasDeduplication: true},
			{Name: buoy, Slots: 12, Queue: 40, MaxConns: 40, Work: 40 * time.Millisecond, Rate: 24}},
		Routes: []route{make("lots", hosts[0], "/lots/", sort, 2000, 2, 5, false, true),
			make("orders", hosts[1], "/line/", press, 900, 0, 3, true, false),
			make("buoys "+salt, hosts[0], "/lots/buoys/", buoy, 1500, 1, 4, false, false),
			make("notices", hosts[1], "/notices/", sort, 2000, 3, 4, false, false)},
		Loads: []Load{{Route: "lots", Host: hosts[0], Prefix: "/lots/", Rate: 40, Size: 1200, DelayedShare: 0.1, PoisonedShare: 0.01, FailingShare: 0.05, IsNotified: true},
			{Route: "orders", Host: hosts[1], Prefix: "/line/", Rate: 25, Keys: 20, Size: 300, PoisonedShare: 0.02, FailingShare: 0.04},
			{Route: "buoys " + salt, Host: hosts[0], Prefix: "/lots/buoys/", Rate: 14, Size: 500, FailingShare: 0.05},
			{Route: "notices", Host: hosts[1], Prefix: "/notices/", Rate: 4, Size: 300, IsPublic: true}}}
	plan.Routes[len(plan.Routes)-1].IsPublic = true
	plan.Customers = customers(newRand(), plan.keyedRate())
	return plan
}

// keyedRate returns the rate in messages per second of all routes that need an API key.
func (p SitePlan) keyedRate() (sum float64) {
	for _, load := range p.Loads {
		if !load.IsPublic {
			sum += load.Rate
		}
	}
	return sum
}

// config returns the first configuration of a plan.
func (p SitePlan) config(s *Site) siteConfig {
	c := siteConfig{Routes: p.Routes, Limits: limits{16384, 200000, 3000, 12000}}
	for _, v := range p.Services {
		out := service{Name: v.Name, Health: healthPath, Conns: v.MaxConns, Protocol: "h1", ColdFor: v.ColdFor.Seconds(), ColdRate: v.ColdRate,
			Rate: v.Rate, HasDeduplication: v.HasDeduplication}
		if v.Count == 0 {
			addr := s.Pools[v.Name].all()[0].Addr
			out.Fixed = &addr
		}
		c.Services = append(c.Services, out)
	}
	for _, customer := range p.Customers {
		c.Tenants = append(c.Tenants, customer.tenant)
	}
	return c
}

// next returns a copy with a higher version.
func (c siteConfig) next() siteConfig {
	c.Routes, c.Services, c.Tenants = slices.Clone(c.Routes), slices.Clone(c.Services), cloneTenants(c.Tenants)
	c.Version += 1 + rand.Int64N(4)
	return c
}

// doc returns the complete configuration as a JSON document.
func (c siteConfig) doc() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	return raw
}

// updateFrom returns the update request that turns the configuration was into this one.
func (c siteConfig) updateFrom(was siteConfig) []byte {
	set, removed := []route{}, []string{}
	for _, r := range c.Routes {
		if !slices.Contains(was.Routes, r) {
			set = append(set, r)
		}
	}
	for _, r := range was.Routes {
		if !slices.ContainsFunc(c.Routes, func(o route) bool { return o.Name == r.Name }) {
			removed = append(removed, r.Name)
		}
	}
	items, names := map[string]any{"routes": set}, map[string]any{"routes": removed}
	if tenants, removedTenants := c.tenantUpdateFrom(was); len(tenants)+len(removedTenants) > 0 {
		items["tenants"], names["tenants"] = tenants, removedTenants
	}
	raw, err := json.Marshal(map[string]any{"version": c.Version, "set_items": items, "remove_names": names})
	if err != nil {
		return nil
	}
	return raw
}

// pools maps each route to its service.
func (c siteConfig) pools() map[string][]string {
	out := map[string][]string{}
	for _, r := range c.Routes {
		out[r.Name] = []string{r.Service}
	}
	return out
}

// public lists the routes that need no API key.
func (c siteConfig) public() (out []string) {
	for _, r := range c.Routes {
		if r.IsPublic {
			out = append(out, r.Name)
		}
	}
	return out
}

// judgedRoutes returns the properties of the routes that the judge needs.
func (c siteConfig) judgedRoutes() map[string]Route {
	out := map[string]Route{}
	for _, r := range c.Routes {
		hasDeduplication := slices.ContainsFunc(c.Services, func(v service) bool { return v.Name == r.Service && v.HasDeduplication })
		out[r.Name] = Route{r.Service, r.IsOrdered, time.Duration(r.Timeout) * time.Millisecond, r.Attempts,
			time.Duration(r.Retention * float64(time.Second)), r.IsPublic, hasDeduplication}
	}
	return out
}

// invalidations make a configuration invalid in one way each; c is a new version and was is the version in force.
var invalidations = []func(c siteConfig, was int64) (siteConfig, []byte){
	func(c siteConfig, _ int64) (siteConfig, []byte) { raw := c.doc(); return c, raw[:len(raw)*2/3] },
	func(c siteConfig, _ int64) (siteConfig, []byte) { c.Routes[0].Service = "nobody"; return c, c.doc() },
	func(c siteConfig, _ int64) (siteConfig, []byte) {
		r := c.Routes[0]
		r.Name = "double"
		c.Routes = append(c.Routes, r)
		return c, c.doc()
	},
	func(c siteConfig, _ int64) (siteConfig, []byte) { c.Routes[0].Timeout = 0; return c, c.doc() },
	func(c siteConfig, _ int64) (siteConfig, []byte) { c = c.shareKey(); return c, c.doc() },
	func(c siteConfig, was int64) (siteConfig, []byte) {
		c.Version, c.Routes[0].Timeout = was, c.Routes[0].Timeout+7
		return c, c.doc()
	},
	func(c siteConfig, _ int64) (siteConfig, []byte) {
		return c, []byte(strings.Replace(string(c.doc()), `"timeout_ms":`, `"timeout_ms":"`, 1))
	},
}
