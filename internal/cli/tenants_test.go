package cli

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tidwall/gjson"

	"caperwheel/internal/config"
)

// fakeManager is a manager that keeps one configuration, and takes patches of its newest revision.
type fakeManager struct {
	doc                 []byte
	revision            int
	hasConcurrentChange bool // somebody else changes it after it is read
	losesReplies        bool // answers to changes are lost
}

func (c *fakeManager) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, `{}`)
		return
	}
	if r.Method == "GET" {
		w.Header().Set("ETag", fmt.Sprintf(`"%d"`, c.revision))
		_, _ = w.Write(c.doc)
		if c.hasConcurrentChange {
			c.revision++
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || r.Header.Get("If-Match") != fmt.Sprintf(`"%d"`, c.revision) {
		w.WriteHeader(412)
		fmt.Fprint(w, `{"error":"conflict","text":"another change came first"}`)
		return
	}
	merged, err := config.Merge(c.doc, body)
	if _, faults := config.Compile(merged); err != nil || len(faults) > 0 {
		w.WriteHeader(422)
		fmt.Fprintf(w, `{"error":"invalid","text":"the configuration has faults","more":[{"path":%q}]}`, faults[0].Path)
		return
	}
	c.doc, c.revision = merged, c.revision+1
	if c.losesReplies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, c.revision))
	fmt.Fprint(w, `{}`)
}

// commandResult is what one command came to.
type commandResult struct {
	code     int
	out, err string
}

// runCommand runs a command against a manager.
func (c *fakeManager) runCommand(line, input string) commandResult {
	server := httptest.NewServer(c)
	defer server.Close()
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	args := append([]string{"--manager", server.Listener.Addr().String()}, strings.Fields(line)...)
	code := run(args, strings.NewReader(input), out, errOut)
	return commandResult{code, out.String(), errOut.String()}
}

// tenantOf gives the tenant that holds a key.
func (c *fakeManager) tenantOf(key string) string {
	rules, faults := config.Compile(c.doc)
	So(faults, ShouldBeEmpty)
	tenant, _ := rules.TenantOf(key)
	return tenant.Name
}

const keyOne, keyTwo = "key-one-of-halls", "key-two-of-halls"

func newFakeManager(tenants string) *fakeManager {
	return &fakeManager{doc: []byte(`{"pools":{"p":{}},"lanes":{"l":{"pools":["p"]}}` + tenants + `}`), revision: 7}
}

func newManagerWithTenants() *fakeManager {
	return newFakeManager(fmt.Sprintf(`,"tenants":{"halls":{"keys":[%q],"rate":5,"burst":10},"growers":{}}`, config.HashApiKey(keyOne)))
}

// TestTenantCommands is the table of what the commands on tenants come to.
func TestTenantCommands(t *testing.T) {
	prefix := config.HashApiKey(keyOne).String()[:shownHashDigits]
	cases := []struct {
		name, line, input string
		code              int
		says              string // in either output
	}{
		{"a list", "tenants list", "", ExitOk, "halls                       1            5           10\n"},
		{"a list in JSON", "--json tenants list", "", ExitOk, `"` + prefix + `"`},
		{"a tenant", "tenants show halls", "", ExitOk, "halls: rate 5, burst 10\nkey " + prefix + "\n"},
		{"no such tenant", "tenants show other", "", ExitFailed, "unknown: no tenant other"},
		{"a new limit", "tenants set halls --rate 7 --burst 9", "", ExitOk, "stamp 8"},
		{"no limit at all", "tenants set halls", "", ExitUsage, "invalid: give --rate"},
		{"a limit that is refused", "tenants set halls --rate 7 --burst 0", "", ExitUsage, "tenants.halls.burst"},
		{"a tenant that is new", "tenants set new", "", ExitOk, "stamp 8"},
		{"a name that can be none", "tenants set hällar", "", ExitUsage, "can be no tenant's name"},
		{"a key for nobody", "tenants add-key other", "", ExitFailed, "unknown: no tenant other"},
		{"a key that is given", "tenants add-key halls --stdin", keyTwo + "\n", ExitOk, "key " + config.HashApiKey(keyTwo).String()[:shownHashDigits] + " of halls"},
		{"a key that is held", "tenants add-key halls --stdin", keyOne, ExitConflict, "holds the key already"},
		{"a key that is another's", "tenants add-key growers --stdin", keyOne, ExitUsage, "tenants.halls.keys"},
		{"a key that is too short", "tenants add-key halls --stdin", "abc", ExitUsage, "a key must be"},
		{"a key with a space", "tenants add-key halls --stdin", "key two of the halls", ExitUsage, "a key must be"},
		{"the last key", "tenants remove-key halls " + prefix, "", ExitOk, "halls has no key left"},
		{"a key in large letters", "tenants remove-key halls " + strings.ToUpper(prefix), "", ExitOk, "stamp 8"},
		{"a key that is not held", "tenants remove-key halls 0123456789", "", ExitFailed, "unknown: halls holds no key"},
		{"a key by too few digits", "tenants remove-key halls " + prefix[:minHashDigits-1], "", ExitUsage, "at least 8 digits"},
		{"a tenant to take away", "tenants remove halls", "", ExitOk, "stamp 8"},
		{"no tenant to take away", "tenants remove other", "", ExitFailed, "unknown"},
		{"no command", "tenants", "", ExitUsage, "add-key"},
		{"all, looked over", "doctor", "", ExitFailed, "note  tenant growers: it has no key"},
	}
	Convey("A command on", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				manager := newManagerWithTenants()
				got := manager.runCommand(c.line, c.input)
				So(got.out+got.err, ShouldContainSubstring, c.says)
				So(got.code, ShouldEqual, c.code)
				So(manager.revision, ShouldEqual, map[bool]int{true: 8, false: 7}[strings.Contains(got.err, "stamp 8")])
				for _, secret := range []string{keyOne, keyTwo, config.HashApiKey(keyOne).String(), config.HashApiKey(keyTwo).String()} {
					So(got.out+got.err, ShouldNotContainSubstring, secret)
				}
			})
		}
	})
}

// TestKeyRotation: a new key is added, both hold, the old one is taken away.
func TestKeyRotation(t *testing.T) {
	Convey("An operator", t, func() {
		manager := newManagerWithTenants()
		Convey("rotates a key, which is printed once", func() {
			added := manager.runCommand("tenants add-key halls", "")
			key := strings.TrimSpace(added.out)
			So(config.IsApiKey(key) && len(key) >= minKeyBytes, ShouldBeTrue)
			So(added.err, ShouldNotContainSubstring, key)
			So([]string{manager.tenantOf(keyOne), manager.tenantOf(key)}, ShouldResemble, []string{"halls", "halls"})
			So(string(manager.doc), ShouldNotContainSubstring, key)
			So(manager.runCommand("tenants show halls", "").out, ShouldNotContainSubstring, key)
			So(manager.runCommand("tenants remove-key halls "+config.HashApiKey(keyOne).String()[:shownHashDigits], "").code, ShouldEqual, ExitOk)
			So([]string{manager.tenantOf(keyOne), manager.tenantOf(key)}, ShouldResemble, []string{"", "halls"})
			So(gjson.GetBytes(manager.doc, "tenants.halls.rate").Num, ShouldEqual, 5)
		})
		Convey("draws another key each time", func() {
			So(manager.runCommand("tenants add-key halls", "").out, ShouldNotEqual, manager.runCommand("tenants add-key halls", "").out)
		})
		Convey("loses a race, and no key is printed", func() {
			manager.hasConcurrentChange = true
			got := manager.runCommand("tenants add-key halls", "")
			So([]any{got.code, got.out}, ShouldResemble, []any{ExitConflict, ""})
		})
		Convey("gets no clear answer, and the key that may hold is printed", func() {
			manager.losesReplies = true
			got := manager.runCommand("tenants add-key halls", "")
			So(got.code, ShouldEqual, ExitUndecided)
			So(manager.tenantOf(strings.TrimSpace(got.out)), ShouldEqual, "halls")
		})
		Convey("is warned before callers without a key are refused", func() {
			So(newFakeManager("").runCommand("tenants set halls", "").err, ShouldContainSubstring, "this is the first tenant")
			So(manager.runCommand("tenants set more", "").err, ShouldNotContainSubstring, "first tenant")
		})
	})
}

// TestOriginIsNotShown: what another interface's document holds, keys among them, is not printed by the way,
// and what is printed instead cannot be taken for the configuration.
func TestOriginIsNotShown(t *testing.T) {
	Convey("Given a configuration that was made from another document", t, func() {
		manager := newFakeManager(`,"origin":{"tenants":[{"name":"halls","api_keys":["secret-1"]}]},"tenants":{"halls":{}}`)
		Convey("it is printed without that", func() {
			got := manager.runCommand("config get", "")
			So(got.out, ShouldNotContainSubstring, "secret-1")
			So(gjson.Get(got.out, "lanes.l").Exists(), ShouldBeTrue)
			_, faults := config.Compile([]byte(got.out))
			So(faults, ShouldResemble, []config.Fault{{Path: "origin", Text: "must be an object"}})
		})
		Convey("… unless that is asked for", func() {
			So(manager.runCommand("config get --whole", "").out, ShouldContainSubstring, "secret-1")
		})
		Convey("its tenants are not changed here", func() {
			for _, line := range []string{"tenants set halls --rate 1 --burst 1", "tenants add-key halls", "tenants remove halls"} {
				got := manager.runCommand(line, "")
				So([]any{got.code, got.out, manager.revision}, ShouldResemble, []any{ExitFailed, "", 7})
				So(got.err, ShouldContainSubstring, "another interface")
			}
		})
	})
}
