package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
	"caperwheel/internal/standin"
)

// listsCommand holds the arguments of lists.
type listsCommand struct {
	Workers []int         `arg:"--workers" help:"lengths of the list to measure; 100, 1000, 10000 and 100000 if not given"`
	Page    int           `arg:"--page" default:"50" help:"entries of a page"`
	Rate    float64       `arg:"--rate" default:"50" help:"calls a second that the list takes from all"`
	Timeout time.Duration `arg:"--most" default:"10m" help:"longest time for one length"`
	Root    string        `arg:"--root" default:"." help:"root of the sources, for building"`
}

// lists measures a small deployment with lists of workers of several lengths, and prints the figures of each.
func lists(a *listsCommand) error {
	if len(a.Workers) == 0 {
		a.Workers = []int{100, 1000, 10000, 100000}
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	dir, err := os.MkdirTemp("", "lists-")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "create temporary folder")
	}
	defer os.RemoveAll(dir)
	bin := filepath.Join(dir, "bin")
	if err := fleet.Build(ctx, a.Root, bin, false); err != nil {
		return err
	}
	for _, workers := range a.Workers {
		measureCtx, cancelMeasurement := context.WithTimeout(ctx, a.Timeout)
		result, err := standin.MeasureList(measureCtx, standin.ListOptions{Workers: workers, Page: a.Page, Rate: a.Rate, Bin: bin, Dir: filepath.Join(dir, fmt.Sprint(workers))})
		cancelMeasurement()
		fmt.Printf("%d workers: first run %v, all known %v, all held %v, a change known %v, %d calls, %d refused\n  idle cores %v\n  memory %v\n", workers,
			result.FirstRun.Round(time.Millisecond), result.Listed.Round(time.Millisecond), result.Assigned.Round(time.Millisecond), result.Changed.Round(time.Millisecond),
			result.Calls, result.Refused, result.Idle, result.Memory)
		if err != nil {
			return err
		}
	}
	return nil
}
