package manager

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/config"
)

// serveRequest returns a handler's response to a request for the configuration.
func serveRequest(serve http.HandlerFunc, method, base, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/v1/charter", strings.NewReader(body))
	if base != "" {
		r.Header.Set("If-Match", base)
	}
	w := httptest.NewRecorder()
	serve(w, r)
	return w
}

// TestTenantsThatAreRefused guards against CONFIG: an invalid configuration was confirmed. Each of these
// must be refused and change nothing.
func TestTenantsThatAreRefused(t *testing.T) {
	first, second := config.HashApiKey("key-1").String(), config.HashApiKey("key-2").String()
	cases := []struct{ name, patch, path string }{
		{"a key that belongs to another tenant", `{"tenants":{"b":{"keys":["` + first + `"]}}}`, "tenants.b.keys"},
		{"a key instead of its hash", `{"tenants":{"b":{"keys":["key-2"]}}}`, "tenants.b.keys"},
		{"a negative rate", `{"tenants":{"a":{"rate":-1}}}`, "tenants.a.rate"},
		{"a name that is not valid in a header field", `{"tenants":{"a\nb":{}}}`, `tenants.a\nb`},
	}
	Convey("Given tenants with keys", t, func() {
		m, _ := newFakeManager()
		doc := fmt.Sprintf(`{"tenants":{"a":{"keys":[%q]},"b":{"keys":[%q]}}}`, first, second)
		So(serveRequest(m.putConfig, "PUT", `"0"`, doc).Code, ShouldEqual, 200)
		before := serveRequest(m.getConfig, "GET", "", "").Body.String()
		for _, c := range cases {
			Convey(c.name+" is refused, and nothing changes", func() {
				w := serveRequest(m.patchConfig, "PATCH", `"1"`, c.patch)
				So(w.Code, ShouldEqual, 422)
				So(w.Body.String(), ShouldContainSubstring, `"path": "`+c.path+`"`)
				after := serveRequest(m.getConfig, "GET", "", "")
				So(after.Header().Get("ETag"), ShouldEqual, `"1"`)
				So(after.Body.String(), ShouldEqual, before)
			})
		}
	})
}

// TestOriginIsGivenWholeAndNotShown checks that the origin of a configuration, which may hold keys, is
// returned by a read and appears in no other answer.
func TestOriginIsGivenWholeAndNotShown(t *testing.T) {
	Convey("Given a configuration with its origin", t, func() {
		m, _ := newFakeManager()
		first := serveRequest(m.putConfig, "PUT", `"0"`, `{"origin":{"api_keys":["secret-1"]}}`)
		So(first.Code, ShouldEqual, 200)
		second := serveRequest(m.patchConfig, "PATCH", `"1"`, `{"origin":{"api_keys":["secret-2"]},"note":"n"}`)
		So(second.Code, ShouldEqual, 200)
		Convey("the differences do not show it", func() {
			So(first.Body.String()+second.Body.String(), ShouldNotContainSubstring, "secret")
			So(second.Body.String(), ShouldContainSubstring, `"path": "origin"`)
			So(second.Body.String(), ShouldContainSubstring, `"path": "note"`)
		})
		Convey("neither does the history", func() {
			So(serveRequest(m.getHistory, "GET", "", "").Body.String(), ShouldNotContainSubstring, "secret")
		})
		Convey("a read of the configuration returns it in full", func() {
			So(serveRequest(m.getConfig, "GET", "", "").Body.String(), ShouldContainSubstring, "secret-2")
		})
	})
}
