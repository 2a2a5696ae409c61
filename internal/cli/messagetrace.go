package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-resty/resty/v2"
	"github.com/tidwall/gjson"

	"caperwheel/internal/errs"
)

// traceTimeout limits the request to each daemon, and concurrentTraceLimit how many daemons are queried at once.
const (
	traceTimeout         = 3 * time.Second
	concurrentTraceLimit = 32
)

// daemonTrace is one daemon's report on a message, or the error of the request for it.
type daemonTrace struct {
	Daemon string          `json:"daemon"`
	Error  string          `json:"error,omitempty"`
	Report json.RawMessage `json:"told,omitempty"`
}

// printTrace queries every store and adapter for its report on a message, and prints those that have one.
func (t *runner) printTrace(c *messageCommand) error {
	status, err := t.readStatus()
	if err != nil {
		return err
	}
	pool, client, results := pond.NewPool(concurrentTraceLimit), resty.New().SetTimeout(traceTimeout), make([]*daemonTrace, len(status.Members))
	group := pool.NewGroup()
	for i, m := range status.Members {
		if m.Kind == "store" || m.Kind == "adapter" {
			key := map[bool]string{true: c.ApiKey}[m.Kind == "adapter"] // stores require none
			group.Submit(func() { results[i] = fetchTrace(withApiKey(client.R(), key), m.Name, m.Http, c.Id) })
		}
	}
	_ = group.Wait()
	traces := []*daemonTrace{}
	for _, trace := range results {
		if trace != nil {
			traces = append(traces, trace)
		}
	}
	if t.args.Json {
		raw, err := json.MarshalIndent(traces, "", "  ")
		fmt.Fprintf(t.out, "%s\n", raw)
		return errs.Wrap(err, errs.Internal, "encode the trace")
	}
	if len(traces) == 0 {
		return errs.New(errs.Unknown, "no daemon has a record of message %s: it ended longer ago than results are kept, or its place has no owner", c.Id)
	}
	for _, trace := range traces {
		fmt.Fprintln(t.out, trace.text())
	}
	return nil
}

// fetchTrace queries one daemon. It returns nil if the daemon has no record of the message.
func fetchTrace(request *resty.Request, name, address, id string) *daemonTrace {
	reply, err := request.Get("http://" + address + "/v1/messages/" + id + "/story")
	switch {
	case err != nil:
		return &daemonTrace{Daemon: name, Error: err.Error()}
	case reply.StatusCode() == http.StatusNotFound:
		return nil
	case reply.IsError():
		return &daemonTrace{Daemon: name, Error: responseError(reply).Error()}
	}
	return &daemonTrace{Daemon: name, Report: json.RawMessage(reply.Body())}
}

// text formats a report as one line.
func (d *daemonTrace) text() string {
	if d.Error != "" {
		return fmt.Sprintf("%s: query failed: %s", d.Daemon, d.Error)
	}
	report := gjson.ParseBytes(d.Report)
	if runs := report.Get("runs"); runs.Exists() {
		out := ""
		for _, run := range runs.Array() {
			out += fmt.Sprintf("%s: run %d at %s/%s, stage %s for %d ms", d.Daemon, run.Get("attempt").Int(), run.Get("pool").Str,
				run.Get("worker").Str, run.Get("stage").Str, run.Get("since_ms").Int())
		}
		return out
	}
	out := fmt.Sprintf("%s: owner of place %d in term %d; %s, %d runs begun; waits for %s", d.Daemon, report.Get("place").Int(), report.Get("term").Int(),
		report.Get("state").Str, report.Get("attempt").Int(), report.Get("waits_for").Str)
	if behind := report.Get("behind").Str; behind != "" {
		out += " " + behind
	}
	if since := report.Get("since_ms").Int(); since >= 0 {
		out += fmt.Sprintf(", for %d ms", since)
	}
	if left := report.Get("left_ms").Int(); left >= 0 {
		out += fmt.Sprintf(", %d ms more", left)
	}
	if run := report.Get("run"); run.Exists() {
		out += fmt.Sprintf("; run at %s by %s (boot %s, session %t, away %d ms)", run.Get("worker").Str, run.Get("adapter").Str, run.Get("boot").Str,
			run.Get("is_member").Bool(), run.Get("away_ms").Int())
	}
	for _, pool := range report.Get("pools").Array() {
		out += fmt.Sprintf("; pool %s: %d eligible workers, %d resting, %d requests in progress", pool.Get("pool").Str, pool.Get("workers").Int(),
			pool.Get("resting").Int(), pool.Get("asks").Int())
	}
	return out
}
