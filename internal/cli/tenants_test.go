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

// fakeManager holds one configuration and accepts patches of its newest revision.
type fakeManager struct {
	doc                 []byte
	revision            int
	hasConcurrentChange bool // another change follows each read
	losesReplies        bool // responses to changes are lost
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

// commandResult is the exit code and output of one command.
type commandResult struct {
	code     int
	out, err string
}

// runCommand runs a command line against the manager.
func (c *fakeManager) runCommand(line, input string) commandResult {
	server := httptest.NewServer(c)
	defer server.Close()
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	args := append([]string{"--manager", server.Listener.Addr().String()}, strings.Fields(line)...)
	code := run(args, strings.NewReader(input), out, errOut)
	return commandResult{code, out.String(), errOut.String()}
}

// tenantOf returns the tenant that has a key.
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

// TestTenantCommands lists commands on tenants and their results.
func TestTenantCommands(t *testing.T) {
	prefix := config.HashApiKey(keyOne).String()[:shownHashDigits]
	cases := []struct {
		name, line, input string
		code              int
		want              string // contained in either output
	}{
		{"a list", "tenants list", "", ExitOk, "halls                       1            5           10\n"},
		{"a list in JSON", "--json tenants list", "", ExitOk, `"` + prefix + `"`},
		{"a tenant", "tenants show halls", "", ExitOk, "halls: rate 5, burst 10\nkey " + prefix + "\n"},
		{"no such tenant", "tenants show other", "", ExitFailed, "unknown: tenant other does not exist"},
		{"a new limit", "tenants set halls --rate 7 --burst 9", "", ExitOk, "stamp 8"},
		{"no limit at all", "tenants set halls", "", ExitUsage, "invalid: give --rate"},
		{"an invalid limit", "tenants set halls --rate 7 --burst 0", "", ExitUsage, "tenants.halls.burst"},
		{"a new tenant", "tenants set new", "", ExitOk, "stamp 8"},
		{"an invalid name", "tenants set hällar", "", ExitUsage, "is not a valid tenant name"},
		{"a key for a tenant that does not exist", "tenants add-key other", "", ExitFailed, "unknown: tenant other does not exist"},
		{"a key that is given", "tenants add-key halls --stdin", keyTwo + "\n", ExitOk, "key " + config.HashApiKey(keyTwo).String()[:shownHashDigits] + " of halls"},
		{"a key that the tenant already has", "tenants add-key halls --stdin", keyOne, ExitConflict, "already has this key"},
		{"a key of another tenant", "tenants add-key growers --stdin", keyOne, ExitUsage, "tenants.halls.keys"},
		{"a key that is too short", "tenants add-key halls --stdin", "abc", ExitUsage, "a key must be"},
		{"a key with a space", "tenants add-key halls --stdin", "key two of the halls", ExitUsage, "a key must be"},
		{"the last key", "tenants remove-key halls " + prefix, "", ExitOk, "halls has no key left"},
		{"a key in capitals", "tenants remove-key halls " + strings.ToUpper(prefix), "", ExitOk, "stamp 8"},
		{"a key that the tenant does not have", "tenants remove-key halls 0123456789", "", ExitFailed, "unknown: tenant halls has no key"},
		{"a key named by too few digits of its hash", "tenants remove-key halls " + prefix[:minHashDigits-1], "", ExitUsage, "at least 8 digits"},
		{"a tenant to remove", "tenants remove halls", "", ExitOk, "stamp 8"},
		{"a tenant to remove that does not exist", "tenants remove other", "", ExitFailed, "unknown"},
		{"no subcommand", "tenants", "", ExitUsage, "add-key"},
		{"all tenants, checked by the doctor", "doctor", "", ExitFailed, "note  tenant growers: it has no key"},
	}
	Convey("A command on", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				manager := newManagerWithTenants()
				got := manager.runCommand(c.line, c.input)
				So(got.out+got.err, ShouldContainSubstring, c.want)
				So(got.code, ShouldEqual, c.code)
				So(manager.revision, ShouldEqual, map[bool]int{true: 8, false: 7}[strings.Contains(got.err, "stamp 8")])
				for _, secret := range []string{keyOne, keyTwo, config.HashApiKey(keyOne).String(), config.HashApiKey(keyTwo).String()} {
					So(got.out+got.err, ShouldNotContainSubstring, secret)
				}
			})
		}
	})
}

// TestKeyRotation checks that both keys are valid between adding the new and removing the old one.
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
		Convey("gets a different generated key each time", func() {
			So(manager.runCommand("tenants add-key halls", "").out, ShouldNotEqual, manager.runCommand("tenants add-key halls", "").out)
		})
		Convey("gets a conflict with another change, and no key is printed", func() {
			manager.hasConcurrentChange = true
			got := manager.runCommand("tenants add-key halls", "")
			So([]any{got.code, got.out}, ShouldResemble, []any{ExitConflict, ""})
		})
		Convey("gets no response, and the key that may be valid is printed", func() {
			manager.losesReplies = true
			got := manager.runCommand("tenants add-key halls", "")
			So(got.code, ShouldEqual, ExitUndecided)
			So(manager.tenantOf(strings.TrimSpace(got.out)), ShouldEqual, "halls")
		})
		Convey("is warned that callers without a key are rejected from the first tenant on", func() {
			So(newFakeManager("").runCommand("tenants set halls", "").err, ShouldContainSubstring, "this is the first tenant")
			So(manager.runCommand("tenants set more", "").err, ShouldNotContainSubstring, "first tenant")
		})
	})
}

// TestOriginIsNotShown checks that the source document, which may hold API keys, is printed only on request, and that
// the redacted output cannot be set as a configuration by mistake.
func TestOriginIsNotShown(t *testing.T) {
	Convey("Given a configuration that was translated from another document", t, func() {
		manager := newFakeManager(`,"origin":{"tenants":[{"name":"halls","api_keys":["secret-1"]}]},"tenants":{"halls":{}}`)
		Convey("it is printed without that document", func() {
			got := manager.runCommand("config get", "")
			So(got.out, ShouldNotContainSubstring, "secret-1")
			So(gjson.Get(got.out, "lanes.l").Exists(), ShouldBeTrue)
			_, faults := config.Compile([]byte(got.out))
			So(faults, ShouldResemble, []config.Fault{{Path: "origin", Text: "must be an object"}})
		})
		Convey("it is printed with that document if --whole is set", func() {
			So(manager.runCommand("config get --whole", "").out, ShouldContainSubstring, "secret-1")
		})
		Convey("its tenants cannot be changed here", func() {
			for _, line := range []string{"tenants set halls --rate 1 --burst 1", "tenants add-key halls", "tenants remove halls"} {
				got := manager.runCommand(line, "")
				So([]any{got.code, got.out, manager.revision}, ShouldResemble, []any{ExitFailed, "", 7})
				So(got.err, ShouldContainSubstring, "another interface")
			}
		})
	})
}
