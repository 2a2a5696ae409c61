package config

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// buildRoutes builds the routes of plain HTTP requests, and checks that no two lanes share a host and
// path prefix.
func (c *compiler) buildRoutes() {
	c.rules.routes = map[string][]Lane{}
	for name, l := range c.rules.Lanes {
		if l.PathPrefix == "" {
			if l.Host != "" {
				c.addFault("lanes."+name+".host", "has no effect without a prefix")
			}
			continue
		}
		for _, other := range c.rules.routes[strings.ToLower(l.Host)] {
			if other.PathPrefix == l.PathPrefix {
				c.addFault("lanes."+name+".prefix", "is also the prefix of lane "+other.Name)
			}
		}
		c.rules.routes[strings.ToLower(l.Host)] = append(c.rules.routes[strings.ToLower(l.Host)], l)
	}
	for _, list := range c.rules.routes {
		slices.SortFunc(list, func(a, b Lane) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
}

// Route returns the lane of a plain HTTP request: among the lanes of its host, the one with the longest
// matching path prefix. If none matches, the lanes without a host are tried; they serve every host.
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

// RunTimeoutMs returns the timeout, in milliseconds, of one run of a lane in a pool.
func (r *Rules) RunTimeoutMs(lane, pool string) (timeout int64) {
	if l := r.Lanes[lane]; l.RunTimeout > 0 {
		return l.RunTimeout.Milliseconds()
	}
	return r.Pools[pool].RunTimeout.Milliseconds()
}
