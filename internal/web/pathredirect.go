package web

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// WithoutPathRedirects returns a handler for a mux whose "/" pattern serves any path unchanged. By itself
// http.ServeMux redirects callers whose path contains dots or double slashes.
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

// isCleanPath reports whether the mux serves a path without a redirect.
func isCleanPath(p string) bool {
	return strings.HasPrefix(p, "/") && (path.Clean(p) == p || path.Clean(p)+"/" == p)
}
