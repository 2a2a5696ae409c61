package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-resty/resty/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/manager"
	"caperwheel/internal/web"
)

// get reads a path of the manager's API. A response with an error status is an error.
func (t *runner) get(path string) (*resty.Response, error) {
	resp, err := t.client.R().Get(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Lost, "read from manager %s", t.args.Manager)
	}
	if resp.IsError() {
		return nil, responseError(resp)
	}
	return resp, nil
}

// printDocument prints a document of the manager's API, and its revision to standard error.
func (t *runner) printDocument(path string) error {
	resp, err := t.get(path)
	if err != nil {
		return err
	}
	if tag := resp.Header().Get("ETag"); tag != "" {
		fmt.Fprintf(t.errOut, "stamp %s\n", strings.Trim(tag, `"`))
	}
	fmt.Fprint(t.out, string(resp.Body()))
	return nil
}

// printConfig prints the configuration, without the document that it was translated from unless isWhole is set.
func (t *runner) printConfig(isWhole bool) error {
	if isWhole {
		return t.printDocument("/v1/charter")
	}
	resp, err := t.get("/v1/charter")
	if err != nil {
		return err
	}
	doc, err := config.Redact(resp.Body())
	if err != nil {
		return err
	}
	if tag := resp.Header().Get("ETag"); tag != "" {
		fmt.Fprintf(t.errOut, "stamp %s\n", strings.Trim(tag, `"`))
	}
	fmt.Fprint(t.out, string(doc))
	return nil
}

// post sends an action without a body to the manager and prints the response.
func (t *runner) post(path string) error {
	resp, err := t.client.R().Post(path)
	if err != nil {
		return errs.Wrap(err, errs.Lost, "post to manager %s", t.args.Manager)
	}
	if resp.IsError() {
		return responseError(resp)
	}
	fmt.Fprint(t.out, string(resp.Body()))
	return nil
}

// editDocument changes a document on condition that its revision is the given one, or the newest if none is given.
func (t *runner) editDocument(method, path string, e editCommand) error {
	body, err := readFile(e.File)
	if err != nil {
		return err
	}
	base, err := e.base()
	if err != nil {
		return err
	}
	if base == "" {
		resp, err := t.get(path)
		if err != nil {
			return err
		}
		base = strings.Trim(resp.Header().Get("ETag"), `"`)
	}
	resp, err := t.sendChange(method, path, base, body, e.DryRun)
	if err != nil {
		return err
	}
	fmt.Fprint(t.out, string(resp.Body()))
	return nil
}

// sendChange sends a change to the manager on condition that the document's revision is still revision. With isDryRun
// the manager only checks the change. If the response is lost, the error is errs.Undecided: the change may have been
// made.
func (t *runner) sendChange(method, path, revision string, body []byte, isDryRun bool) (*resty.Response, error) {
	req := t.client.R().SetHeader("If-Match", `"`+revision+`"`).SetHeader("Content-Type", "application/json").SetBody(body)
	if isDryRun {
		req.SetQueryParam("check", "true")
	}
	resp, err := req.Execute(method, path)
	if err != nil {
		return nil, errs.Wrap(err, errs.Undecided, "no response from manager %s to the change; read the document back", t.args.Manager)
	}
	if resp.IsError() {
		return nil, responseError(resp)
	}
	return resp, nil
}

// checkConfig compiles a configuration file locally and prints its faults.
func (t *runner) checkConfig(file string) error {
	doc, err := readFile(file)
	if err != nil {
		return err
	}
	rules, faults := config.Compile(doc)
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintf(t.out, "%s: %s\n", f.Path, f.Text)
		}
		return errs.New(errs.Invalid, "the configuration has %d faults", len(faults))
	}
	fmt.Fprintf(t.out, "good: %d lanes, %d pools, %d tenants\n", len(rules.Lanes), len(rules.Pools), len(rules.Tenants))
	return nil
}

// readStatus reads the status of the deployment from the manager.
func (t *runner) readStatus() (manager.Status, error) {
	var status manager.Status
	resp, err := t.get("/v1/status")
	if err != nil {
		return status, err
	}
	return status, errs.Wrap(json.Unmarshal(resp.Body(), &status), errs.Corrupt, "decode the status")
}

// status prints the members, the owners of places and parts, the pools, and the zones and stores out of use.
func (t *runner) status() error {
	if t.args.Json {
		return t.printDocument("/v1/status")
	}
	s, err := t.readStatus()
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s, configuration revision %d, fresh: %t\n\n", s.Manager, s.Revision, s.IsFresh)
	fmt.Fprintf(t.out, "%-14s %-8s %-6s %-6s %-8s %s\n", "daemon", "kind", "zone", "fresh", "revision", "heard")
	for _, m := range s.Members {
		fmt.Fprintf(t.out, "%-14s %-8s %-6s %-6t %-8d %d ms ago\n", m.Name, m.Kind, m.Zone, m.IsFresh, m.Revision, m.AgeMs)
	}
	owners := map[string]int{}
	for _, g := range append(s.Places, s.Parts...) {
		owners[g.Owner]++
	}
	fmt.Fprintf(t.out, "\nplaces and parts by owner: %v\n", owners)
	for _, p := range s.Pools {
		fmt.Fprintf(t.out, "pool %-24s %d workers, %d with a holder\n", p.Name, p.Workers, len(p.Duties))
	}
	if len(s.DrainedZones)+len(s.RetiredStores) > 0 {
		fmt.Fprintf(t.out, "emptied zones: %v, retired stores: %v\n", s.DrainedZones, s.RetiredStores)
	}
	return nil
}

// message prints a message's state, body or trace. Without an address it uses the first adapter that is ready.
func (t *runner) message(c *messageCommand) error {
	if c.Story {
		return t.printTrace(c)
	}
	if c.Adapter == "" {
		resp, err := t.get("/v1/daemons?ready=true&kind=adapter")
		if err != nil {
			return err
		}
		var list []manager.StatusMember
		if err := json.Unmarshal(resp.Body(), &list); err != nil || len(list) == 0 {
			return errs.New(errs.Unknown, "no adapter is ready")
		}
		c.Adapter = list[0].Http
	}
	path := "http://" + c.Adapter + "/v1/messages/" + c.Id
	if c.Body {
		path += "/body"
	}
	resp, err := withApiKey(t.client.R(), c.ApiKey).Get(path)
	if err != nil {
		return errs.Wrap(err, errs.Lost, "read from adapter %s", c.Adapter)
	}
	if resp.IsError() {
		return responseError(resp)
	}
	fmt.Fprint(t.out, string(resp.Body()))
	return nil
}

// withApiKey adds an API key to a request to an adapter, unless the key is empty.
func withApiKey(r *resty.Request, key string) *resty.Request {
	if key == "" {
		return r
	}
	return r.SetHeader("Authorization", web.AuthScheme+" "+key)
}
