package main

import (
	"context"
	"os"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
	"caperwheel/internal/standin"
)

// platformCommand holds the arguments of platform.
type platformCommand struct {
	For    time.Duration `arg:"--for" default:"20s" help:"how long clients send"`
	Root   string        `arg:"--root" default:"." help:"root of the sources, for building"`
	Dir    string        `arg:"--dir" help:"where data and logs go; a temporary folder if not given"`
	Bin    string        `arg:"--bin" help:"folder with built programs; built if not given"`
	Keep   bool          `arg:"--keep" help:"keep the folder"`
	Faults string        `arg:"--faults" help:"schedule of faults to cause"`
	Seed   uint64        `arg:"--seed" help:"draw a schedule of mixed faults by this seed"`
}

// platform runs a small deployment on the simulated platform and checks it against the platform's rules.
func platform(a *platformCommand) error {
	ctx := context.Background()
	schedule, err := fleet.Schedule{}, error(nil)
	if a.Faults != "" {
		if schedule, err = fleet.ReadScheduleOf(a.Faults, standin.IsFault); err != nil {
			return err
		}
		if schedule.Duration != "" {
			if a.For, err = time.ParseDuration(schedule.Duration); err != nil {
				return errs.Wrap(err, errs.Invalid, "read the duration of the schedule")
			}
		}
	}
	if a.Seed > 0 {
		schedule = fleet.DrawSchedule(standin.RandomFaults(), a.Seed, a.For)
	}
	w := workspace{Dir: a.Dir, Bin: a.Bin}
	err = w.prepare(ctx, a.Root)
	if !a.Keep {
		defer os.RemoveAll(w.Dir)
	}
	if err != nil {
		return err
	}
	return standin.RunSchedule(ctx, w.Bin, w.Dir, schedule, a.For, os.Stdout)
}
