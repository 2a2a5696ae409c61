package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"

	"caperwheel/internal/errs"
)

// tenantsCommand holds the subcommands of tenants.
type tenantsCommand struct {
	List      *struct{}         `arg:"subcommand:list" help:"list the tenants, with how many keys each has"`
	Show      *nameCommand      `arg:"subcommand:show" help:"print a tenant's limit and how the hashes of its keys begin"`
	Set       *tenantCommand    `arg:"subcommand:set" help:"set a tenant's limit; a tenant that is not there is added, without a key"`
	AddKey    *addKeyCommand    `arg:"subcommand:add-key" help:"give a tenant one more key; those that it has still hold"`
	RemoveKey *removeKeyCommand `arg:"subcommand:remove-key" help:"take a key away: NAME PREFIX"`
	Remove    *nameCommand      `arg:"subcommand:remove" help:"take a tenant away, with all of its keys"`
}

// tenantCommand holds the arguments of tenants set.
type tenantCommand struct {
	Name  string   `arg:"positional,required"`
	Rate  *float64 `arg:"--rate" help:"messages a second over the whole fleet; 0 for no limit"`
	Burst *float64 `arg:"--burst" help:"messages beyond the rate at any time; at least 1"`
}

// addKeyCommand holds the arguments of tenants add-key.
type addKeyCommand struct {
	Name  string `arg:"positional,required"`
	Stdin bool   `arg:"--stdin" help:"take the key from standard input; else one is drawn, and printed this once"`
}

// removeKeyCommand holds the arguments of tenants remove-key.
type removeKeyCommand struct {
	Name   string `arg:"positional,required"`
	Prefix string `arg:"positional,required" help:"how the key's hash begins, as 'tenants show' prints it"`
}

// tenant is a tenant in the configuration.
type tenant struct {
	Keys  []string `json:"keys"` // hashes
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst"`
}

// tenantSummary is the printed form of a tenant.
type tenantSummary struct {
	Name  string   `json:"name"`
	Keys  []string `json:"keys"` // first digits of the hashes
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst"`
}

// Hexadecimal digits of a key's hash.
const (
	shownHashDigits = 12 // printed
	minHashDigits   = 8  // needed to name a key
)

// tenantSet holds the tenants of one revision of the configuration.
type tenantSet struct {
	revision   string
	isDerived  bool // the configuration is translated from a document of another interface
	hasTenants bool // if false, lanes require no API key
	tenants    map[string]tenant
}

// tenants runs a subcommand of tenants on the newest revision of the configuration.
func (t *runner) tenants(c *tenantsCommand) error {
	set, err := t.readTenants()
	if err != nil {
		return err
	}
	switch {
	case c.List != nil:
		return t.listTenants(set)
	case c.Show != nil:
		return t.showTenant(set, c.Show.Name)
	case c.Set != nil:
		return t.setTenant(set, c.Set)
	case c.AddKey != nil:
		return t.addKey(set, c.AddKey)
	case c.RemoveKey != nil:
		return t.removeKey(set, c.RemoveKey)
	case c.Remove != nil:
		return t.removeTenant(set, c.Remove.Name)
	}
	return errs.New(errs.Invalid, "no subcommand given: use list, show, set, add-key, remove-key or remove")
}

// readTenants reads the tenants from the manager's newest configuration.
func (t *runner) readTenants() (tenantSet, error) {
	resp, err := t.get("/v1/charter")
	if err != nil {
		return tenantSet{}, err
	}
	set := tenantSet{revision: strings.Trim(resp.Header().Get("ETag"), `"`), tenants: map[string]tenant{}}
	root := gjson.ParseBytes(resp.Body())
	set.isDerived = root.Get("origin").Exists()
	tenants := root.Get("tenants")
	if set.hasTenants = tenants.Exists(); set.hasTenants {
		err = json.Unmarshal([]byte(tenants.Raw), &set.tenants)
	}
	return set, errs.Wrap(err, errs.Corrupt, "decode the tenants of the configuration")
}

// checkTenants returns a finding for each tenant without an API key, whose callers are all rejected.
func (t *runner) checkTenants() []finding {
	set, err := t.readTenants()
	if err != nil {
		return []finding{{false, t.args.Manager, "the configuration cannot be read: " + err.Error(), "run the doctor again, or use another manager"}}
	}
	out := []finding{}
	for _, name := range slices.Sorted(maps.Keys(set.tenants)) {
		if len(set.tenants[name].Keys) == 0 {
			out = append(out, finding{false, "tenant " + name, "it has no key: its callers are rejected with 401", "add a key, or remove the tenant"})
		}
	}
	return out
}

// find returns the tenant of a name, or errs.Unknown.
func (b tenantSet) find(name string) (tenant, error) {
	found, isThere := b.tenants[name]
	if !isThere {
		return tenant{}, errs.New(errs.Unknown, "tenant %s does not exist; 'tenants set %s' adds it", name, name)
	}
	return found, nil
}

// summarize returns the printed form of a tenant, without the full hashes of its keys.
func summarize(name string, of tenant) tenantSummary {
	out := tenantSummary{Name: name, Keys: []string{}, Rate: of.Rate, Burst: of.Burst}
	for _, hash := range of.Keys {
		out.Keys = append(out.Keys, hash[:min(len(hash), shownHashDigits)])
	}
	return out
}

// listTenants prints all tenants in the order of their names.
func (t *runner) listTenants(set tenantSet) error {
	all := []tenantSummary{}
	for _, name := range slices.Sorted(maps.Keys(set.tenants)) {
		all = append(all, summarize(name, set.tenants[name]))
	}
	if t.args.Json {
		return t.printJson(all)
	}
	fmt.Fprintf(t.out, "%-24s %4s %12s %12s\n", "tenant", "keys", "rate", "burst")
	for _, s := range all {
		fmt.Fprintf(t.out, "%-24s %4d %12g %12g\n", s.Name, len(s.Keys), s.Rate, s.Burst)
	}
	return nil
}

// showTenant prints one tenant and the first digits of its keys' hashes.
func (t *runner) showTenant(set tenantSet, name string) error {
	found, err := set.find(name)
	if err != nil {
		return err
	}
	s := summarize(name, found)
	if t.args.Json {
		return t.printJson(s)
	}
	fmt.Fprintf(t.out, "%s: rate %g, burst %g\n", s.Name, s.Rate, s.Burst)
	for _, key := range s.Keys {
		fmt.Fprintf(t.out, "key %s\n", key)
	}
	return nil
}

// printJson prints a value as indented JSON.
func (t *runner) printJson(what any) error {
	raw, err := json.MarshalIndent(what, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the tenants")
	}
	fmt.Fprintln(t.out, string(raw))
	return nil
}
