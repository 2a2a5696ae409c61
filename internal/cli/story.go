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

// storyBound is how long one daemon's part of a story is waited for, and storyAskers how many are
// asked at once.
const (
	storyBound  = 3 * time.Second
	storyAskers = 32
)

// part is what one daemon tells of a message.
type part struct {
	Daemon string          `json:"daemon"`
	Error  string          `json:"error,omitempty"`
	Told   json.RawMessage `json:"told,omitempty"`
}

// story asks every store and adapter where a message stands there, and prints what is known.
func (t *tool) story(c *messageCommand) error {
	status, err := t.readStatus()
	if err != nil {
		return err
	}
	pool, client, parts := pond.NewPool(storyAskers), resty.New().SetTimeout(storyBound), make([]*part, len(status.Members))
	group := pool.NewGroup()
	for i, m := range status.Members {
		if m.Kind == "store" || m.Kind == "adapter" {
			key := map[bool]string{true: c.ApiKey}[m.Kind == "adapter"] // a store asks for none
			group.Submit(func() { parts[i] = partOf(asTenant(client.R(), key), m.Name, m.Http, c.Id) })
		}
	}
	_ = group.Wait()
	told := []*part{}
	for _, p := range parts {
		if p != nil {
			told = append(told, p)
		}
	}
	if t.args.Json {
		raw, err := json.MarshalIndent(told, "", "  ")
		fmt.Fprintf(t.out, "%s\n", raw)
		return errs.Wrap(err, errs.Internal, "story")
	}
	if len(told) == 0 {
		return errs.New(errs.Unknown, "no daemon knows %s: it is over and forgotten, or its place has no owner", c.Id)
	}
	for _, p := range told {
		fmt.Fprintln(t.out, p.text())
	}
	return nil
}

// partOf asks one daemon; nil where it has nothing of the message.
func partOf(ask *resty.Request, name, address, id string) *part {
	reply, err := ask.Get("http://" + address + "/v1/messages/" + id + "/story")
	switch {
	case err != nil:
		return &part{Daemon: name, Error: err.Error()}
	case reply.StatusCode() == http.StatusNotFound:
		return nil
	case reply.IsError():
		return &part{Daemon: name, Error: problem(reply).Error()}
	}
	return &part{Daemon: name, Told: json.RawMessage(reply.Body())}
}

// text gives a part in a few words.
func (p *part) text() string {
	if p.Error != "" {
		return fmt.Sprintf("%s: cannot be asked: %s", p.Daemon, p.Error)
	}
	told := gjson.ParseBytes(p.Told)
	if runs := told.Get("runs"); runs.Exists() {
		out := ""
		for _, run := range runs.Array() {
			out += fmt.Sprintf("%s: run %d at %s/%s, stage %s for %d ms", p.Daemon, run.Get("attempt").Int(), run.Get("pool").Str,
				run.Get("worker").Str, run.Get("stage").Str, run.Get("since_ms").Int())
		}
		return out
	}
	out := fmt.Sprintf("%s: owner of place %d in term %d; %s, %d runs begun; waits for %s", p.Daemon, told.Get("place").Int(), told.Get("term").Int(),
		told.Get("state").Str, told.Get("attempt").Int(), told.Get("waits_for").Str)
	if behind := told.Get("behind").Str; behind != "" {
		out += " " + behind
	}
	if since := told.Get("since_ms").Int(); since >= 0 {
		out += fmt.Sprintf(", for %d ms", since)
	}
	if left := told.Get("left_ms").Int(); left >= 0 {
		out += fmt.Sprintf(", %d ms more", left)
	}
	if run := told.Get("run"); run.Exists() {
		out += fmt.Sprintf("; run at %s by %s (life %s, session %t, away %d ms)", run.Get("worker").Str, run.Get("adapter").Str, run.Get("boot").Str,
			run.Get("is_member").Bool(), run.Get("away_ms").Int())
	}
	for _, pool := range told.Get("pools").Array() {
		out += fmt.Sprintf("; pool %s: %d workers to ask, %d resting, %d asks under way", pool.Get("pool").Str, pool.Get("workers").Int(),
			pool.Get("resting").Int(), pool.Get("asks").Int())
	}
	return out
}
