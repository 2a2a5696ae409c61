package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// withTenants returns a configuration document with tenants.
func withTenants(tenants string) []byte {
	return []byte(`{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"host":"x.example","prefix":"/a/"}},"tenants":` + tenants + `}`)
}

// keysOf returns the hashes of keys as a JSON array.
func keysOf(keys ...string) string {
	hashes := []string{}
	for _, key := range keys {
		hashes = append(hashes, HashApiKey(key).String())
	}
	raw, err := json.Marshal(hashes)
	So(err, ShouldBeNil)
	return string(raw)
}

// manyTenants returns a configuration document of count tenants with the given number of keys each.
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

// TestTenantFaults checks that invalid tenants are refused, and at which path the fault is. It guards
// against CONFIG: an invalid configuration was acknowledged.
func TestTenantFaults(t *testing.T) {
	cases := []struct{ name, tenants, path string }{
		{"tenants that are not an object", `[]`, "tenants"},
		{"a tenant that is not an object", `{"halls":[]}`, "tenants.halls"},
		{"a tenant without a name", `{"":{}}`, "tenants."},
		{"a name with a line break", `{"ha\r\nlls":{}}`, "tenants.ha\r\nlls"},
		{"a name that is not ASCII", `{"hällar":{}}`, "tenants.hällar"},
		{"a name with a space at its end", `{"halls ":{}}`, "tenants.halls "},
		{"a name that is too long", `{"` + strings.Repeat("n", MaxTenantNameBytes+1) + `":{}}`, "tenants." + strings.Repeat("n", MaxTenantNameBytes+1)},
		{"a tenant given twice", `{"halls":{},"halls":{}}`, "tenants.halls"},
		{"a tenant with children", `{"halls":{"children":{"a":{}}}}`, "tenants.halls"},
		{"an unknown setting", `{"halls":{"api_keys":[]}}`, "tenants.halls.api_keys"},
		{"a negative rate", `{"halls":{"rate":-1,"burst":1}}`, "tenants.halls.rate"},
		{"a rate above the limit", `{"halls":{"rate":1e12,"burst":1}}`, "tenants.halls.rate"},
		{"a rate that overflows a number", `{"halls":{"rate":1e999,"burst":1}}`, "tenants.halls.rate"},
		{"a rate that is a string", `{"halls":{"rate":"50","burst":1}}`, "tenants.halls.rate"},
		{"a negative burst", `{"halls":{"rate":1,"burst":-1}}`, "tenants.halls.burst"},
		{"a burst above the limit", `{"halls":{"rate":1,"burst":1e12}}`, "tenants.halls.burst"},
		{"a rate without a burst", `{"halls":{"rate":1}}`, "tenants.halls.burst"},
		{"a burst too small for one message", `{"halls":{"rate":1,"burst":0.5}}`, "tenants.halls.burst"},
		{"keys that are not a list", `{"halls":{"keys":"a"}}`, "tenants.halls.keys"},
		{"a key that is not a string", `{"halls":{"keys":[7]}}`, "tenants.halls.keys"},
		{"a key instead of its hash", `{"halls":{"keys":["key-1"]}}`, "tenants.halls.keys"},
		{"half a hash", `{"halls":{"keys":["abcdef"]}}`, "tenants.halls.keys"},
	}
	Convey("A configuration is refused that has", t, func() {
		for _, c := range cases {
			Convey(c.name, func() { So(faultPaths(withTenants(c.tenants)), ShouldContain, c.path) })
		}
		Convey("two tenants with one key", func() {
			So(faultPaths(withTenants(`{"a":{"keys":`+keysOf("k-1", "k-2")+`},"b":{"keys":`+keysOf("k-2")+`}}`)), ShouldResemble, []string{"tenants.b.keys"})
		})
		Convey("two tenants with one key, whose hash is in upper case once", func() {
			large := strings.ToUpper(keysOf("k-1"))
			So(faultPaths(withTenants(`{"a":{"keys":`+keysOf("k-1")+`},"b":{"keys":`+large+`}}`)), ShouldResemble, []string{"tenants.b.keys"})
		})
		Convey("a tenant with too many keys", func() {
			So(faultPaths(manyTenants(1, MaxKeysPerTenant+1)), ShouldContain, "tenants.tenant-0.keys")
		})
		Convey("too many tenants", func() { So(faultPaths(manyTenants(MaxTenants+1, 0)), ShouldContain, "tenants") })
	})
}

// faultPaths compiles a document that must be refused, and returns the paths of its faults.
func faultPaths(doc []byte) []string {
	rules, faults := Compile(doc)
	So(rules, ShouldBeNil)
	paths := []string{}
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	return paths
}

// TestTenantOf checks that each key yields its tenant, and any other text none.
func TestTenantOf(t *testing.T) {
	Convey("Given tenants with two keys, with one, and with none", t, func() {
		doc := withTenants(`{"a b":{"keys":` + keysOf("k-1", "k-2") + `,"rate":5.5,"burst":20},"b":{"keys":` + keysOf("k-3") + `},"c":{}}`)
		rules, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
		So(rules.HasTenants(), ShouldBeTrue)
		for _, c := range []struct {
			key, tenant string
		}{{"k-1", "a b"}, {"k-2", "a b"}, {"k-3", "b"}, {"", ""}, {"k-", ""}, {"k-11", ""}, {HashApiKey("k-1").String(), ""}, {"K-1", ""}} {
			Convey("the key "+c.key+" yields the tenant "+c.tenant, func() {
				tenant, isHeld := rules.TenantOf(c.key)
				So(tenant.Name, ShouldEqual, c.tenant)
				So(isHeld, ShouldEqual, c.tenant != "")
			})
		}
		Convey("a tenant has its limit", func() {
			tenant, _ := rules.TenantOf("k-2")
			So(tenant, ShouldResemble, Tenant{Name: "a b", Rate: 5.5, Burst: 20})
		})
		Convey("compiling the document again gives equal rules", func() {
			again, _ := Compile(doc)
			So(again, ShouldResemble, rules)
		})
		Convey("the rules contain no key", func() { So(fmt.Sprintf("%+v", rules), ShouldNotContainSubstring, "k-1") })
	})
	Convey("An empty set of tenants requires keys, which then do not exist; without tenants none are required", t, func() {
		none, faults := Compile(withTenants(`{}`))
		So(faults, ShouldBeEmpty)
		So(none.HasTenants(), ShouldBeTrue)
		plain, _ := Compile([]byte(validDocument))
		So(plain.HasTenants(), ShouldBeFalse)
	})
	Convey("A key that is moved to another tenant belongs to that one", t, func() {
		before, _ := Compile(withTenants(`{"a":{"keys":` + keysOf("k-1") + `},"b":{}}`))
		after, _ := Compile(withTenants(`{"a":{},"b":{"keys":` + keysOf("k-1") + `}}`))
		first, _ := before.TenantOf("k-1")
		second, _ := after.TenantOf("k-1")
		So([]string{first.Name, second.Name}, ShouldResemble, []string{"a", "b"})
	})
}

// TestMostTenantsFit checks that the maximum number of tenants, each with an old and a new key, is valid.
func TestMostTenantsFit(t *testing.T) {
	Convey("The maximum number of tenants is valid", t, func() {
		doc := manyTenants(MaxTenants, 2)
		rules, faults := Compile(doc)
		So(faults, ShouldBeEmpty)
		So(len(rules.Tenants), ShouldEqual, MaxTenants)
		So(len(rules.keys), ShouldEqual, 2*MaxTenants)
	})
}

// TestNamesAndKeys checks which texts are valid as tenant names and API keys in a header field.
func TestNamesAndKeys(t *testing.T) {
	cases := []struct {
		text          string
		isName, isKey bool
	}{
		{"halls", true, true}, {"a b", true, false}, {"", false, false}, {" a", false, false}, {"a\tb", false, false}, {"a\x00", false, false},
		{"a\x7f", false, false}, {"ä", false, false}, {"~!", true, true}, {strings.Repeat("k", MaxTenantNameBytes), true, true},
		{strings.Repeat("k", MaxTenantNameBytes+1), false, false},
	}
	Convey("It is known whether a text is valid as a name and as a key:", t, func() {
		for _, c := range cases {
			Convey(fmt.Sprintf("%q", c.text), func() {
				So(IsTenantName(c.text), ShouldEqual, c.isName)
				So(IsApiKey(c.text), ShouldEqual, c.isKey)
			})
		}
	})
}

// BenchmarkCompile measures the cost of a configuration change for a daemon, by the number of tenants with
// two keys each.
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

// BenchmarkTenantOf measures the lookup of a request's key, by the number of tenants.
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
