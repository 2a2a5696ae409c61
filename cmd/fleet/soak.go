package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
	"caperwheel/internal/standin"
)

// soakCommand holds the arguments of soak.
type soakCommand struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"first seed; the same one draws the same series of faults"`
	Seeds     uint64        `arg:"--seeds" default:"1" help:"how many seeds, one after another or --jobs at once"`
	For       time.Duration `arg:"--for" default:"1m" help:"how long callers call, for each seed"`
	Processes int           `arg:"--processes" default:"12" help:"processes of the deployment"`
	Jobs      int           `arg:"--jobs" default:"1" help:"seeds at once"`
	Root      string        `arg:"--root" default:"." help:"root of the sources, for building"`
	Bin       string        `arg:"--bin" help:"folder with built programs; built if not given"`
	Dir       string        `arg:"--dir" help:"where data and logs go; a temporary folder if not given"`
	Keep      bool          `arg:"--keep" help:"keep the folder"`
}

// options returns the options of the soak for one seed, without its folders.
func (a *soakCommand) options(seed uint64) standin.SoakOptions {
	return standin.SoakOptions{Seed: seed, For: a.For, Processes: a.Processes}
}

// soak runs deployments under series of signals, restarts and configuration changes, with callers that keep their
// connections until the process at the other end exits. Ctrl-C ends all processes that it started.
func soak(a *soakCommand) error {
	if a.Seeds < 1 || a.Jobs < 1 {
		return errs.New(errs.Invalid, "--seeds and --jobs must be 1 or more")
	}
	if err := a.options(a.Seed).Check(); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if a.Bin == "" { // build once, before any seed's folder exists
		bin, err := os.MkdirTemp("", "soak-bin-")
		if err != nil {
			return errs.Wrap(err, errs.Internal, "create temporary folder")
		}
		defer os.RemoveAll(bin)
		if err := fleet.Build(ctx, a.Root, bin, false); err != nil {
			return err
		}
		a.Bin = bin
	}
	seeds, printing, failedSeeds := pond.NewPool(a.Jobs).NewGroup(), sync.Mutex{}, 0
	for seed := a.Seed; seed < a.Seed+a.Seeds; seed++ {
		seeds.SubmitErr(func() error {
			if ctx.Err() != nil {
				return errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "seed %d was not run", seed)
			}
			text, isClean, err := a.runSeed(ctx, seed)
			printing.Lock()
			defer printing.Unlock()
			fmt.Print(text)
			if !isClean {
				failedSeeds++
			}
			return err
		})
	}
	if err := seeds.Wait(); err != nil {
		return err
	}
	if failedSeeds > 0 {
		return errs.New(errs.Unhealthy, "%d of %d seeds violated a rule", failedSeeds, a.Seeds)
	}
	return nil
}

// runSeed runs one seed and returns the text to print and whether no rule was violated.
func (a *soakCommand) runSeed(ctx context.Context, seed uint64) (text string, isClean bool, err error) {
	dir := filepath.Join(a.Dir, fmt.Sprintf("soak-%d", seed))
	if a.Dir == "" {
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return "", false, errs.Wrap(err, errs.Internal, "create temporary folder")
		}
	}
	if !a.Keep {
		defer os.RemoveAll(dir)
	}
	o, out := a.options(seed), &bytes.Buffer{}
	o.Bin, o.Dir = a.Bin, dir
	began := time.Now()
	o.Progress = func(form string, args ...any) {
		fmt.Fprintf(os.Stderr, "seed %d, %v: %s\n", seed, time.Since(began).Round(time.Second), fmt.Sprintf(form, args...))
	}
	result, err := standin.Soak(ctx, o, out)
	if err != nil {
		return out.String(), false, errs.Wrap(err, errs.KindOf(err), "run seed %d", seed)
	}
	fmt.Fprintf(out, "seed %d: %d processes, %d requests, status codes %v, %d sent to daemons that accept no messages, %d runs, results %v, %d configurations, %d violations, %d failures, %d crashes\n",
		seed, result.Processes, result.Tries, result.Codes, result.AdminRequests, result.Runs, result.FinalStates, result.Changes, len(result.Breaches), len(result.Failures), len(result.Crashes))
	return out.String(), result.IsClean(), nil
}
