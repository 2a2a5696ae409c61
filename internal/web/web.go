// Package web holds what the daemons' HTTP servers and clients have in common: JSON replies and typed
// errors, bounded request bodies, a client that sends a request at most once, and a server that stops
// without dropping a request that it has read. The packages of all daemons use it.
package web

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"caperwheel/internal/errs"
)

// Problem is the JSON body of every reply that is not a success.
type Problem struct {
	Error errs.Kind `json:"error"`
	Text  string    `json:"text"`
	Taken any       `json:"taken,omitempty"` // false or "undecided" for a message that was not accepted; nil otherwise
	Id    string    `json:"id,omitempty"`    // of the message
	More  any       `json:"more,omitempty"`  // details by kind of problem
}

// statusByKind maps error kinds to HTTP status codes; other kinds get 500.
var statusByKind = map[errs.Kind]int{
	errs.Full: 429, errs.Lost: 503, errs.DeadlineExceeded: 504, errs.NotOwner: 503, errs.Stale: 503, errs.Rejected: 409,
	errs.Unknown: 404, errs.Invalid: 400, errs.Conflict: 409, errs.Missing: 428, errs.TooLarge: 413,
	errs.DiskFull: 507, errs.Unauthorized: 401, errs.OverQuota: 429, errs.NotBootstrapped: 503, errs.Undecided: 504, errs.BadMethod: 405, errs.Disk: 503,
}

// StatusOf returns the HTTP status of an error kind.
func StatusOf(kind errs.Kind) int {
	if code := statusByKind[kind]; code != 0 {
		return code
	}
	return 500
}

// WriteJson writes body as JSON with a Content-Length.
func WriteJson(w http.ResponseWriter, code int, body any) {
	raw, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		code, raw = 500, []byte(`{"error":"internal"}`)
	}
	raw = append(raw, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(code)
	_, _ = w.Write(raw) // an error means that the client has gone
}

// AuthScheme is the scheme by which callers present their API keys; replies with status 401 must name it.
const AuthScheme = "Bearer"

// WriteProblem writes a problem with a status code. A retry above 0 is sent as Retry-After in seconds,
// rounded up.
func WriteProblem(w http.ResponseWriter, code int, p Problem, retry time.Duration) {
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", AuthScheme)
	}
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	WriteJson(w, code, p)
}

// WriteError writes the problem and status that belong to the kind of an error.
func WriteError(w http.ResponseWriter, err error) {
	kind, retry := errs.KindOf(err), time.Duration(0)
	if code := StatusOf(kind); code == 503 || code == 429 || code == 504 {
		retry = time.Second
	}
	WriteProblem(w, StatusOf(kind), Problem{Error: kind, Text: err.Error()}, retry)
}

// ReadBody reads a request body completely, and fails if it is longer than limit bytes.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errs.New(errs.TooLarge, "request body of %d bytes exceeds the limit of %d", r.ContentLength, limit)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "read request body")
	}
	if int64(len(raw)) > limit {
		return nil, errs.New(errs.TooLarge, "request body exceeds the limit of %d bytes", limit)
	}
	return raw, nil
}

// ByMethod returns a handler that dispatches by method; other methods get a typed 405.
func ByMethod(by map[string]http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if serve := by[r.Method]; serve != nil {
			serve(w, r)
			return
		}
		for method := range by {
			w.Header().Add("Allow", method)
		}
		WriteProblem(w, 405, Problem{Error: errs.BadMethod, Text: r.Method + " is not served here"}, 0)
	}
}

// NotFound answers a path that is not served with a typed 404.
func NotFound(w http.ResponseWriter, r *http.Request) {
	WriteProblem(w, 404, Problem{Error: errs.Unknown, Text: r.URL.Path + " is not served here"}, 0)
}
