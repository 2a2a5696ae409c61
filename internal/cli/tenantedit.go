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

// Keys of callers.
const (
	leastKey  = 16   // bytes of a key that is given: shorter ones could be guessed
	mostInput = 4096 // bytes read of standard input
)

// changeTenant sets fields of one tenant, or takes it away, on the revision that was read: whoever
// changed the configuration meanwhile wins.
func (t *tool) changeTenant(book tenantBook, name string, fields any) error {
	switch {
	case book.isMade:
		return errs.New(errs.Rejected, "the configuration is made from a document of another interface: change the tenant there")
	case !config.IsTenantName(name):
		return errs.New(errs.Invalid, "%q can be no tenant's name: at most %d printable ASCII characters", name, config.MaxTenantNameBytes)
	}
	patch, err := json.Marshal(map[string]any{"tenants": map[string]any{name: fields}})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "patch")
	}
	resp, err := t.send("PATCH", "/v1/charter", book.revision, patch, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.err, "stamp %s\n", strings.Trim(resp.Header().Get("ETag"), `"`))
	if !book.hasTenants {
		fmt.Fprintln(t.err, "this is the first tenant: lanes that are not public need an API key from now on")
	}
	return nil
}

func (t *tool) setTenant(book tenantBook, c *tenantCommand) error {
	fields := map[string]any{}
	if c.Rate != nil {
		fields["rate"] = *c.Rate
	}
	if c.Burst != nil {
		fields["burst"] = *c.Burst
	}
	if _, isThere := book.tenants[c.Name]; !isThere {
		fields["keys"] = []string{}
	}
	if len(fields) == 0 {
		return errs.New(errs.Invalid, "give --rate, --burst or both")
	}
	return t.changeTenant(book, c.Name, fields)
}

func (t *tool) removeTenant(book tenantBook, name string) error {
	if _, err := book.find(name); err != nil {
		return err
	}
	return t.changeTenant(book, name, nil)
}

// addKey gives a tenant one more key. A key that was drawn is printed once it may hold: nobody else knows it.
func (t *tool) addKey(book tenantBook, c *addKeyCommand) error {
	found, err := book.find(c.Name)
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
		return errs.New(errs.Conflict, "the tenant holds the key already")
	}
	err = t.changeTenant(book, c.Name, map[string]any{"keys": append(slices.Clone(found.Keys), hash)})
	if err != nil && !errs.Is(err, errs.Undecided) {
		return err
	}
	if !c.Stdin {
		fmt.Fprintln(t.out, key)
	}
	fmt.Fprintf(t.err, "key %s of %s\n", hash[:shownDigits], c.Name)
	return err
}

// readKey reads a key that its tenant has chosen.
func readKey(in io.Reader) (string, error) {
	raw, err := io.ReadAll(io.LimitReader(in, mostInput))
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "standard input")
	}
	key := strings.TrimSpace(string(raw))
	if len(key) < leastKey || !config.IsApiKey(key) {
		return "", errs.New(errs.Invalid, "a key must be %d to %d printable ASCII characters without spaces", leastKey, config.MaxTenantNameBytes)
	}
	return key, nil
}

func (t *tool) removeKey(book tenantBook, c *removeKeyCommand) error {
	found, err := book.find(c.Name)
	if err != nil {
		return err
	}
	prefix := strings.ToLower(c.Prefix)
	if len(prefix) < leastDigits {
		return errs.New(errs.Invalid, "give at least %d digits of the key's hash, as 'tenants show' prints it", leastDigits)
	}
	left := []string{}
	for _, hash := range found.Keys {
		if !strings.HasPrefix(strings.ToLower(hash), prefix) {
			left = append(left, hash)
		}
	}
	switch len(found.Keys) - len(left) {
	case 0:
		return errs.New(errs.Unknown, "%s holds no key whose hash begins with %s", c.Name, prefix)
	case 1:
	default:
		return errs.New(errs.Invalid, "%d keys of %s begin with %s", len(found.Keys)-len(left), c.Name, prefix)
	}
	if err := t.changeTenant(book, c.Name, map[string]any{"keys": left}); err != nil {
		return err
	}
	if len(left) == 0 {
		fmt.Fprintf(t.err, "%s has no key left: its callers are refused with 401\n", c.Name)
	}
	return nil
}
