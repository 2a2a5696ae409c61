package scale

import (
	"context"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// measure reads everything at both ends of the window.
func (b *bench) measure(ctx context.Context, out *Result) error {
	loadCtx, end := context.WithCancel(ctx)
	defer end()
	callers := fleet.NewCallers(b.f)
	changes := &changer{f: b.f, lists: b.lists, base: map[string]string{}}
	done := make(chan struct{}, 2)
	go func() { callers.Run(loadCtx); done <- struct{}{} }()
	pause(ctx, b.Settle)
	if b.pack != nil {
		if code, _, _, err := fleet.Do(ctx, "POST", "http://"+b.pack.Http+"/begin", "", nil); err != nil || code != 200 {
			return errs.New(errs.Unhealthy, "the pack does not begin: %d", code)
		}
	}
	before, err := b.readings(ctx)
	if err != nil {
		return err
	}
	windowCtx, close := context.WithTimeout(loadCtx, b.For)
	defer close()
	go func() { changes.run(windowCtx, b.point.Changes); done <- struct{}{} }()
	go b.lose(windowCtx)
	b.restart(windowCtx, out)
	<-windowCtx.Done()
	after, err := b.readings(ctx)
	if err != nil {
		return err
	}
	for p, is := range after {
		out.Duties += is.sum("duty_moves_total") - before[p].sum("duty_moves_total")
		out.Owners += is.sum("place_ownerships_total") - before[p].sum("place_ownerships_total")
	}
	<-done // the changes: the callers go on
	if b.point.Changes > 0 {
		changes.atLeastOne(ctx)
	}
	if b.pack != nil {
		var held Held
		if err := ask(ctx, b.pack, "/held", &held); err != nil {
			return err
		}
		out.Fresh = held.Fresh
		if err := changes.judge(ctx, b.pack, b.fronts(), out); err != nil {
			return err
		}
		defer func() { b.addHollow(out, before[b.pack], after[b.pack], held) }()
	}
	for _, role := range []struct {
		name string
		of   []*fleet.Process
	}{{"manager", b.f.Managers}, {"store", b.f.Stores}, {"agent", b.f.Agents}, {"adapter", b.f.Adapters}} {
		out.Rows = append(out.Rows, b.row(role.name, role.of, before, after))
	}
	end()
	<-done
	return b.recover(ctx, out)
}

// fronts is how many adapters a change must have reached: those that restart
// meanwhile may have missed it while they were away.
func (b *bench) fronts() int {
	if b.point.Restarts > 0 {
		return max(1, b.point.Daemons/2-2)
	}
	return b.point.Daemons / 2
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (b *bench) readings(ctx context.Context) (map[*fleet.Process]reading, error) {
	out := map[*fleet.Process]reading{}
	all := b.f.All()
	if b.pack != nil {
		all = append(all, b.pack)
	}
	for _, p := range all {
		if b.point.IsLost && p == b.f.Managers[len(b.f.Managers)-1] {
			continue
		}
		r, err := read(ctx, p)
		if err != nil {
			return nil, err
		}
		out[p] = r
	}
	return out, nil
}

// row is the mean of a role's daemons.
func (b *bench) row(role string, of []*fleet.Process, before, after map[*fleet.Process]reading) Row {
	of = slices.DeleteFunc(slices.Clone(of), func(p *fleet.Process) bool { return after[p].counts == nil })
	out := Row{Role: role, Count: len(of), Links: map[string]float64{}}
	n := float64(len(of))
	for _, p := range of {
		was, is := before[p], after[p]
		out.spend(was, is, n)
		out.Keys += is.counts["view_keys"] / n
		out.View += is.counts["view_bytes"] / n
		out.Members += is.sum("members{") / n
		out.Held += is.sum("place_messages{", `state="held"`) / n
		if role == "store" {
			out.Disk += diskOf(filepath.Join(b.Dir, p.Name)) / n
		}
	}
	return out
}

// spend adds what one process spent between two readings, as a part of n.
func (r *Row) spend(was, is reading, n float64) {
	span := is.at.Sub(was.at).Seconds()
	diff := func(parts ...string) float64 { return (is.sum(parts...) - was.sum(parts...)) / span / n }
	cpu := (is.cpu - was.cpu).Seconds() / span
	r.Cpu += cpu / n
	r.CpuMost = max(r.CpuMost, cpu)
	r.Wait += max(0, (is.wait-was.wait).Seconds()/span/n)
	r.Memory += is.rss / n
	r.MsgIn += diff("link_messages_total", `way="in"`)
	r.MsgOut += diff("link_messages_total", `way="out"`)
	r.BytesIn += diff("link_bytes_total", `way="in"`)
	r.BytesOut += diff("link_bytes_total", `way="out"`)
	for name := range is.counts {
		if _, rest, isIt := strings.Cut(name, `link_bytes_total{link="`); isIt && strings.Contains(name, `way="out"`) {
			link, _, _ := strings.Cut(rest, `"`)
			r.Links[link] += diff("link_bytes_total", `link="`+link+`"`, `way="out"`)
		}
	}
}

// addHollow adds the row of the hollow daemons, each an equal part of its
// process.
func (b *bench) addHollow(out *Result, was, is reading, held Held) {
	n := float64(b.point.Daemons)
	row := Row{Role: "hollow", Count: b.point.Daemons, Links: map[string]float64{},
		Keys: float64(held.Keys) / n, View: float64(held.Bytes) / n, Members: float64(held.Members) / n}
	row.spend(was, is, n)
	row.CpuMost = 0 // of one process, not of one daemon
	out.IsStarved = row.MsgIn+row.MsgOut < enough*fullSpeech()
	out.Rows = append(out.Rows, row)
}

// recover kills a store that holds a backlog and tells how long its next life
// takes to be ready.
func (b *bench) recover(ctx context.Context, out *Result) error {
	if b.point.Backlog == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	store := b.f.Stores[0]
	store.Kill()
	began := time.Now()
	if err := store.Start(); err != nil {
		return err
	}
	err := b.await(ctx, "stores", func(ctx context.Context, _ int) bool {
		code, _, _, err := fleet.Do(ctx, "GET", "http://"+store.Http+"/readyz", "", nil)
		return err == nil && code == 200
	})
	out.Recover = time.Since(began)
	return err
}
