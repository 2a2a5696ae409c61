// Package requesthead encodes the parts of a passthrough request that must reach the worker unchanged: its method,
// target, host and selected header fields. Packages intake and platform encode heads, stores keep the bytes, and
// package deliver rebuilds the request from them.
package requesthead

import (
	"net/http"
	"net/url"
	"strings"

	"caperwheel/internal/errs"
)

// Head is the part of a request before its body. Fields are in the order in which they are sent.
//
// Invariant: no part contains a line break, so a value cannot inject another field.
type Head struct {
	Method, Target, Host string
	Fields               [][2]string
}

// FromRequest returns the head of a received request, with the named header fields.
func FromRequest(r *http.Request, names ...string) Head {
	out := Head{Method: r.Method, Target: r.RequestURI, Host: r.Host}
	for _, name := range names {
		if value := r.Header.Get(name); value != "" {
			out.Fields = append(out.Fields, [2]string{name, value})
		}
	}
	return out
}

// Path returns the path of the target, undecoded.
func (h Head) Path() string {
	path, _, _ := strings.Cut(h.Target, "?")
	return path
}

// Field returns the value of a header field, or an empty string if it is absent.
func (h Head) Field(name string) string {
	for _, f := range h.Fields {
		if f[0] == name {
			return f[1]
		}
	}
	return ""
}

// Encode returns the head as text, one line per part.
func (h Head) Encode() []byte {
	var out strings.Builder
	out.WriteString(h.Method + " " + h.Target + "\n" + h.Host + "\n")
	for _, f := range h.Fields {
		out.WriteString(f[0] + ":" + f[1] + "\n")
	}
	return []byte(out.String())
}

// Decode parses the result of Encode.
func Decode(raw []byte) (Head, error) {
	lines := strings.Split(strings.TrimSuffix(string(raw), "\n"), "\n")
	method, target, isLine := strings.Cut(lines[0], " ")
	if !isLine || len(lines) < 2 {
		return Head{}, errs.New(errs.Corrupt, "decode request head of %d bytes: no request line and host", len(raw))
	}
	out := Head{Method: method, Target: target, Host: lines[1]}
	for _, line := range lines[2:] {
		name, value, isField := strings.Cut(line, ":")
		if !isField {
			return Head{}, errs.New(errs.Corrupt, "decode request head: a header field has no colon")
		}
		out.Fields = append(out.Fields, [2]string{name, value})
	}
	return out, nil
}

// NewRequest returns the request with a body, to be sent to address with its target unchanged.
func (h Head) NewRequest(address string, body []byte) *http.Request {
	r := &http.Request{Method: h.Method, Host: h.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL:    urlOf(address, h.Target),
		Header: http.Header{"User-Agent": {""}}} // suppresses the library's own field
	for _, f := range h.Fields {
		r.Header[f[0]] = []string{f[1]}
	}
	r.ContentLength = int64(len(body))
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = bodyReader(body)
	}
	return r
}

// urlOf returns a URL that net/http sends with exactly the given target. The library puts a scheme before an opaque
// target that begins with two slashes, so those are set as a path.
func urlOf(address, target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		raw, query, isQuery := strings.Cut(target, "?")
		if path, err := url.PathUnescape(raw); err == nil {
			out := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: isQuery && query == ""}
			if out.RequestURI() == target {
				return out
			}
		}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: target}
}
