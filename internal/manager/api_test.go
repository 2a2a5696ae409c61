package manager

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestConfigSentAgain is the table of what callers of our own interface are told, one
// call after another. A change that was sent again after a lost answer was refused.
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
		{"the first one, again", []call{first, first}},
		{"a later one, again", []call{first, second, second}},
		{"one on which another was built meanwhile, again", []call{first, second, first, {"PUT", `"2"`, `{}`, "", 200, `"3"`}, second}},
		{"another one on the same base", []call{first, second, {"PATCH", `"1"`, `{"note":"c"}`, "", 412, ""}}},
		{"the same words as another kind of change", []call{first, second, {"PUT", `"1"`, `{"note":"b"}`, "", 412, ""}}},
		{"one that was only checked", []call{first, {"PATCH", `"1"`, `{"note":"b"}`, "?check=true", 200, ""}, second}},
		{"a check on a base that has passed", []call{first, second, {"PATCH", `"1"`, `{"note":"b"}`, "?check=true", 412, ""}}},
	}
	Convey("A configuration is confirmed once, and refused only where another came first:", t, func() {
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
