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

type tenantsCommand struct {
	List      *struct{}         `arg:"subcommand:list" help:"list the tenants, with how many keys each has"`
	Show      *nameCommand      `arg:"subcommand:show" help:"print a tenant's limit and how the hashes of its keys begin"`
	Set       *tenantCommand    `arg:"subcommand:set" help:"set a tenant's limit; a tenant that is not there is added, without a key"`
	AddKey    *addKeyCommand    `arg:"subcommand:add-key" help:"give a tenant one more key; those that it has still hold"`
	RemoveKey *removeKeyCommand `arg:"subcommand:remove-key" help:"take a key away: NAME PREFIX"`
	Remove    *nameCommand      `arg:"subcommand:remove" help:"take a tenant away, with all of its keys"`
}

type tenantCommand struct {
	Name  string   `arg:"positional,required"`
	Rate  *float64 `arg:"--rate" help:"messages a second over the whole fleet; 0 for no limit"`
	Burst *float64 `arg:"--burst" help:"messages beyond the rate at any time; at least 1"`
}

type addKeyCommand struct {
	Name  string `arg:"positional,required"`
	Stdin bool   `arg:"--stdin" help:"take the key from standard input; else one is drawn, and printed this once"`
}

type removeKeyCommand struct {
	Name   string `arg:"positional,required"`
	Prefix string `arg:"positional,required" help:"how the key's hash begins, as 'tenants show' prints it"`
}

// tenant is a tenant as the configuration has it.
type tenant struct {
	Keys  []string `json:"keys"` // hashes
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst"`
}

// tenantSummary is what is printed of a tenant.
type tenantSummary struct {
	Name  string   `json:"name"`
	Keys  []string `json:"keys"` // how the hashes begin
	Rate  float64  `json:"rate"`
	Burst float64  `json:"burst"`
}

// Digits of a key's hash.
const (
	shownHashDigits = 12
	minHashDigits   = 8 // that name a key
)

// tenantSet is the tenants of a revision of the configuration.
type tenantSet struct {
	revision   string
	isDerived  bool // from a document that another interface changes
	hasTenants bool // else lanes need no API key
	tenants    map[string]tenant
}

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
	return errs.New(errs.Invalid, "one of list, show, set, add-key, remove-key, remove is missing")
}

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
	return set, errs.Wrap(err, errs.Corrupt, "tenants")
}

// checkTenants tells of tenants whose callers cannot get in.
func (t *runner) checkTenants() []finding {
	set, err := t.readTenants()
	if err != nil {
		return []finding{{false, t.args.Manager, "the configuration cannot be read: " + err.Error(), "ask again, or another manager"}}
	}
	out := []finding{}
	for _, name := range slices.Sorted(maps.Keys(set.tenants)) {
		if len(set.tenants[name].Keys) == 0 {
			out = append(out, finding{false, "tenant " + name, "it has no key: its callers are refused with 401", "give it one, or take it away"})
		}
	}
	return out
}

// find returns a tenant that must be there.
func (b tenantSet) find(name string) (tenant, error) {
	found, isThere := b.tenants[name]
	if !isThere {
		return tenant{}, errs.New(errs.Unknown, "no tenant %s; 'tenants set %s' adds it", name, name)
	}
	return found, nil
}

func summarize(name string, of tenant) tenantSummary {
	out := tenantSummary{Name: name, Keys: []string{}, Rate: of.Rate, Burst: of.Burst}
	for _, hash := range of.Keys {
		out.Keys = append(out.Keys, hash[:min(len(hash), shownHashDigits)])
	}
	return out
}

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

func (t *runner) printJson(what any) error {
	raw, err := json.MarshalIndent(what, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "tenants")
	}
	fmt.Fprintln(t.out, string(raw))
	return nil
}
