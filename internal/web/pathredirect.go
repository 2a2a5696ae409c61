package web

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// WithoutPathRedirects returns a handler for a mux whose "/" takes requests as they came. The library's mux
// by itself sends a caller elsewhere whose path has dots or double slashes.
func WithoutPathRedirects(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isCleanPath(r.URL.Path) {
			mux.ServeHTTP(w, r)
			return
		}
		all, _ := mux.Handler(&http.Request{Method: http.MethodPost, Host: r.Host, URL: &url.URL{Path: "/"}})
		all.ServeHTTP(w, r)
	})
}

func isCleanPath(p string) bool {
	return strings.HasPrefix(p, "/") && (path.Clean(p) == p || path.Clean(p)+"/" == p)
}
