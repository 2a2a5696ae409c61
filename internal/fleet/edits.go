package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// configEdits holds the newest configuration that was acknowledged, and breaches found in configuration changes.
type configEdits struct {
	mu       sync.Mutex
	revision int64
	note     string
	Breaches []string
}

// patchWorkers changes workers in the list of a pool. It retries until a manager accepts it.
func (a *Api) patchWorkers(ctx context.Context, pool string, patch config.Workers) error {
	path := "/v1/pools/" + pool + "/workers"
	return a.retryManagers(ctx, func(manager string) error {
		code, head, _, err := SendRequest(ctx, "GET", manager+path, "", nil)
		if err != nil || code != 200 {
			return errs.New(errs.Unhealthy, "GET %s: status %d, error %v", path, code, err)
		}
		code, _, raw, err := SendRequest(ctx, "PATCH", manager+path, head.Get("ETag"), patch.Encode())
		if err == nil && code != 200 {
			err = errs.New(errs.Unhealthy, "PATCH %s: status %d: %s", path, code, raw)
		}
		return err
	})
}

// addBreach records a breach.
func (e *configEdits) addBreach(form string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Breaches = append(e.Breaches, fmt.Sprintf(form, args...))
}

// revisionOf returns the revision in an ETag, 0 if there is none.
func revisionOf(etag string) int64 {
	revision, _ := strconv.ParseInt(strings.Trim(etag, `"`), 10, 64)
	return revision
}

// configUrl returns the URL of the configuration at the i-th manager.
func (f *Fleet) configUrl(i int) string {
	return "http://" + f.Managers[i%len(f.Managers)].Http + "/v1/charter"
}

// readConfig returns the configuration and its ETag from the first manager that answers, within 12 s.
func (f *Fleet) readConfig(ctx context.Context) (etag string, doc []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, 12*time.Second)
	defer cancel()
	err = f.api.retryManagers(ctx, func(manager string) error {
		code, head, raw, err := SendRequest(ctx, "GET", manager+"/v1/charter", "", nil)
		if err == nil && code != 200 {
			err = errs.New(errs.Unhealthy, "GET configuration: status %d", code)
		}
		etag, doc = head.Get("ETag"), raw
		return err
	})
	return etag, doc, err
}

// newConfigEdit returns the record of a configuration that is sent at a time: the pools that it allows each lane, and
// the rate cap of each pool.
func newConfigEdit(doc []byte, at time.Duration) check.Edit {
	out := check.Edit{SentAt: at, Pools: map[string][]string{}, RateCaps: map[string]float64{}}
	rules, _ := config.Compile(doc)
	for name, lane := range rules.Lanes {
		out.Pools[name] = lane.Pools
	}
	for name, pool := range rules.Pools {
		out.RateCaps[name] = pool.Rate
	}
	return out
}

// patchConfig sends a patch of the configuration to one manager and records the edit, with its revision if it is
// acknowledged. It returns the status code, 0 if there was no answer.
func (f *Fleet) patchConfig(ctx context.Context, manager int, etag string, base []byte, patch map[string]any) int {
	body, _ := json.Marshal(patch)
	merged, err := config.Merge(base, body)
	if err != nil {
		f.recordFailure("edit %s: %v", body, err)
		return 0
	}
	edit := newConfigEdit(merged, f.Now())
	code, head, _, err := SendRequest(ctx, "PATCH", f.configUrl(manager), etag, body)
	if err == nil && code == 200 {
		edit.AcknowledgedAt = f.Now()
		edit.Revision = revisionOf(head.Get("ETag"))
		f.configEdits.mu.Lock()
		if note, _ := patch["note"].(string); edit.Revision > f.configEdits.revision {
			f.configEdits.revision, f.configEdits.note = edit.Revision, note
		}
		f.configEdits.mu.Unlock()
	}
	f.History.AddEdit(edit)
	return code
}

// treePatch returns the patch that changes one lane or pool, given by its dotted name, in a tree of the configuration.
func treePatch(tree, name string, change map[string]any) map[string]any {
	parts := strings.Split(name, ".")
	for i := len(parts) - 1; i >= 0; i-- {
		change = map[string]any{parts[i]: change}
		if i > 0 {
			change = map[string]any{"children": change}
		}
	}
	return map[string]any{tree: change}
}

// editConfig makes one kind of configuration change: good, race, invalid, stale, "move LANE POOL" or "cap POOL RATE".
// It records a breach if the change is accepted although it must be refused.
func (f *Fleet) editConfig(ctx context.Context, kind string) {
	etag, base, err := f.readConfig(ctx)
	if err != nil {
		f.recordFailure("edit %s: %v", kind, err)
		return
	}
	note := func(i int) map[string]any {
		return map[string]any{"note": fmt.Sprintf("%s %d at %v", kind, i, f.Now())}
	}
	words := strings.Fields(kind)
	switch words[0] {
	case "good":
		f.patchConfig(ctx, 0, etag, base, note(0))
	case "move":
		f.patchUntilAcknowledged(ctx, treePatch("lanes", words[1], map[string]any{"pools": []string{words[2]}}))
	case "cap":
		rate, _ := strconv.ParseFloat(words[2], 64)
		f.patchUntilAcknowledged(ctx, treePatch("pools", words[1], map[string]any{"rate": rate}))
	case "invalid":
		if code, _, _, err := SendRequest(ctx, "PATCH", f.configUrl(1), etag, []byte(`{"lanes":{"bad lane":{}}}`)); err == nil && code == 200 {
			f.configEdits.addBreach("an invalid configuration was accepted")
		}
	case "stale":
		if revision := revisionOf(etag); revision > 1 {
			if f.patchConfig(ctx, 2, `"1"`, base, note(0)) == 200 {
				f.configEdits.addBreach("an edit based on a stale revision was accepted")
			}
		}
	case "race":
		var wg sync.WaitGroup
		codes := make([]int, len(f.Managers))
		for i := range f.Managers {
			wg.Add(1)
			go func() { defer wg.Done(); codes[i] = f.patchConfig(ctx, i, etag, base, note(i)) }()
		}
		wg.Wait()
		accepted := 0
		for _, code := range codes {
			if code == 200 {
				accepted++
			}
		}
		if accepted > 1 {
			f.configEdits.addBreach("%d concurrent edits based on one revision were accepted, status codes %v", accepted, codes)
		}
	default:
		f.recordFailure("unknown kind of edit %q", kind)
	}
}

// patchUntilAcknowledged repeats an edit, with the newest configuration as its base, until it is acknowledged. After 20
// s it records a failed step.
func (f *Fleet) patchUntilAcknowledged(ctx context.Context, patch map[string]any) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	for turn := 0; ctx.Err() == nil; turn++ {
		etag, base, err := f.readConfig(ctx)
		if err == nil && f.patchConfig(ctx, turn, etag, base, patch) == 200 {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
	f.recordFailure("edit %v was not acknowledged within 20 s", patch)
}

// CheckConfig reads the configuration back from every manager. It must be the newest one that was acknowledged, or a
// later one whose edit got no answer. It returns all breaches found in configuration changes.
func (f *Fleet) CheckConfig(ctx context.Context) []string {
	e := &f.configEdits
	for _, p := range f.Managers {
		var got struct {
			Note string `json:"note"`
		}
		for ctx.Err() == nil {
			code, head, raw, err := SendRequest(ctx, "GET", "http://"+p.Http+"/v1/charter", "", nil)
			if err != nil || code != 200 {
				sleep(ctx, 200*time.Millisecond)
				continue
			}
			_ = json.Unmarshal(raw, &got)
			revision := revisionOf(head.Get("ETag"))
			e.mu.Lock()
			if revision < e.revision || revision == e.revision && e.note != "" && got.Note != e.note {
				e.Breaches = append(e.Breaches, fmt.Sprintf("%s returns configuration %d %q, but configuration %d %q was acknowledged", p.Name, revision, got.Note, e.revision, e.note))
			}
			e.mu.Unlock()
			break
		}
	}
	if ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "fleet: The configuration could not be read back from every manager.")
		e.Breaches = append(e.Breaches, "the configuration cannot be read back")
	}
	return e.Breaches
}
