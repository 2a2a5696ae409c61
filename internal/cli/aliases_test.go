package cli

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWords checks that the command line accepts the former names of commands and flags, for one more release, and
// makes the same calls for them.
func TestWords(t *testing.T) {
	file := filepath.Join(t.TempDir(), "document.json")
	if err := os.WriteFile(file, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		now, before string
		call        string
	}{
		{"config get", "charter get", "GET /v1/charter"},
		{"config history", "charter history", "GET /v1/charter/history"},
		{"config patch FILE --revision 7", "charter patch FILE --stamp 7", `PATCH /v1/charter "7"`},
		{"config set FILE --revision 7", "charter set FILE --stamp 7", `PUT /v1/charter "7"`},
		{"workers set p FILE --revision 7", "workers set p FILE --stamp 7", `PUT /v1/pools/p/workers "7"`},
		{"zone empty b", "cell empty b", "POST /v1/cells/b/empty"},
		{"zone restore b", "cell restore b", "POST /v1/cells/b/restore"},
	}
	Convey("Given a manager that records calls", t, func() {
		calls := []string{}
		manager := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls = append(calls, strings.TrimSpace(r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")))
			w.Header().Set("ETag", `"7"`)
			_, _ = io.WriteString(w, `{}`)
		}))
		Reset(manager.Close)
		run := func(line string) int {
			args := append([]string{"--manager", strings.TrimPrefix(manager.URL, "http://")}, strings.Fields(strings.ReplaceAll(line, "FILE", file))...)
			return Main(args, &bytes.Buffer{}, &bytes.Buffer{})
		}
		for _, c := range cases {
			Convey(c.now+" is "+c.call, func() {
				So(run(c.now), ShouldEqual, ExitOk)
				So(calls, ShouldResemble, []string{c.call})
			})
			Convey(c.before+" is "+c.call, func() {
				So(run(c.before), ShouldEqual, ExitOk)
				So(calls, ShouldResemble, []string{c.call})
			})
		}
		Convey("two revisions in one command are refused", func() {
			So(run("config patch FILE --revision 7 --stamp 6"), ShouldEqual, ExitUsage)
			So(calls, ShouldBeEmpty)
		})
	})
}
