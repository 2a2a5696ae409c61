// Command fleet tests whole deployments on one machine, with simulated callers and workers, and checks the recorded
// history against the delivery rules. It also simulates deployments from seeds, explores the states of a replicated
// group and measures the transport.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// runCommand holds the arguments of run.
type runCommand struct {
	Config string        `arg:"--charter,required" help:"charter file; the plan lies beside it as NAME.fleet.json"`
	For    time.Duration `arg:"--for" default:"30s" help:"how long callers send"`
	Root   string        `arg:"--root" default:"." help:"root of the sources, for building"`
	Dir    string        `arg:"--dir" help:"where data and logs go; a temporary folder if not given"`
	Bin    string        `arg:"--bin" help:"folder with built programs; built if not given"`
	OldBin string        `arg:"--old-bin" help:"folder with programs of an older build, to begin with; schedules upgrade them"`
	Keep   bool          `arg:"--keep" help:"keep the folder"`
	Faults string        `arg:"--faults" help:"schedule of faults to cause"`
	Seed   uint64        `arg:"--seed" help:"draw a schedule of mixed faults by this seed"`
	Stores int           `arg:"--stores" help:"so many stores instead of the plan's"`
}

// sweepCommand holds the arguments of sweep.
type sweepCommand struct {
	From  uint64        `arg:"--from" default:"1" help:"first seed"`
	Seeds uint64        `arg:"--seeds" default:"1000" help:"how many seeds of each kind"`
	Kind  string        `arg:"--kind" help:"group, moves, place, control or delivery; all if not given"`
	Only  []string      `arg:"--only" help:"faults to mix, by name; all of the kind if not given"`
	Span  time.Duration `arg:"--span" help:"simulated time for which a whole deployment is troubled (control); 60s if not given"`
}

// arguments holds the commands, of which at most one is set.
type arguments struct {
	Up       *upCommand       `arg:"subcommand:up" help:"start a small deployment and let it serve until Ctrl-C"`
	Backend  *backendCommand  `arg:"subcommand:backend" help:"run one stand-in worker"`
	Bench    *benchCommand    `arg:"subcommand:bench" help:"measure the transport alone"`
	Sweep    *sweepCommand    `arg:"subcommand:sweep" help:"simulate many seeds with mixed faults"`
	Platform *platformCommand `arg:"subcommand:platform" help:"run a small deployment on a stand-in of its users' platform and judge it"`
	Lists    *listsCommand    `arg:"subcommand:lists" help:"measure a small deployment with long lists of workers"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"stop, restart and change a deployment in series under callers that never let go"`
	Check    *checkCommand    `arg:"subcommand:check" help:"explore all that a replicated group can come to"`
	Run      *runCommand      `arg:"subcommand:run" help:"run a deployment and check it"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Up != nil:
		err = up(args.Up)
	case args.Run != nil:
		err = run(args.Run)
	case args.Platform != nil:
		err = platform(args.Platform)
	case args.Lists != nil:
		err = lists(args.Lists)
	case args.Soak != nil:
		err = soak(args.Soak)
	case args.Backend != nil:
		err = backend(args.Backend)
	case args.Bench != nil:
		err = bench(args.Bench)
	case args.Check != nil:
		err = checkGroup(args.Check)
	case args.Sweep != nil:
		err = sweep(args.Sweep)
	default:
		parser.WriteHelp(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts a deployment, injects the faults of a schedule under load, waits until the messages have settled, and
// prints a report. It returns an error if a rule was violated, a step of the schedule failed, a daemon crashed or no
// message was run.
func run(a *runCommand) error {
	ctx := context.Background()
	plan, doc, err := fleet.ReadPlan(a.Config)
	if err != nil {
		return err
	}
	if a.Stores > 0 {
		plan.Stores = a.Stores
	}
	w := workspace{Dir: a.Dir, Bin: a.Bin}
	err = w.prepare(ctx, a.Root)
	if !a.Keep {
		defer os.RemoveAll(w.Dir)
	}
	if err != nil {
		return err
	}
	f, err := fleet.New(plan, doc, w.Bin, a.OldBin, w.Dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	upCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	began := time.Now()
	if err := f.Start(upCtx); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "fleet: %d daemons are running after %v.\n", len(f.All()), time.Since(began).Round(time.Millisecond))
	callers := fleet.NewCallers(f)
	var schedule fleet.Schedule
	if a.Faults != "" {
		if schedule, err = fleet.ReadSchedule(a.Faults); err != nil {
			return err
		}
		if schedule.Duration != "" {
			if a.For, err = time.ParseDuration(schedule.Duration); err != nil {
				return errs.Wrap(err, errs.Invalid, "read the duration of the schedule")
			}
		}
	}
	if a.Seed > 0 {
		f.IsRandomSchedule = true
		schedule = fleet.RandomSchedule(plan, a.Seed, a.For)
	}
	loadCtx, cancel := context.WithTimeout(ctx, a.For)
	defer cancel()
	scheduleDone := make(chan struct{})
	go func() { f.RunSchedule(loadCtx, schedule); close(scheduleDone) }()
	go f.Probe(loadCtx, callers)
	callers.Run(loadCtx)
	<-scheduleDone
	settleCtx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	report := f.Report(callers, f.Settle(settleCtx, true))
	readCtx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	report.Config, report.Counters = f.CheckConfig(readCtx), f.SumCounters(readCtx)
	raw, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the report")
	}
	fmt.Println(string(raw))
	if len(report.Breaches) > 0 || report.Unsettled != "" || len(report.Config) > 0 || len(report.FailedSteps)+len(report.Crashes) > 0 || report.Runs == 0 {
		return errs.New(errs.Unhealthy, "%d rule violations, %d steps not carried out, %d crashes", len(report.Breaches)+len(report.Config),
			len(report.FailedSteps), len(report.Crashes))
	}
	return nil
}
