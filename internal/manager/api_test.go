package manager

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestConfigSentAgain checks the answers to a sequence of configuration calls. It guards against
// refusing a change that the caller retries after a lost answer.
func TestConfigSentAgain(t *testing.T) {
	type call struct {
		method, base, body, query string
		status                    int
		etag                      string
	}
	first := call{"PUT", "", `{"note":"a"}`, "", 200, `"1"`}
	second := call{"PATCH", `"1"`, `{"note":"b"}`, "", 200, `"2"`}
	cases := []struct {
		name  string
		calls []call
	}{
		{"a retry of the first change", []call{first, first}},
		{"a retry of a later change", []call{first, second, second}},
		{"a retry of a change on which another is based", []call{first, second, first, {"PUT", `"2"`, `{}`, "", 200, `"3"`}, second}},
		{"another change on the same base", []call{first, second, {"PATCH", `"1"`, `{"note":"c"}`, "", 412, ""}}},
		{"the same body with another method", []call{first, second, {"PUT", `"1"`, `{"note":"b"}`, "", 412, ""}}},
		{"a change after a check of it", []call{first, {"PATCH", `"1"`, `{"note":"b"}`, "?check=true", 200, ""}, second}},
		{"a check on an outdated base", []call{first, second, {"PATCH", `"1"`, `{"note":"b"}`, "?check=true", 412, ""}}},
	}
	Convey("A change is applied once, and refused only if another one came first:", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				m, _ := newFakeManager()
				for _, call := range c.calls {
					r := httptest.NewRequest(call.method, "/v1/charter"+call.query, strings.NewReader(call.body))
					if call.base == "" {
						r.Header.Set("If-None-Match", "*")
					} else {
						r.Header.Set("If-Match", call.base)
					}
					w := httptest.NewRecorder()
					map[string]http.HandlerFunc{"PUT": m.putConfig, "PATCH": m.patchConfig}[call.method](w, r)
					So(w.Code, ShouldEqual, call.status)
					So(w.Header().Get("ETag"), ShouldEqual, call.etag)
				}
			})
		}
	})
}
