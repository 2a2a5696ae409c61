package intake_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/intake"
	"caperwheel/internal/requesthead"
	"caperwheel/internal/wire"
	"caperwheel/platform"
)

// tenantConfig is a platform configuration with two tenants, a public route and an ordered one.
const tenantConfig = `{"version":3,"routes":[
 {"name":"r-1","hostname":"x.example","path_prefix":"/a/","timeout_ms":2000,"service":"s","max_attempts":3},
 {"name":"r-2","hostname":"x.example","path_prefix":"/o/","timeout_ms":2000,"service":"s","ordered":true,"public_access":false},
 {"name":"r-3","hostname":"x.example","path_prefix":"/p/","timeout_ms":2000,"service":"s","public_access":true}],
 "services":[{"name":"s"}],
 "tenants":[{"name":"halls","api_keys":["key-1","key-2"],"rate_per_s":50,"burst_size":50},{"name":"growers","api_keys":["key-3"]}]}`

// held is the answer of an owner that holds a message.
var held = &wire.Taken{State: "held", Id: "1-x"}

// newFronts returns the handlers of adapters with the platform's codec and the same configuration; takes returns the
// messages that each has sent to owners.
func newFronts(count int, doc string, taken *wire.Taken) (serve []http.HandlerFunc, takes []func() []*wire.Take) {
	rules, err := platform.TranslateConfig([]byte(doc), time.Minute)
	So(err, ShouldBeNil)
	for range count {
		in, took := intake.NewTestIntake(intake.TestSetup{Take: taken, MaxInFlight: 9, Rules: string(rules)})
		serve, takes = append(serve, in.PassthroughHandler(platform.IntakeCodec)), append(takes, took)
	}
	return serve, takes
}

// send sends a message to a handler.
func send(serve http.HandlerFunc, target string, fields map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest("POST", target, strings.NewReader("body"))
	r.Host = "x.example"
	for name, value := range fields {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	serve(w, r)
	return w
}

// TestMessagesWithoutAKeyAreRefused guards against rule ROUTE: a message ran although no configuration ever had its
// key.
func TestMessagesWithoutAKeyAreRefused(t *testing.T) {
	cases := []struct {
		name, target, authorization string
		code                        int
	}{
		{"a key that a tenant holds", "/a/b", "Bearer key-2", 202},
		{"no key", "/a/b", "", 401},
		{"an unknown key", "/a/b", "Bearer key-9", 401},
		{"a prefix of a key", "/a/b", "Bearer key-", 401},
		{"a key that is no bearer token", "/a/b", "Basic key-1", 401},
		{"no key, on a public route", "/p/b", "", 202},
		{"an unknown key, on a public route", "/p/b", "Bearer key-9", 202},
		{"no key, on an unknown route", "/x/b", "", 404},
	}
	Convey("A caller with", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				serve, takes := newFronts(1, tenantConfig, held)
				w := send(serve[0], c.target, map[string]string{"Authorization": c.authorization, "X-Attempt-Id": "m"})
				So(w.Code, ShouldEqual, c.code)
				So(len(takes[0]()), ShouldEqual, map[bool]int{true: 1}[c.code == 202])
			})
		}
	})
}

// TestWorkersAreToldTheTenant guards against rule UNASKED: a worker got no tenant, or could get one that the caller
// made up.
func TestWorkersAreToldTheTenant(t *testing.T) {
	Convey("The header fields that a worker gets with a message", t, func() {
		serve, takes := newFronts(1, tenantConfig, held)
		for _, c := range []struct{ target, key, tenant string }{{"/a/b", "key-2", "halls"}, {"/a/b", "key-3", "growers"}, {"/p/b", "", ""}} {
			w := send(serve[0], c.target, map[string]string{"Authorization": "Bearer " + c.key, "X-Tenant": "others", "X-Attempt-Id": "m"})
			So(w.Code, ShouldEqual, 202)
			all := takes[0]()
			kept, err := requesthead.Decode(all[len(all)-1].RequestHead)
			So(err, ShouldBeNil)
			So([]string{kept.Field("X-Tenant"), kept.Field("X-Attempt-Id"), kept.Field("Authorization")}, ShouldResemble, []string{c.tenant, "m", ""})
			So(strings.Contains(string(all[len(all)-1].RequestHead), "key-"), ShouldBeFalse)
		}
	})
}

// TestSendsWithOneOperationKeyAreOneMessage guards against rule TWICE: two sends with the same key ran separately.
func TestSendsWithOneOperationKeyAreOneMessage(t *testing.T) {
	sent := func(target, key, operation, order string) *wire.Take {
		serve, takes := newFronts(1, tenantConfig, held) // another adapter each time
		w := send(serve[0], target, map[string]string{"Authorization": "Bearer " + key, "X-Operation-Key": operation, "X-Order-Key": order})
		So(w.Code, ShouldEqual, 202)
		return takes[0]()[0]
	}
	Convey("Sends through any adapters", t, func() {
		for _, target := range []string{"/a/b", "/o/b"} {
			first := sent(target, "key-1", "k-5512", "vent 4")
			Convey("with the same operation key of a tenant, by any of its API keys, are one message: "+target, func() {
				again := sent(target, "key-2", "k-5512", "vent 4")
				So([]any{again.Id, again.Place, again.Key}, ShouldResemble, []any{first.Id, first.Place, first.Key})
			})
			Convey("with another operation key, or of another tenant, are another message: "+target, func() {
				So(sent(target, "key-1", "k-5513", "vent 4").Id, ShouldNotEqual, first.Id)
				So(sent(target, "key-3", "k-5512", "vent 4").Id, ShouldNotEqual, first.Id)
			})
			Convey("with another body are accepted all the same, under the first one's id: "+target, func() {
				serve, takes := newFronts(1, tenantConfig, &wire.Taken{Kind: "conflict", Id: first.Id})
				w := send(serve[0], target, map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": "k-5512", "X-Order-Key": "vent 4"})
				So(w.Code, ShouldEqual, 202)
				So(w.Header().Get("X-Message-Name"), ShouldEqual, first.Id)
				So(len(takes[0]()), ShouldEqual, 1)
			})
		}
		Convey("with the same ordering key go to one place, with an operation key or without", func() {
			So(sent("/o/b", "key-1", "k-1", "vent 4").Place, ShouldEqual, sent("/o/b", "key-1", "", "vent 4").Place)
		})
		Convey("of two tenants with the same ordering key are not ordered with each other", func() {
			So(sent("/o/b", "key-1", "k-1", "vent 4").Key, ShouldNotEqual, sent("/o/b", "key-3", "k-1", "vent 4").Key)
		})
	})
}

// TestTenantsWithOneKeyAreInvalid guards against rule CONFIG: an invalid configuration was accepted.
func TestTenantsWithOneKeyAreInvalid(t *testing.T) {
	cases := []struct{ name, from, to string }{
		{"two tenants share a key", `"key-3"`, `"key-1"`},
		{"a tenant has no name", `"name":"growers"`, `"name":""`},
		{"two tenants have one name", `"name":"growers"`, `"name":"halls"`},
		{"a name contains characters that a header field cannot", `"name":"growers"`, `"name":"gro\r\nwers"`},
		{"a key is empty", `"key-3"`, `""`},
		{"a key contains characters that a header field cannot", `"key-3"`, `"key\n3"`},
		{"keys are not a list", `["key-3"]`, `"key-3"`},
		{"a key is not a string", `["key-3"]`, `[3]`},
		{"a rate is negative", `"rate_per_s":50`, `"rate_per_s":-1`},
		{"a rate is not a number", `"rate_per_s":50`, `"rate_per_s":"50"`},
		{"a rate is too large", `"rate_per_s":50`, `"rate_per_s":1e12`},
		{"tenants are not a list", `"tenants":[`, `"tenants":7,"more":[`},
	}
	Convey("A configuration is refused in which", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(strings.Contains(tenantConfig, c.from), ShouldBeTrue)
				doc := strings.Replace(tenantConfig, c.from, c.to, 1)
				raw, err := platform.TranslateConfig([]byte(doc), time.Minute)
				if err == nil {
					err = intake.Refused(raw)
				}
				So(err, ShouldNotBeNil)
			})
		}
	})
}
