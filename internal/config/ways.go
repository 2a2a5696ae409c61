package config

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// lay lays the ways of messages that come as they are, and checks that no two
// lanes share one.
func (c *compiler) lay() {
	c.rules.ways = map[string][]Lane{}
	for name, l := range c.rules.Lanes {
		if l.Prefix == "" {
			if l.Host != "" {
				c.fault("lanes."+name+".host", "is of no use without a prefix")
			}
			continue
		}
		for _, other := range c.rules.ways[strings.ToLower(l.Host)] {
			if other.Prefix == l.Prefix {
				c.fault("lanes."+name+".prefix", "is also that of "+other.Name)
			}
		}
		c.rules.ways[strings.ToLower(l.Host)] = append(c.rules.ways[strings.ToLower(l.Host)], l)
	}
	for _, list := range c.rules.ways {
		slices.SortFunc(list, func(a, b Lane) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Way returns the lane of a request that comes as it is: of its host's lanes the
// one with the longest prefix of its path. A lane without a host serves all.
func (r *Rules) Way(host, path string) (Lane, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, list := range [][]Lane{r.ways[strings.ToLower(host)], r.ways[""]} {
		for _, l := range list {
			if strings.HasPrefix(path, l.Prefix) {
				return l, true
			}
		}
	}
	return Lane{}, false
}

// BoundOf is how long one run of a lane may take in a pool.
func (r *Rules) BoundOf(lane, pool string) (bound int64) {
	if l := r.Lanes[lane]; l.Bound > 0 {
		return l.Bound.Milliseconds()
	}
	return r.Pools[pool].Bound.Milliseconds()
}
