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

// tenantConfig is a configuration of the platform with two tenants, an open route and an ordered one.
const tenantConfig = `{"version":3,"routes":[
 {"name":"r-1","hostname":"x.example","path_prefix":"/a/","timeout_ms":2000,"service":"s","max_attempts":3},
 {"name":"r-2","hostname":"x.example","path_prefix":"/o/","timeout_ms":2000,"service":"s","ordered":true,"public_access":false},
 {"name":"r-3","hostname":"x.example","path_prefix":"/p/","timeout_ms":2000,"service":"s","public_access":true}],
 "services":[{"name":"s"}],
 "tenants":[{"name":"halls","api_keys":["key-1","key-2"],"rate_per_s":50,"burst_size":50},{"name":"growers","api_keys":["key-3"]}]}`

// openWaits is what an owner answers of a message that it holds.
var held = &wire.Taken{State: "held", Id: "1-x"}

// newFronts builds fronts of the platform that all know a configuration; takes gives what a front's
// messages were put to owners as.
func newFronts(count int, doc string, taken *wire.Taken) (serve []http.HandlerFunc, takes []func() []*wire.Take) {
	rules, err := platform.ConfigOf([]byte(doc), time.Minute)
	So(err, ShouldBeNil)
	for range count {
		in, took := intake.NewTestIntake(intake.TestSetup{Take: taken, Most: 9, Rules: string(rules)})
		serve, takes = append(serve, in.PassthroughHandler(platform.Callers)), append(takes, took)
	}
	return serve, takes
}

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

// TestMessagesWithoutAKeyAreRefused guards against ROUTE: a message ran though no configuration ever held its key.
func TestMessagesWithoutAKeyAreRefused(t *testing.T) {
	cases := []struct {
		name, target, authorization string
		code                        int
	}{
		{"a key that a tenant holds", "/a/b", "Bearer key-2", 202},
		{"no key", "/a/b", "", 401},
		{"a key that nobody holds", "/a/b", "Bearer key-9", 401},
		{"a part of a key", "/a/b", "Bearer key-", 401},
		{"a key that is no bearer's", "/a/b", "Basic key-1", 401},
		{"no key, on an open route", "/p/b", "", 202},
		{"a key that nobody holds, on an open route", "/p/b", "Bearer key-9", 202},
		{"no key, on no route", "/x/b", "", 404},
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

// TestWorkersAreToldTheTenant guards against UNASKED: a worker was told no tenant, or might be told a caller's word for one.
func TestWorkersAreToldTheTenant(t *testing.T) {
	Convey("What a worker gets of a message", t, func() {
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

// TestSendsWithOneOperationKeyAreOneMessage guards against TWICE: two sends with one key ran, each by itself.
func TestSendsWithOneOperationKeyAreOneMessage(t *testing.T) {
	sent := func(target, key, operation, order string) *wire.Take {
		serve, takes := newFronts(1, tenantConfig, held) // a front of its own each time
		w := send(serve[0], target, map[string]string{"Authorization": "Bearer " + key, "X-Operation-Key": operation, "X-Order-Key": order})
		So(w.Code, ShouldEqual, 202)
		return takes[0]()[0]
	}
	Convey("Sends through any fronts", t, func() {
		for _, target := range []string{"/a/b", "/o/b"} {
			first := sent(target, "key-1", "k-5512", "vent 4")
			Convey("with one operation key of a tenant's, by any of its keys, are one message: "+target, func() {
				again := sent(target, "key-2", "k-5512", "vent 4")
				So([]any{again.Id, again.Place, again.Key}, ShouldResemble, []any{first.Id, first.Place, first.Key})
			})
			Convey("with another operation key, or of another tenant, are another: "+target, func() {
				So(sent(target, "key-1", "k-5513", "vent 4").Id, ShouldNotEqual, first.Id)
				So(sent(target, "key-3", "k-5512", "vent 4").Id, ShouldNotEqual, first.Id)
			})
			Convey("that are told of other bytes are held all the same, under the first one's name: "+target, func() {
				serve, takes := newFronts(1, tenantConfig, &wire.Taken{Kind: "conflict", Id: first.Id})
				w := send(serve[0], target, map[string]string{"Authorization": "Bearer key-1", "X-Operation-Key": "k-5512", "X-Order-Key": "vent 4"})
				So(w.Code, ShouldEqual, 202)
				So(w.Header().Get("X-Message-Name"), ShouldEqual, first.Id)
				So(len(takes[0]()), ShouldEqual, 1)
			})
		}
		Convey("with one order key go to one place, with an operation key or without", func() {
			So(sent("/o/b", "key-1", "k-1", "vent 4").Place, ShouldEqual, sent("/o/b", "key-1", "", "vent 4").Place)
		})
		Convey("of two tenants with one order key are about two things", func() {
			So(sent("/o/b", "key-1", "k-1", "vent 4").Key, ShouldNotEqual, sent("/o/b", "key-3", "k-1", "vent 4").Key)
		})
	})
}

// TestTenantsWithOneKeyAreInvalid guards against CONFIG: an invalid configuration was acknowledged.
func TestTenantsWithOneKeyAreInvalid(t *testing.T) {
	cases := []struct{ name, from, to string }{
		{"two tenants share a key", `"key-3"`, `"key-1"`},
		{"a tenant has no name", `"name":"growers"`, `"name":""`},
		{"two tenants have one name", `"name":"growers"`, `"name":"halls"`},
		{"a name holds what no header field can", `"name":"growers"`, `"name":"gro\r\nwers"`},
		{"a key is empty", `"key-3"`, `""`},
		{"a key holds what no header field can", `"key-3"`, `"key\n3"`},
		{"keys are no list", `["key-3"]`, `"key-3"`},
		{"a key is no text", `["key-3"]`, `[3]`},
		{"a rate is negative", `"rate_per_s":50`, `"rate_per_s":-1`},
		{"a rate is no number", `"rate_per_s":50`, `"rate_per_s":"50"`},
		{"a rate is beyond reason", `"rate_per_s":50`, `"rate_per_s":1e12`},
		{"tenants are no list", `"tenants":[`, `"tenants":7,"more":[`},
	}
	Convey("A configuration is refused in which", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(strings.Contains(tenantConfig, c.from), ShouldBeTrue)
				doc := strings.Replace(tenantConfig, c.from, c.to, 1)
				raw, err := platform.ConfigOf([]byte(doc), time.Minute)
				if err == nil {
					err = intake.Refused(raw)
				}
				So(err, ShouldNotBeNil)
			})
		}
	})
}
