package config

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// buildRoutes lays the ways of messages that come as they are, and checks that no two
// lanes share one.
func (c *compiler) buildRoutes() {
	c.rules.routes = map[string][]Lane{}
	for name, l := range c.rules.Lanes {
		if l.PathPrefix == "" {
			if l.Host != "" {
				c.addFault("lanes."+name+".host", "is of no use without a prefix")
			}
			continue
		}
		for _, other := range c.rules.routes[strings.ToLower(l.Host)] {
			if other.PathPrefix == l.PathPrefix {
				c.addFault("lanes."+name+".prefix", "is also that of "+other.Name)
			}
		}
		c.rules.routes[strings.ToLower(l.Host)] = append(c.rules.routes[strings.ToLower(l.Host)], l)
	}
	for _, list := range c.rules.routes {
		slices.SortFunc(list, func(a, b Lane) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Route returns the lane of a request that comes as it is: of its host's lanes the
// one with the longest prefix of its path. A lane without a host serves all.
func (r *Rules) Route(host, path string) (Lane, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, list := range [][]Lane{r.routes[strings.ToLower(host)], r.routes[""]} {
		for _, l := range list {
			if strings.HasPrefix(path, l.PathPrefix) {
				return l, true
			}
		}
	}
	return Lane{}, false
}

// RunTimeoutMs is how long one run of a lane may take in a pool.
func (r *Rules) RunTimeoutMs(lane, pool string) (bound int64) {
	if l := r.Lanes[lane]; l.RunTimeout > 0 {
		return l.RunTimeout.Milliseconds()
	}
	return r.Pools[pool].RunTimeout.Milliseconds()
}
