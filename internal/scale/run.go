package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
	"caperwheel/internal/manager"
	"caperwheel/internal/timing"
)

// Options say with what to measure, and for how long.
type Options struct {
	Bin     string        // folder with the product's programs
	Program string        // the fleet tool, which is also the process of hollow daemons
	Dir     string        // where data and logs go
	For     time.Duration // how long each point is measured
	Settle  time.Duration // before that
}

// bench is one point that runs.
type bench struct {
	Options
	point Point
	f     *fleet.Fleet
	pack  *fleet.Process
	lists map[string][]config.Worker
}

// Measure starts a deployment, measures it and stops it.
func Measure(ctx context.Context, o Options, p Point) (Result, error) {
	out := Result{Point: p, For: o.For}
	if err := errs.Wrap(os.RemoveAll(o.Dir), errs.Internal, "folder"); err != nil {
		return out, err
	}
	doc, err := p.config()
	if err != nil {
		return out, err
	}
	f, err := fleet.New(p.plan(), doc, o.Bin, "", o.Dir)
	if err != nil {
		return out, err
	}
	b := &bench{Options: o, point: p, f: f}
	defer f.Down()
	defer b.stopPack()
	if err := b.up(ctx, &out); err != nil {
		return out, err
	}
	return out, b.measure(ctx, &out)
}

// up has everything serve, all duties held and the backlog queued.
func (b *bench) up(ctx context.Context, out *Result) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	if err := b.f.Up(ctx); err != nil {
		return err
	}
	if err := b.startPack(); err != nil {
		return err
	}
	b.lists = b.point.lists(b.f.Backends["served/served-01"].Addr)
	began := time.Now()
	if err := b.await(ctx, "hollow daemons", b.isFresh); err != nil {
		return err
	}
	group := pond.NewPool(8).NewGroup()
	for pool, list := range b.lists {
		group.SubmitErr(func() error { return b.f.Api().PutWorkers(ctx, pool, list) })
	}
	if err := group.Wait(); err != nil {
		return errs.Wrap(err, errs.DeadlineExceeded, "lists")
	}
	if err := b.await(ctx, "duties", b.isHeld); err != nil {
		return err
	}
	out.Ready = time.Since(began)
	return b.fill(ctx)
}

func (b *bench) startPack() error {
	if b.point.Daemons == 0 {
		return nil
	}
	seeds := []string{}
	for _, m := range b.f.Managers {
		seeds = append(seeds, m.Addr)
	}
	addr, err := fleet.FreePort()
	if err != nil {
		return err
	}
	raw, err := json.Marshal(Pack{Http: addr, Seeds: seeds, Daemons: b.point.Daemons, Places: b.point.Places, Parts: parts})
	file := filepath.Join(b.Dir, "pack.json")
	if err == nil {
		err = os.WriteFile(file, raw, 0o644)
	}
	if err != nil {
		return errs.Wrap(err, errs.Internal, "pack")
	}
	b.pack = b.f.Extra(filepath.Dir(b.Program), filepath.Base(b.Program), "hollow", "scale", "--pack", file)
	b.pack.Http = addr
	return b.pack.Start()
}

func (b *bench) stopPack() {
	if b.pack != nil {
		b.pack.Kill()
	}
}

// await asks until something is so; not on, once the hollow daemons' process
// has ended.
func (b *bench) await(ctx context.Context, what string, isSo func(ctx context.Context, turn int) bool) error {
	for turn := 0; ; turn++ {
		if isSo(ctx, turn) {
			return nil
		}
		if b.pack != nil && !b.pack.IsUp() {
			return errs.New(errs.Unhealthy, "%s are not ready: the hollow daemons' process has ended", what)
		}
		select {
		case <-ctx.Done():
			return errs.New(errs.DeadlineExceeded, "%s are not ready", what)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (b *bench) isFresh(ctx context.Context, _ int) bool {
	if b.pack == nil {
		return true
	}
	var held Held
	return ask(ctx, b.pack, "/held", &held) == nil && held.Fresh == b.point.Daemons/2
}

// copies is how many replicas a group has where there are stores enough.
const copies = 3

func (b *bench) isHeld(ctx context.Context, turn int) bool {
	status, err := b.f.Api().Status(ctx, turn)
	if err != nil {
		return false
	}
	workers := 0
	for _, pool := range status.Pools {
		if len(pool.Duties) < pool.Workers {
			return false
		}
		workers += pool.Workers
	}
	for _, group := range append(append([]manager.StatusGroup{}, status.Places...), status.Parts...) {
		if group.Owner == "" || group.Voters < int64(min(copies, b.point.Stores)) || group.Lag > 0 {
			return false
		}
	}
	return workers >= b.point.Destinations+b.point.Targets
}

// fill queues the backlog: messages of a lane whose pool has no workers.
func (b *bench) fill(ctx context.Context) error {
	var taken atomic.Int64
	pool := pond.NewPool(64)
	defer pool.StopAndWait()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	body := bytes.Repeat([]byte("x"), bodySize)
	group := pool.NewGroup()
	for i := range b.point.Backlog {
		group.Submit(func() {
			for range 20 {
				url := "http://" + b.f.Adapters[i%len(b.f.Adapters)].Http + "/v1/lanes/parked/messages"
				resp, err := client.Post(url, "application/octet-stream", bytes.NewReader(body))
				if err != nil {
					continue
				}
				resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					taken.Add(1)
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	_ = group.Wait()
	if int(taken.Load()) < b.point.Backlog {
		return errs.New(errs.DeadlineExceeded, "only %d of %d messages were taken", taken.Load(), b.point.Backlog)
	}
	return nil
}

// lose kills one manager half-way; the changes go through another.
func (b *bench) lose(ctx context.Context) {
	if b.point.IsLost {
		pause(ctx, b.For/2)
		b.f.Managers[len(b.f.Managers)-1].Kill()
	}
}

// restart ends hollow fronts and begins them anew, by turns, at a rate.
func (b *bench) restart(ctx context.Context, out *Result) {
	if b.point.Restarts <= 0 || b.pack == nil {
		return
	}
	turn := 0
	timing.Every(ctx, time.Duration(float64(time.Minute)/b.point.Restarts), func() {
		turn++
		code, _, _, err := fleet.Do(ctx, "POST", fmt.Sprintf("http://%s/restart/%d", b.pack.Http, turn), "", nil)
		if err == nil && code == 200 {
			out.Restarts++
		}
	})
}
