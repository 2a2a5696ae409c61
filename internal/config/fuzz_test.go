package config

import (
	"reflect"
	"testing"
)

// FuzzDocuments checks that configurations, patches and worker lists are either read as a whole or
// refused, and that reading an accepted one again gives the same result.
func FuzzDocuments(f *testing.F) {
	f.Add([]byte(validDocument), []byte(`{"note":"n"}`))
	f.Add([]byte(`{"lanes":{"a":{"children":{}}}}`), []byte(`{"lanes":null}`))
	f.Add([]byte(`{"lanes":{"a":{"patience":"9999999h"}}}`), []byte(`[[[[[[`))
	f.Add([]byte(`{"pools":{"p":{"rate":1e400}}}`), []byte(`{"":{"":{"":1}}}`))
	f.Add([]byte(`{"workers":[{"name":"w","address":"1.2.3.4:5"},{"name":"w"}]}`), []byte(`null`))
	f.Add([]byte(`{"tenants":{"a b":{"rate":1,"burst":1,"keys":["`+HashApiKey("k").String()+`"]},"c":{"keys":[]}}}`), []byte(`{"tenants":{"c":null}}`))
	f.Add([]byte(`{"tenants":{"":{"keys":7}},"lanes":{"l":{"public":true,"pools":["p"]}},"pools":{"p":{}}}`), []byte(`{"tenants":[]}`))
	f.Fuzz(func(t *testing.T, doc, patch []byte) {
		rules, faults := Compile(doc)
		if (rules == nil) != (len(faults) > 0) {
			t.Fatal("Compile returned neither rules nor faults, or both")
		}
		if again, _ := Compile(doc); !reflect.DeepEqual(again, rules) {
			t.Fatal("compiling the document again gives other rules")
		}
		if rules != nil {
			checkTenants(t, rules)
		}
		if list, faults := ReadWorkers(doc); len(faults) == 0 {
			if again, faults := ReadWorkers(list.Encode()); len(faults) > 0 || len(again.Workers) != len(list.Workers) {
				t.Fatal("an accepted list is refused or differs when it is read again")
			}
		}
		merged, err := Merge(doc, patch)
		if err != nil {
			return
		}
		if _, err := Diff(doc, merged); err != nil {
			t.Fatal(err)
		}
		again, err := Merge(merged, patch)
		if err != nil || string(again) != string(merged) {
			t.Fatalf("a patch applied twice gives %s and then %s, error %v", merged, again, err)
		}
	})
}

// checkTenants checks that every tenant's name is valid in a header field, and that every key belongs to an
// existing tenant.
func checkTenants(t *testing.T, rules *Rules) {
	for name, tenant := range rules.Tenants {
		if name != tenant.Name || !IsTenantName(name) || tenant.Rate < 0 || tenant.Rate > 0 && tenant.Burst < 1 {
			t.Fatalf("the tenant %q is invalid: %+v", name, tenant)
		}
	}
	for hash, held := range rules.keys {
		if _, isThere := rules.Tenants[held.tenant]; !isThere || held.hash != hash {
			t.Fatalf("a key belongs to the tenant %q, which does not exist, or is listed under another hash", held.tenant)
		}
	}
}
