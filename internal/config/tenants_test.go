package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// withTenants gives a configuration with tenants, as JSON.
func withTenants(tenants string) []byte {
	return []byte(`{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"host":"x.example","prefix":"/a/"}},"tenants":` + tenants + `}`)
}

// keysOf gives the hashes of keys, as JSON.
func keysOf(keys ...string) string {
	hashes := []string{}
	for _, key := range keys {
		hashes = append(hashes, HashApiKey(key).String())
	}
	raw, err := json.Marshal(hashes)
	So(err, ShouldBeNil)
	return string(raw)
}

// manyTenants gives a configuration of so many tenants with so many keys each.
func manyTenants(count, keys int) []byte {
	tenants := map[string]any{}
	for i := range count {
		hashes := []string{}
		for k := range keys {
			hashes = append(hashes, HashApiKey(fmt.Sprint("key-", i, "-", k)).String())
		}
		tenants[fmt.Sprint("tenant-", i)] = map[string]any{"keys": hashes, "rate": 50, "burst": 50}
	}
	raw, err := json.Marshal(tenants)
	if err != nil {
		panic(err)
	}
	return withTenants(string(raw))
}

// TestTenantFaults is the table of tenants that must never take effect. It guards against CONFIG: an invalid
// configuration was acknowledged.
func TestTenantFaults(t *testing.T) {
	cases := []struct{ name, tenants, path string }{
		{"no object of tenants", `[]`, "tenants"},
		{"a tenant that is no object", `{"halls":[]}`, "tenants.halls"},
		{"a tenant without a name", `{"":{}}`, "tenants."},
		{"a name with a line break", `{"ha\r\nlls":{}}`, "tenants.ha\r\nlls"},
		{"a name that is not ASCII", `{"hällar":{}}`, "tenants.hällar"},
		{"a name with a space at its end", `{"halls ":{}}`, "tenants.halls "},
		{"a name that is too long", `{"` + strings.Repeat("n", MaxTenantNameBytes+1) + `":{}}`, "tenants." + strings.Repeat("n", MaxTenantNameBytes+1)},
		{"a tenant given twice", `{"halls":{},"halls":{}}`, "tenants.halls"},
		{"tenants that inherit", `{"halls":{"children":{"a":{}}}}`, "tenants.halls"},
		{"an unknown setting", `{"halls":{"api_keys":[]}}`, "tenants.halls.api_keys"},
		{"a negative rate", `{"halls":{"rate":-1,"burst":1}}`, "tenants.halls.rate"},
		{"a rate beyond reason", `{"halls":{"rate":1e12,"burst":1}}`, "tenants.halls.rate"},
		{"a rate beyond what a number can be", `{"halls":{"rate":1e999,"burst":1}}`, "tenants.halls.rate"},
		{"a rate that is a text", `{"halls":{"rate":"50","burst":1}}`, "tenants.halls.rate"},
		{"a negative burst", `{"halls":{"rate":1,"burst":-1}}`, "tenants.halls.burst"},
		{"a burst beyond reason", `{"halls":{"rate":1,"burst":1e12}}`, "tenants.halls.burst"},
		{"a rate without a burst", `{"halls":{"rate":1}}`, "tenants.halls.burst"},
		{"a burst too small for one message", `{"halls":{"rate":1,"burst":0.5}}`, "tenants.halls.burst"},
		{"keys that are no list", `{"halls":{"keys":"a"}}`, "tenants.halls.keys"},
		{"a key that is no text", `{"halls":{"keys":[7]}}`, "tenants.halls.keys"},
		{"a key itself instead of its hash", `{"halls":{"keys":["key-1"]}}`, "tenants.halls.keys"},
		{"half a hash", `{"halls":{"keys":["abcdef"]}}`, "tenants.halls.keys"},
	}
	Convey("A configuration is refused that has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(faultPaths(withTenants(c.tenants)), ShouldContain, c.path) })
		}
		Convey("two tenants with one key", func() {
			So(faultPaths(withTenants(`{"a":{"keys":`+keysOf("k-1", "k-2")+`},"b":{"keys":`+keysOf("k-2")+`}}`)), ShouldResemble, []string{"tenants.b.keys"})
		})
		Convey("two tenants with one key whose hash is written in large letters", func() {
			large := strings.ToUpper(keysOf("k-1"))
			So(faultPaths(withTenants(`{"a":{"keys":`+keysOf("k-1")+`},"b":{"keys":`+large+`}}`)), ShouldResemble, []string{"tenants.b.keys"})
		})
		Convey("a tenant with too many keys", func() {
			So(faultPaths(manyTenants(1, MaxKeysPerTenant+1)), ShouldContain, "tenants.tenant-0.keys")
		})
		Convey("too many tenants", func() { So(faultPaths(manyTenants(MaxTenants+1, 0)), ShouldContain, "tenants") })
	})
}

// faultPaths compiles a configuration that is refused, and gives the paths of its faults.
func faultPaths(doc []byte) []string {
	rules, faults := Compile(doc)
	So(rules, ShouldBeNil)
	paths := []string{}
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	return paths
}

// TestTenantOf: each key leads to its tenant, and nothing else to any.
func TestTenantOf(t *testing.T) {
	Convey("Given tenants with two keys, with one, and with none", t, func() {
		doc := withTenants(`{"a b":{"keys":` + keysOf("k-1", "k-2") + `,"rate":5.5,"burst":20},"b":{"keys":` + keysOf("k-3") + `},"c":{}}`)
		rules, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
		So(rules.HasTenants(), ShouldBeTrue)
		for _, c := range []struct {
			key, tenant string
		}{{"k-1", "a b"}, {"k-2", "a b"}, {"k-3", "b"}, {"", ""}, {"k-", ""}, {"k-11", ""}, {HashApiKey("k-1").String(), ""}, {"K-1", ""}} {
			Convey("the key "+c.key+" leads to the tenant "+c.tenant, func() {
				tenant, isHeld := rules.TenantOf(c.key)
				So(tenant.Name, ShouldEqual, c.tenant)
				So(isHeld, ShouldEqual, c.tenant != "")
			})
		}
		Convey("a tenant comes with its limit", func() {
			tenant, _ := rules.TenantOf("k-2")
			So(tenant, ShouldResemble, Tenant{Name: "a b", Rate: 5.5, Burst: 20})
		})
		Convey("compiled again, the same rules come of it", func() {
			again, _ := Compile(doc)
			So(again, ShouldResemble, rules)
		})
		Convey("no rule holds a key", func() { So(fmt.Sprintf("%+v", rules), ShouldNotContainSubstring, "k-1") })
	})
	Convey("Tenants may be none, which needs keys that nobody has, unlike none at all", t, func() {
		none, faults := Compile(withTenants(`{}`))
		So(faults, ShouldBeEmpty)
		So(none.HasTenants(), ShouldBeTrue)
		plain, _ := Compile([]byte(validDocument))
		So(plain.HasTenants(), ShouldBeFalse)
	})
	Convey("A key that one tenant gives to another is the other's", t, func() {
		before, _ := Compile(withTenants(`{"a":{"keys":` + keysOf("k-1") + `},"b":{}}`))
		after, _ := Compile(withTenants(`{"a":{},"b":{"keys":` + keysOf("k-1") + `}}`))
		first, _ := before.TenantOf("k-1")
		second, _ := after.TenantOf("k-1")
		So([]string{first.Name, second.Name}, ShouldResemble, []string{"a", "b"})
	})
}

// TestMostTenantsFit: as many tenants as are allowed, each with an old key and a new one, are a configuration.
func TestMostTenantsFit(t *testing.T) {
	Convey("As many tenants as are allowed", t, func() {
		doc := manyTenants(MaxTenants, 2)
		rules, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
		So(len(rules.Tenants), ShouldEqual, MaxTenants)
		So(len(rules.keys), ShouldEqual, 2*MaxTenants)
	})
}

// TestNamesAndKeys is the table of what can stand in a header field.
func TestNamesAndKeys(t *testing.T) {
	cases := []struct {
		text          string
		isName, isKey bool
	}{
		{"halls", true, true}, {"a b", true, false}, {"", false, false}, {" a", false, false}, {"a\tb", false, false}, {"a\x00", false, false},
		{"a\x7f", false, false}, {"ä", false, false}, {"~!", true, true}, {strings.Repeat("k", MaxTenantNameBytes), true, true},
		{strings.Repeat("k", MaxTenantNameBytes+1), false, false},
	}
	Convey("Of texts, some are names and some are keys", t, func() {
		for _, c := range cases {
			Convey(fmt.Sprintf("%q", c.text), func() {
				So(IsTenantName(c.text), ShouldEqual, c.isName)
				So(IsApiKey(c.text), ShouldEqual, c.isKey)
			})
		}
	})
}

// BenchmarkCompile measures what a change of the configuration costs each daemon, by tenants with two keys.
func BenchmarkCompile(b *testing.B) {
	for _, count := range []int{0, 83, 1000, MaxTenants} {
		doc := manyTenants(count, 2)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.SetBytes(int64(len(doc)))
			for b.Loop() {
				if _, faults := Compile(doc); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
		})
	}
}

// BenchmarkTenantOf measures what a request's key costs, by tenants.
func BenchmarkTenantOf(b *testing.B) {
	for _, count := range []int{83, MaxTenants} {
		rules, faults := Compile(manyTenants(count, 2))
		if len(faults) > 0 {
			b.Fatal(faults)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				rules.TenantOf("key-7-1")
			}
		})
	}
}
