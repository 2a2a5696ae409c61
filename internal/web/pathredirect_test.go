package web

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAsCame guards against redirecting callers whose paths are not clean, whose messages were then never
// accepted.
func TestAsCame(t *testing.T) {
	cases := []struct {
		target, body string
	}{
		{"/", "taken"}, {"/a", "taken"}, {"/a/", "taken"}, {"/a//b", "taken"}, {"//a", "taken"}, {"/a/../b", "taken"},
		{"/a/./b?c=//", "taken"}, {"/a%2F%2Fb", "taken"}, {"/state/x", "state"}, {"/state//x", "taken"},
	}
	Convey("A request to", t, func() {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /state/{id}", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("state")) })
		mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("taken")) })
		for _, c := range cases {
			Convey(c.target+" is served with its path unchanged", func() {
				w, r := httptest.NewRecorder(), httptest.NewRequest("GET", "http://x.example"+c.target, nil)
				r.RequestURI = c.target
				WithoutPathRedirects(mux).ServeHTTP(w, r)
				So(w.Code, ShouldEqual, 200)
				So(w.Body.String(), ShouldEqual, c.body)
			})
		}
	})
}
