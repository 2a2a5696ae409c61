// Package web holds what all HTTP answers have in common: JSON, typed errors,
// Retry-After, whole bodies.
package web

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"caperwheel/internal/mishap"
)

// Problem is the body of every answer that is not a success.
type Problem struct {
	Error mishap.Kind `json:"error"`
	Text  string      `json:"text"`
	Taken any         `json:"taken,omitempty"` // false or "undecided", for messages
	Id    string      `json:"id,omitempty"`
	More  any         `json:"more,omitempty"`
}

var codes = map[mishap.Kind]int{
	mishap.Full: 429, mishap.Lost: 503, mishap.Late: 504, mishap.NotOwner: 503, mishap.Stale: 503, mishap.Rejected: 409,
	mishap.Unknown: 404, mishap.Invalid: 400, mishap.Conflict: 409, mishap.Missing: 428, mishap.TooLarge: 413,
	mishap.DiskFull: 507, mishap.Unfounded: 503, mishap.Undecided: 504, mishap.BadMethod: 405, mishap.Disk: 503,
}

// CodeOf gives the HTTP status of a kind of mishap.
func CodeOf(kind mishap.Kind) int {
	if code := codes[kind]; code != 0 {
		return code
	}
	return 500
}

// Answer writes body as JSON with a Content-Length.
func Answer(w http.ResponseWriter, code int, body any) {
	raw, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		code, raw = 500, []byte(`{"error":"internal"}`)
	}
	raw = append(raw, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	_, _ = w.Write(raw) // the client has gone, if this fails
}

// Reject writes a problem. A retry above 0 is sent as Retry-After, in whole
// seconds.
func Reject(w http.ResponseWriter, code int, p Problem, retry time.Duration) {
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	Answer(w, code, p)
}

// Fail writes the problem and status that belong to an error's kind.
func Fail(w http.ResponseWriter, err error) {
	kind, retry := mishap.KindOf(err), time.Duration(0)
	if code := CodeOf(kind); code == 503 || code == 429 || code == 504 {
		retry = time.Second
	}
	Reject(w, CodeOf(kind), Problem{Error: kind, Text: err.Error()}, retry)
}

// Body reads a request body whole, and fails if it is longer than limit.
func Body(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, mishap.New(mishap.TooLarge, "body of %d bytes, limit %d", r.ContentLength, limit)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, mishap.Wrap(err, mishap.Invalid, "read body")
	}
	if int64(len(raw)) > limit {
		return nil, mishap.New(mishap.TooLarge, "body over %d bytes", limit)
	}
	return raw, nil
}

// Methods returns a handler that chooses by method; others get a typed 405.
func Methods(by map[string]http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if serve := by[r.Method]; serve != nil {
			serve(w, r)
			return
		}
		for method := range by {
			w.Header().Add("Allow", method)
		}
		Reject(w, 405, Problem{Error: mishap.BadMethod, Text: r.Method + " is not served here"}, 0)
	}
}

// NotFound answers paths that are not served with a typed 404.
func NotFound(w http.ResponseWriter, r *http.Request) {
	Reject(w, 404, Problem{Error: mishap.Unknown, Text: r.URL.Path + " is not served here"}, 0)
}
