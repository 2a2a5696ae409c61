package cli

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// Bounds for API keys that the operator gives.
const (
	minKeyBytes   = 16   // shorter keys could be guessed
	maxInputBytes = 4096 // read from standard input
)

// changeTenant sets fields of one tenant, or removes the tenant if fields is nil. The change applies only to the
// revision that was read: if the configuration has changed since, the other change wins and this one is a conflict.
func (t *runner) changeTenant(set tenantSet, name string, fields any) error {
	switch {
	case set.isDerived:
		return errs.New(errs.Rejected, "cannot change tenant: the configuration is translated from another interface's document; change the tenant there")
	case !config.IsTenantName(name):
		return errs.New(errs.Invalid, "%q is not a valid tenant name: use at most %d printable ASCII characters", name, config.MaxTenantNameBytes)
	}
	patch, err := json.Marshal(map[string]any{"tenants": map[string]any{name: fields}})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the patch")
	}
	resp, err := t.sendChange("PATCH", "/v1/charter", set.revision, patch, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.errOut, "stamp %s\n", strings.Trim(resp.Header().Get("ETag"), `"`))
	if !set.hasTenants {
		fmt.Fprintln(t.errOut, "this is the first tenant: from now on, lanes that are not public require an API key")
	}
	return nil
}

// setTenant sets a tenant's rate and burst. A tenant that does not exist is added without a key.
func (t *runner) setTenant(set tenantSet, c *tenantCommand) error {
	fields := map[string]any{}
	if c.Rate != nil {
		fields["rate"] = *c.Rate
	}
	if c.Burst != nil {
		fields["burst"] = *c.Burst
	}
	if _, isThere := set.tenants[c.Name]; !isThere {
		fields["keys"] = []string{}
	}
	if len(fields) == 0 {
		return errs.New(errs.Invalid, "give --rate, --burst or both")
	}
	return t.changeTenant(set, c.Name, fields)
}

// removeTenant removes a tenant with all of its keys.
func (t *runner) removeTenant(set tenantSet, name string) error {
	if _, err := set.find(name); err != nil {
		return err
	}
	return t.changeTenant(set, name, nil)
}

// addKey adds an API key to a tenant. A generated key is printed as soon as it may be valid, also if the outcome of
// the change is undecided: it is stored nowhere else.
func (t *runner) addKey(set tenantSet, c *addKeyCommand) error {
	found, err := set.find(c.Name)
	if err != nil {
		return err
	}
	key := rand.Text()
	if c.Stdin {
		if key, err = readKey(t.in); err != nil {
			return err
		}
	}
	hash := config.HashApiKey(key).String()
	if slices.Contains(found.Keys, hash) {
		return errs.New(errs.Conflict, "the tenant already has this key")
	}
	err = t.changeTenant(set, c.Name, map[string]any{"keys": append(slices.Clone(found.Keys), hash)})
	if err != nil && !errs.Is(err, errs.Undecided) {
		return err
	}
	if !c.Stdin {
		fmt.Fprintln(t.out, key)
	}
	fmt.Fprintf(t.errOut, "key %s of %s\n", hash[:shownHashDigits], c.Name)
	return err
}

// readKey reads and checks an API key that was not generated here.
func readKey(in io.Reader) (string, error) {
	raw, err := io.ReadAll(io.LimitReader(in, maxInputBytes))
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "read standard input")
	}
	key := strings.TrimSpace(string(raw))
	if len(key) < minKeyBytes || !config.IsApiKey(key) {
		return "", errs.New(errs.Invalid, "a key must be %d to %d printable ASCII characters without spaces", minKeyBytes, config.MaxTenantNameBytes)
	}
	return key, nil
}

// removeKey removes the one key of a tenant whose hash begins with the given digits.
func (t *runner) removeKey(set tenantSet, c *removeKeyCommand) error {
	found, err := set.find(c.Name)
	if err != nil {
		return err
	}
	prefix := strings.ToLower(c.Prefix)
	if len(prefix) < minHashDigits {
		return errs.New(errs.Invalid, "give at least %d digits of the key's hash, as 'tenants show' prints it", minHashDigits)
	}
	remaining := []string{}
	for _, hash := range found.Keys {
		if !strings.HasPrefix(strings.ToLower(hash), prefix) {
			remaining = append(remaining, hash)
		}
	}
	switch len(found.Keys) - len(remaining) {
	case 0:
		return errs.New(errs.Unknown, "tenant %s has no key whose hash begins with %s", c.Name, prefix)
	case 1:
	default:
		return errs.New(errs.Invalid, "%d keys of tenant %s have hashes that begin with %s", len(found.Keys)-len(remaining), c.Name, prefix)
	}
	if err := t.changeTenant(set, c.Name, map[string]any{"keys": remaining}); err != nil {
		return err
	}
	if len(remaining) == 0 {
		fmt.Fprintf(t.errOut, "tenant %s has no key left: its callers are rejected with 401\n", c.Name)
	}
	return nil
}
