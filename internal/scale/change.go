package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/fleet"
	"caperwheel/internal/timing"
)

// made is one change that a manager acknowledged.
type made struct {
	key    partRevision
	sentAt int64 // microseconds of the machine's clock
	heldAt int64 // when it was acknowledged
}

// changer edits the configuration and one list by turns, at a rate.
type changer struct {
	f     *fleet.Fleet
	lists map[string][]config.Worker
	mu    sync.Mutex
	made  []made
	base  map[string]string // revision by path
}

// run edits until ctx ends. An edit that is refused is not counted.
func (c *changer) run(ctx context.Context, rate float64) {
	if rate <= 0 {
		return
	}
	turn := 0
	timing.Every(ctx, time.Duration(float64(time.Second)/rate), func() {
		turn++
		if list := c.lists[poolName(0)]; turn%2 == 0 && len(list) > 0 {
			w := list[0]
			w.State = []string{"live", "leaving"}[turn/2%2]
			c.edit(ctx, "/v1/pools/"+poolName(0)+"/workers", config.Workers{Workers: []config.Worker{w}},
				feed.PartOf(poolName(0), parts))
			return
		}
		c.edit(ctx, "/v1/charter", map[string]string{"note": fmt.Sprint("scale ", turn)}, feed.ConfigPart)
	})
}

// atLeastOne makes up for a window in which a busy machine let none through.
func (c *changer) atLeastOne(ctx context.Context) {
	for turn := 0; turn < 20 && len(c.made) == 0 && ctx.Err() == nil; turn++ {
		c.edit(ctx, "/v1/charter", map[string]string{"note": fmt.Sprint("again ", turn)}, feed.ConfigPart)
		pause(ctx, 100*time.Millisecond)
	}
}

func (c *changer) edit(ctx context.Context, path string, patch any, part int64) {
	url := "http://" + c.f.Managers[0].Http + path
	raw, err := json.Marshal(patch)
	if err != nil {
		return
	}
	if c.base[path] == "" {
		_, head, _, err := fleet.Do(ctx, "GET", url, "", nil)
		if err != nil {
			return
		}
		c.base[path] = head.Get("ETag")
	}
	sentAt := time.Now().UnixMicro()
	code, head, _, err := fleet.Do(ctx, "PATCH", url, c.base[path], raw)
	if err != nil || code != 200 {
		c.base[path] = "" // another came first, or nobody knows: read it again
		return
	}
	c.base[path] = head.Get("ETag")
	revision, err := strconv.ParseInt(strings.Trim(c.base[path], `"`), 10, 64)
	if err != nil {
		c.base[path] = ""
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made = append(c.made, made{partRevision{part, revision}, sentAt, time.Now().UnixMicro()})
}

// judge reports when each change was in force at the last adapter. It waits for
// those still under way, up to ten times the bound.
func (c *changer) judge(ctx context.Context, pack *fleet.Process, fronts int, out *Result) error {
	c.mu.Lock()
	all := c.made
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 10*timing.Default.Config)
	defer cancel()
	var lags []lag
	for {
		var got Reached
		if err := ask(ctx, pack, "/ledger", &got); err != nil {
			return errs.Wrap(err, errs.DeadlineExceeded, "ledger")
		}
		lags = lagsOf(all, got, fronts)
		if len(lags) == len(all) || out.Point.Restarts > 0 {
			break
		}
		select {
		case <-ctx.Done():
			return errs.New(errs.DeadlineExceeded, "%d of %d changes are not in force everywhere", len(all)-len(lags), len(all))
		case <-time.After(100 * time.Millisecond):
		}
	}
	out.Changes, out.InForce = len(all), len(lags)
	for _, lag := range lags {
		if lag.sinceHeld > timing.Default.Config {
			out.Late++
		}
	}
	spans := []time.Duration{}
	for _, lag := range lags {
		spans = append(spans, lag.sinceSent)
	}
	out.Median, out.Most99, out.Most = fleet.Percentile(spans, 0.5), fleet.Percentile(spans, 0.99), fleet.Percentile(spans, 1)
	return nil
}

// lag is how long a change took until it was in force at the last adapter. What
// is promised counts from its acknowledgement.
type lag struct{ sinceSent, sinceHeld time.Duration }

// lagsOf tells the lag of each change that has reached so many adapters.
func lagsOf(all []made, got Reached, fronts int) []lag {
	out := []lag{}
	for _, m := range all {
		moments := got[m.key.part][m.key.revision]
		if len(moments) < fronts {
			continue
		}
		last := int64(0)
		for _, at := range moments {
			last = max(last, at)
		}
		out = append(out, lag{time.Duration(last-m.sentAt) * time.Microsecond, time.Duration(last-m.heldAt) * time.Microsecond})
	}
	return out
}
