package config

import (
	"net"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"
)

// Most bounds what a configuration may hold.
const (
	MaxDocumentBytes = 1 << 20
	MaxLanesAndPools = 10000
	maxDepth         = 16
)

type compiler struct {
	rules  Rules
	faults []Fault
}

func (c *compiler) addFault(path, text string) {
	if len(c.faults) < 100 {
		c.faults = append(c.faults, Fault{path, text})
	}
}

// Compile checks a whole configuration and makes rules of it. Any fault means that
// there are no rules.
func Compile(doc []byte) (*Rules, []Fault) {
	c := &compiler{rules: Rules{Lanes: map[string]Lane{}, Pools: map[string]Pool{}}}
	switch {
	case len(doc) > MaxDocumentBytes:
		return nil, []Fault{{"", "is larger than a configuration may be"}}
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
				c.addFault(key, "must be a text")
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

// checkUniqueKeys refuses a key given twice: which one counts would be a guess.
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

func isName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}

// readTree reads one node of a tree: it starts as its parent was and overrides
// what it names itself. Only nodes without children are lanes or pools.
func readTree[T any](c *compiler, path, name string, r gjson.Result, node T, fields map[string]field[T],
	add func(path, name string, node T), depth int) {
	last := name[strings.LastIndex(name, ".")+1:]
	if !isName(last) {
		c.addFault(path, "has a name that is not letters, digits, - and _")
		return
	}
	if !r.IsObject() || depth > maxDepth {
		c.addFault(path, "must be an object, not nested too deeply")
		return
	}
	children := r.Get("children")
	if children.Exists() && (!children.IsObject() || len(children.Map()) == 0) {
		c.addFault(path+".children", "must be an object that is not empty")
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

// readFields reads what a node names itself over what it was, and reports whether all of it is right.
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
			c.addFault(path+"."+key, "is of the wrong kind")
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
		c.addFault(path+".address", "must be given for an endpoint, and only there")
	}
	c.rules.Pools[name] = p
}

// checkReferences checks what lanes and pools say of each other.
func (c *compiler) checkReferences() {
	if len(c.rules.Lanes)+len(c.rules.Pools) > MaxLanesAndPools {
		c.addFault("", "has too many lanes and pools")
	}
	for name, l := range c.rules.Lanes {
		for _, pool := range l.Pools {
			if _, isKnown := c.rules.Pools[pool]; !isKnown {
				c.addFault("lanes."+name+".pools", "names "+pool+", which is no pool")
			}
		}
		if l.CallbackLane == "" {
			continue
		}
		if next, isKnown := c.rules.Lanes[l.CallbackLane]; !isKnown {
			c.addFault("lanes."+name+".callback", "names "+l.CallbackLane+", which is no lane")
		} else if next.IsOrdered {
			c.addFault("lanes."+name+".callback", "names an ordered lane, and a call-back has no key")
		}
		seen := map[string]bool{name: true}
		for next := l.CallbackLane; next != ""; next = c.rules.Lanes[next].CallbackLane {
			if seen[next] {
				c.addFault("lanes."+name+".callback", "leads back to "+next)
				break
			}
			seen[next] = true
		}
	}
}

// CheckAddress says what is wrong with an IP number and port; empty if nothing.
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
