package config

import (
	"net"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Bounds of a configuration document.
const (
	MaxDocumentBytes = 1 << 20 // size of a document
	MaxLanesAndPools = 10000   // lanes and pools together
	maxDepth         = 16      // levels of a tree
)

// compiler collects the rules and faults of one configuration document.
type compiler struct {
	rules  Rules
	faults []Fault
}

// addFault records a fault, up to 100 of them.
func (c *compiler) addFault(path, text string) {
	if len(c.faults) < 100 {
		c.faults = append(c.faults, Fault{path, text})
	}
}

// Compile validates a whole configuration document and returns its rules. If there is any fault, it
// returns the faults and no rules.
func Compile(doc []byte) (*Rules, []Fault) {
	c := &compiler{rules: Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}}
	switch {
	case len(doc) > MaxDocumentBytes:
		return nil, []Fault{{"", "is larger than 1 MiB"}}
	case !gjson.ValidBytes(doc):
		return nil, []Fault{{"", "is not JSON"}}
	}
	root := gjson.ParseBytes(doc)
	if !root.IsObject() {
		return nil, []Fault{{"", "must be an object"}}
	}
	c.checkUniqueKeys("", root, 0)
	for key, value := range root.Map() {
		switch key {
		case "lanes", "pools", "tenants":
			if !value.IsObject() {
				c.addFault(key, "must be an object")
			}
		case "note":
			if value.Type != gjson.String {
				c.addFault(key, "must be a string")
			}
		case originKey:
			if !value.IsObject() {
				c.addFault(key, "must be an object")
			}
		case "version":
			if value.Type != gjson.Number || value.Num != float64(value.Int()) || value.Num < 1 {
				c.addFault(key, "must be a whole number above 0")
			}
			c.rules.Version = value.Int()
		case "edits":
			if text := checkNames(value); text != "" {
				c.addFault(key, text)
			}
		default:
			c.addFault(key, "is not known")
		}
	}
	eachMember(root.Get("pools"), func(name string, r gjson.Result) {
		readTree(c, "pools."+name, name, r, defaultPool, poolFields, c.addPool, 0)
	})
	eachMember(root.Get("lanes"), func(name string, r gjson.Result) {
		readTree(c, "lanes."+name, name, r, defaultLane, laneFields, c.addLane, 0)
	})
	c.readTenants(root)
	c.checkReferences()
	c.buildRoutes()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return &c.rules, nil
}

func eachMember(r gjson.Result, visit func(name string, r gjson.Result)) {
	r.ForEach(func(key, value gjson.Result) bool { visit(key.Str, value); return true })
}

// checkUniqueKeys reports duplicate keys of an object as faults: which of them counts would be undefined.
func (c *compiler) checkUniqueKeys(path string, r gjson.Result, depth int) {
	if depth > 4*maxDepth {
		c.addFault(path, "is nested too deeply")
		return
	}
	if r.IsArray() {
		r.ForEach(func(_, item gjson.Result) bool {
			if item.Type == gjson.JSON {
				c.checkUniqueKeys(path, item, depth+1)
			}
			return true
		})
		return
	}
	if !r.IsObject() {
		return
	}
	seen := map[string]bool{}
	eachMember(r, func(name string, value gjson.Result) {
		at := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			c.addFault(at, "is given twice")
		}
		seen[name] = true
		if value.Type == gjson.JSON {
			c.checkUniqueKeys(at, value, depth+1)
		}
	})
}

// isName reports whether a string is a name of 1 to 64 letters, digits, - and _.
func isName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}

// readTree reads one node of a tree and its descendants. A node inherits its parent's settings and
// overrides those that it names. Only nodes without children are lanes or pools; add gets each.
func readTree[T any](c *compiler, path, name string, r gjson.Result, node T, fields map[string]field[T],
	add func(path, name string, node T), depth int) {
	last := name[strings.LastIndex(name, ".")+1:]
	if !isName(last) {
		c.addFault(path, "must have a name of 1 to 64 letters, digits, - and _")
		return
	}
	if !r.IsObject() || depth > maxDepth {
		c.addFault(path, "must be an object, nested at most 16 levels deep")
		return
	}
	children := r.Get("children")
	if children.Exists() && (!children.IsObject() || len(children.Map()) == 0) {
		c.addFault(path+".children", "must be an object with at least one member")
	}
	node, _ = readFields(c, path, r, node, fields)
	if !children.Exists() {
		add(path, name, node)
		return
	}
	eachMember(children, func(child string, r gjson.Result) {
		readTree(c, path+".children."+child, name+"."+child, r, node, fields, add, depth+1)
	})
}

// readFields overrides the settings of a node with those that r names, and reports whether all of them
// are valid.
func readFields[T any](c *compiler, path string, r gjson.Result, node T, fields map[string]field[T]) (T, bool) {
	before := len(c.faults)
	eachMember(r, func(key string, value gjson.Result) {
		if key == "children" {
			return
		}
		f, isKnown := fields[key]
		if !isKnown {
			c.addFault(path+"."+key, "is not known")
			return
		}
		isBool := f.kind == gjson.True && value.IsBool()
		if value.Type != f.kind && !isBool {
			c.addFault(path+"."+key, "has a value of the wrong JSON type")
			return
		}
		if f.check != nil {
			if text := f.check(value); text != "" {
				c.addFault(path+"."+key, text)
				return
			}
		}
		f.read(&node, value)
	})
	return node, len(c.faults) == before
}

func (c *compiler) addLane(path, name string, l Lane) {
	l.Name = name
	if len(l.Pools) == 0 {
		c.addFault(path, "has no pool")
	}
	if l.MaxBackoff < l.Backoff {
		c.addFault(path+".backoff_most", "is less than backoff")
	}
	c.rules.Lanes[name] = l
}

func (c *compiler) addPool(path, name string, p Pool) {
	p.Name = name
	if p.IsEndpoint != (p.Address != "") {
		c.addFault(path+".address", "must be given for an endpoint and for no other pool")
	}
	c.rules.Pools[name] = p
}

// checkReferences checks the references from lanes to pools and other lanes.
func (c *compiler) checkReferences() {
	if len(c.rules.Lanes)+len(c.rules.Pools) > MaxLanesAndPools {
		c.addFault("", "has more than 10000 lanes and pools")
	}
	for name, l := range c.rules.Lanes {
		for _, pool := range l.Pools {
			if _, isKnown := c.rules.Pools[pool]; !isKnown {
				c.addFault("lanes."+name+".pools", "names "+pool+", which is not a pool")
			}
		}
		if l.CallbackLane == "" {
			continue
		}
		if next, isKnown := c.rules.Lanes[l.CallbackLane]; !isKnown {
			c.addFault("lanes."+name+".callback", "names "+l.CallbackLane+", which is not a lane")
		} else if next.IsOrdered {
			c.addFault("lanes."+name+".callback", "names an ordered lane, but a callback has no ordering key")
		}
		seen := map[string]bool{name: true}
		for next := l.CallbackLane; next != ""; next = c.rules.Lanes[next].CallbackLane {
			if seen[next] {
				c.addFault("lanes."+name+".callback", "forms a cycle through "+next)
				break
			}
			seen[next] = true
		}
	}
}

// CheckAddress returns the fault of a text that must be an IP address and a port; empty if it is valid.
func CheckAddress(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return "must be an IP number and a port"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return "must have a port from 1 to 65535"
	}
	return ""
}
