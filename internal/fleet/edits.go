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

	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
)

// edits remembers the newest charter that was acknowledged.
type edits struct {
	mu     sync.Mutex
	stamp  int64
	note   string
	Broken []string
}

func (a *Api) patchWorkers(ctx context.Context, pool string, patch charter.Workers) error {
	path := "/v1/pools/" + pool + "/workers"
	return a.try(ctx, func(manager string) error {
		code, head, _, err := Do(ctx, "GET", manager+path, "", nil)
		if err != nil || code != 200 {
			return mishap.New(mishap.Unsound, "GET %s: %d %v", path, code, err)
		}
		code, _, raw, err := Do(ctx, "PATCH", manager+path, head.Get("ETag"), patch.Encode())
		if err == nil && code != 200 {
			err = mishap.New(mishap.Unsound, "PATCH %s: %d %s", path, code, raw)
		}
		return err
	})
}

// editCharter does one kind of edit: good, race, invalid, or stale. Each is
// held against what must come of it.
func (f *Fleet) editCharter(ctx context.Context, kind string) {
	e := &f.edits
	m := func(i int) string { return "http://" + f.Managers[i%len(f.Managers)].Http + "/v1/charter" }
	code, head, _, err := Do(ctx, "GET", m(int(time.Now().UnixNano()/1000)), "", nil)
	if err != nil || code != 200 {
		return // nobody could read it now: no edit was tried
	}
	base := head.Get("ETag")
	breach := func(form string, args ...any) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Broken = append(e.Broken, fmt.Sprintf(form, args...))
	}
	patch := func(i int, ifMatch, note string) int {
		body, _ := json.Marshal(map[string]string{"note": note})
		code, head, _, err := Do(ctx, "PATCH", m(i), ifMatch, body)
		if err == nil && code == 200 {
			stamp, _ := strconv.ParseInt(strings.Trim(head.Get("ETag"), `"`), 10, 64)
			e.mu.Lock()
			if stamp > e.stamp {
				e.stamp, e.note = stamp, note
			}
			e.mu.Unlock()
		}
		return code
	}
	switch kind {
	case "good":
		patch(0, base, "edit at "+f.Now().String())
	case "invalid":
		if code, _, _, err := Do(ctx, "PATCH", m(1), base, []byte(`{"lanes":{"bad lane":{}}}`)); err == nil && code == 200 {
			breach("an invalid charter was accepted")
		}
	case "stale":
		if stamp, _ := strconv.ParseInt(strings.Trim(base, `"`), 10, 64); stamp > 1 {
			if patch(2, `"1"`, "stale") == 200 {
				breach("an edit on a stale base was accepted")
			}
		}
	case "race":
		var wg sync.WaitGroup
		codes := make([]int, len(f.Managers))
		for i := range f.Managers {
			wg.Add(1)
			go func() { defer wg.Done(); codes[i] = patch(i, base, fmt.Sprintf("race %d at %v", i, f.Now())) }()
		}
		wg.Wait()
		won := 0
		for _, code := range codes {
			if code == 200 {
				won++
			}
		}
		if won > 1 {
			breach("%d edits on one base were accepted: %v", won, codes)
		}
	}
}

// CheckCharter reads the charter back from every manager: it must be the
// newest that was acknowledged, or one that came after it without an answer.
func (f *Fleet) CheckCharter(ctx context.Context) []string {
	e := &f.edits
	for _, p := range f.Managers {
		var got struct {
			Note string `json:"note"`
		}
		for ctx.Err() == nil {
			code, head, raw, err := Do(ctx, "GET", "http://"+p.Http+"/v1/charter", "", nil)
			if err != nil || code != 200 {
				pause(ctx, 200*time.Millisecond)
				continue
			}
			_ = json.Unmarshal(raw, &got)
			stamp, _ := strconv.ParseInt(strings.Trim(head.Get("ETag"), `"`), 10, 64)
			e.mu.Lock()
			if stamp < e.stamp || stamp == e.stamp && got.Note != e.note {
				e.Broken = append(e.Broken, fmt.Sprintf("%s gives charter %d %q, acknowledged was %d %q", p.Name, stamp, got.Note, e.stamp, e.note))
			}
			e.mu.Unlock()
			break
		}
	}
	if ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "fleet: The charter could not be read back from every manager.")
		e.Broken = append(e.Broken, "the charter cannot be read back")
	}
	return e.Broken
}
