package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/manager"
)

// Api is a client of the managers' HTTP API, as an operator would use it.
type Api struct{ f *Fleet }

// Api returns the client of this fleet's managers.
func (f *Fleet) Api() *Api { return f.api }

// apiClient is the HTTP client of all requests to daemons.
var apiClient = &http.Client{Timeout: 15 * time.Second}

// SendRequest sends one HTTP request to one daemon and returns the status code, header and body of the answer. An empty
// ifMatch sends no If-Match header.
func SendRequest(ctx context.Context, method, url, ifMatch string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, errs.Wrap(err, errs.Internal, "create HTTP request")
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := apiClient.Do(req)
	if err != nil {
		return 0, nil, nil, errs.Wrap(err, errs.Lost, "%s %s", method, url)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, raw, errs.Wrap(err, errs.Truncated, "%s %s", method, url)
}

// retryManagers repeats an attempt, at one manager after another, until it succeeds or ctx ends. It returns the last
// error.
func (a *Api) retryManagers(ctx context.Context, attempt func(manager string) error) error {
	var last error
	for turn := 0; ctx.Err() == nil; turn++ {
		if last = attempt("http://" + a.f.Managers[turn%len(a.f.Managers)].Http); last == nil {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return last
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// putDocument replaces a document, with its current ETag as If-Match. It retries until the manager accepts it.
func (a *Api) putDocument(ctx context.Context, path string, body []byte) error {
	return a.retryManagers(ctx, func(manager string) error {
		code, head, _, err := SendRequest(ctx, "GET", manager+path, "", nil)
		if err != nil {
			return err
		}
		if code != 200 {
			return errs.New(errs.Unhealthy, "GET %s: status %d", path, code)
		}
		code, _, raw, err := SendRequest(ctx, "PUT", manager+path, head.Get("ETag"), body)
		if err == nil && code != 200 {
			err = errs.New(errs.Unhealthy, "PUT %s: status %d: %s", path, code, raw)
		}
		return err
	})
}

// PutConfig replaces the configuration of a new fleet and records it as revision 1.
func (a *Api) PutConfig(ctx context.Context, doc []byte) error {
	edit := newConfigEdit(doc, a.f.Now())
	err := a.putDocument(ctx, "/v1/charter", doc)
	if err == nil {
		edit.AcknowledgedAt, edit.Revision = a.f.Now(), 1
		a.f.History.AddEdit(edit)
	}
	return err
}

// PutWorkers replaces the worker list of a pool.
func (a *Api) PutWorkers(ctx context.Context, pool string, workers []config.Worker) error {
	return a.putDocument(ctx, "/v1/pools/"+pool+"/workers", config.Workers{Workers: workers}.Encode())
}

// Post sends a POST request without a body to one manager after another, until one accepts it or ctx ends.
func (a *Api) Post(ctx context.Context, path string) error {
	return a.retryManagers(ctx, func(manager string) error {
		code, _, raw, err := SendRequest(ctx, "POST", manager+path, "", nil)
		if err == nil && code != 200 {
			err = errs.New(errs.Unhealthy, "POST %s: status %d: %s", path, code, raw)
		}
		return err
	})
}

// Status reads the status of the fleet from one manager, selected by turn.
func (a *Api) Status(ctx context.Context, turn int) (manager.Status, error) {
	var out manager.Status
	m := a.f.Managers[turn%len(a.f.Managers)]
	code, _, raw, err := SendRequest(ctx, "GET", "http://"+m.Http+"/v1/status", "", nil)
	if err != nil || code != 200 {
		return out, errs.New(errs.Unhealthy, "read status from %s: status code %d", m.Name, code)
	}
	return out, errs.Wrap(json.Unmarshal(raw, &out), errs.Corrupt, "decode manager status")
}

// WaitReady waits until all adapters are ready, every worker has a holder and every place has an owner.
func (a *Api) WaitReady(ctx context.Context) error {
	reason := ""
	for turn := 0; ctx.Err() == nil; turn++ {
		if reason = a.notReadyReason(ctx, turn); reason == "" {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return errs.New(errs.DeadlineExceeded, "wait for the fleet to be ready: %s", reason)
}

// notReadyReason returns why the fleet is not ready yet, or an empty string if it is.
func (a *Api) notReadyReason(ctx context.Context, turn int) string {
	for _, p := range a.f.Adapters {
		if code, _, raw, err := SendRequest(ctx, "GET", "http://"+p.Http+"/readyz", "", nil); err != nil || code != 200 {
			return fmt.Sprintf("readiness of %s: status %d, body %s, error %v", p.Name, code, raw, err)
		}
	}
	status, err := a.Status(ctx, turn)
	if err != nil {
		return err.Error()
	}
	for _, pool := range status.Pools {
		if len(pool.Duties) < pool.Workers {
			return fmt.Sprintf("pool %s: %d of %d workers have a holder", pool.Name, len(pool.Duties), pool.Workers)
		}
	}
	for _, place := range status.Places {
		if place.Owner == "" {
			return fmt.Sprintf("place %d has no owner", place.Number)
		}
	}
	return ""
}
