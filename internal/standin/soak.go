package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"caperwheel/internal/errs"
)

// Limits of a soak.
const (
	MinProcesses          = 12 // three managers, three stores, three fronts with two processes each
	MaxProcesses          = 300
	MinSoakDuration       = 10 * time.Second
	nonFrontProcesses     = 6                 // processes on core and storage machines
	processesPerFront     = 2                 // adapter and agent
	callersPerFront       = 8                 // held callers per front
	maxCallers            = 200               // for all fronts together
	soakGrace             = 8 * time.Second   // grace period of processes
	finalStateTimeout     = 150 * time.Second // for messages to end after the last fault, as long as some do
	finalStateIdleTimeout = 20 * time.Second  // without any message ending
	soakRetention         = 600               // seconds
	maxMessageDelay       = 90 * time.Second
	tenantRatePerFront    = 50 // messages per second that the tenants' limits allow for
	customerSeedStream    = 33 // random stream of the tenants, separate from others of the same seed
	maxTraces             = 3
	logTailLines          = 6 // of each daemon's log
)

// SoakOptions are the parameters of a soak.
type SoakOptions struct {
	Seed      uint64
	For       time.Duration // duration of load and faults
	Processes int
	Bin, Dir  string                         // directories of the built programs, and of data and logs
	Progress  func(form string, args ...any) // reports progress; may be nil
}

// Check returns an error of kind errs.Invalid that names an invalid option.
func (o SoakOptions) Check() error {
	switch {
	case o.For < MinSoakDuration:
		return errs.New(errs.Invalid, "the duration of a soak must be at least %v", MinSoakDuration)
	case o.Processes < MinProcesses || o.Processes > MaxProcesses:
		return errs.New(errs.Invalid, "the number of processes must be from %d to %d", MinProcesses, MaxProcesses)
	}
	return nil
}

// SoakPlan returns the deployment of a soak: the small plan with enough workers for the held callers, as many fronts
// as the number of processes allows, and delays of up to half the soak's duration.
func SoakPlan(o SoakOptions) SitePlan {
	plan := SmallPlan()
	plan.Grace, plan.IsSlow, plan.Deadline = soakGrace, true, responseTimeout
	plan.Fronts = max(1, (o.Processes-nonFrontProcesses)/processesPerFront/len(plan.Zones))
	for i := range plan.Routes {
		plan.Routes[i].Timeout, plan.Routes[i].Retention = 8000, soakRetention
	}
	for i := range plan.Services {
		p := &plan.Services[i]
		p.Slots, p.Queue, p.MaxConns, p.Work = 4*p.Slots, 4*p.Queue, 4*p.MaxConns, 4*p.Work // runs are under way at any stop
		p.Count *= plan.Fronts                                                              // at every front
	}
	plan.Loads[0].Rate, plan.Loads[1].Rate, plan.Loads[2].Rate = 50, 45, 1
	plan.Loads[1].Keys *= plan.Fronts // messages with the same key run one after another
	plan.Loads[0].MaxDelay = min(maxMessageDelay, o.For/2)
	plan.Customers = customers(rand.New(rand.NewPCG(o.Seed, customerSeedStream)), float64(tenantRatePerFront*plan.Fronts*len(plan.Zones)))
	return plan
}

// Soak runs a deployment with held callers through a series of faults. It writes every breach to out, with a trace of
// the messages in the first ones.
func Soak(ctx context.Context, o SoakOptions, out io.Writer) (Figures, error) {
	if err := o.Check(); err != nil {
		return Figures{}, err
	}
	plan := SoakPlan(o)
	s, err := New(plan, o.Bin, o.Dir)
	if s != nil {
		defer s.Down()
	}
	if err != nil {
		return Figures{}, err
	}
	s.hasRandomFaults = true
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	ended := make(chan error, 1)
	go func() { ended <- s.upAndSoak(ctx, o, plan) }()
	select {
	case err = <-ended:
	case <-ctx.Done(): // in any phase; Down stops the processes
		err = ctx.Err()
	}
	if ctx.Err() != nil {
		return Figures{}, errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "the soak was cancelled")
	}
	if err != nil {
		return Figures{}, err
	}
	o.Progress("judging the history")
	s.requireRuns()
	s.requireRecovery()
	figures := s.Report(false)
	figures.Breaches = append(figures.Breaches, JudgeWaits(s.History)...)
	s.writeBreaches(out, o, figures)
	return figures, nil
}

// upAndSoak starts the deployment and runs the soak.
func (s *Site) upAndSoak(ctx context.Context, o SoakOptions, plan SitePlan) error {
	upCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Up(upCtx); err != nil {
		return err
	}
	s.soak(ctx, o, plan)
	return nil
}

// soak runs load and faults, restarts all machines, and collects the final states of all messages.
func (s *Site) soak(ctx context.Context, o SoakOptions, plan SitePlan) {
	fronts := plan.Fronts * len(s.Zones)
	loadCtx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	faultsEnded := make(chan struct{})
	series := FaultSeries(o.Seed, o.For, fronts, len(s.Zones))
	series.Steps = append(series.Steps, TenantFaultSteps(o.Seed, o.For)...)
	go func() { s.InjectFaults(loadCtx, series); close(faultsEnded) }()
	go s.ObserveMessages(loadCtx)
	s.RunHeldCallers(loadCtx, o.Seed, max(3*callersPerFront, min(maxCallers, callersPerFront*fronts)))
	o.Progress("held callers called for %v; waiting for the faults to end", o.For)
	<-faultsEnded
	var restarts sync.WaitGroup
	for _, m := range s.Machines {
		restarts.Go(m.restart)
	}
	restarts.Wait()
	s.operator.addMissingKeys(ctx)
	o.Progress("all machines are well again; collecting final states")
	finalStateCtx, cancel := context.WithTimeout(ctx, finalStateTimeout)
	defer cancel()
	s.CollectOpenFinalStates(finalStateCtx, finalStateIdleTimeout+plan.Loads[0].MaxDelay, o.Progress)
	readCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	s.operator.readBack(readCtx)
}

// tokens matches the tokens of submissions in the text of a breach.
var tokens = regexp.MustCompile(`\bt\d+-[0-9a-f]+\b`)

// writeBreaches writes all breaches and failures, with a trace of the messages in the first breaches.
func (s *Site) writeBreaches(out io.Writer, o SoakOptions, f Figures) {
	for i, b := range f.Breaches {
		fmt.Fprintf(out, "seed %d: %s: %s\n", o.Seed, b.Rule, b.Text)
		if i >= maxTraces {
			continue
		}
		for _, token := range slices.Compact(tokens.FindAllString(b.Text, -1)) {
			s.writeTrace(out, token)
			s.writeLocations(out, token)
		}
	}
	for _, text := range append(slices.Clone(f.Failures), f.Crashes...) {
		fmt.Fprintf(out, "seed %d: %s\n", o.Seed, text)
	}
	if len(f.Breaches) > 0 {
		s.writeLogTails(out)
	}
}

// writeTrace writes everything recorded about a submission, and the disruptions around that time.
func (s *Site) writeTrace(out io.Writer, token string) {
	s.History.WithLock(func() {
		i := slices.IndexFunc(s.History.Sent, func(x Submission) bool { return x.Token == token })
		if i < 0 {
			return
		}
		x := s.History.Sent[i]
		fmt.Fprintf(out, "  %9v  %s sent to %s on %s, key %q, delay %v, tenant %q, operation %q\n", x.SentAt.Round(time.Millisecond), token, x.Daemon, x.Lane,
			x.Key, x.Delay, x.Tenant, x.Operation)
		fmt.Fprintf(out, "  %9v  response %d %s, connection broken %t, request read %t\n", x.AnsweredAt.Round(time.Millisecond), x.Code, x.Outcome, x.IsConnectionBroken, x.IsFullyRead)
		for _, r := range s.History.Runs {
			if r.Token == token {
				fmt.Fprintf(out, "  %9v  runs at %s until %v: %d\n", r.Start.Round(time.Millisecond), r.Worker, r.End.Round(time.Millisecond), r.Status)
			}
		}
		if end, isReported := s.History.FinalStates[token]; isReported {
			fmt.Fprintf(out, "  %9v  final state reported: %q\n", end.At.Round(time.Millisecond), end.State)
		}
		for _, t := range s.History.Disruptions {
			if t.From <= x.AnsweredAt+contactBound && (t.Until == 0 || t.Until >= x.SentAt-contactBound) {
				fmt.Fprintf(out, "  %9v  %s is disrupted until %v, planned %t\n", t.From.Round(time.Millisecond), t.Daemon, t.Until.Round(time.Millisecond), t.IsPlanned)
			}
		}
	})
}

// writeLogTails writes the last lines of each daemon's log.
func (s *Site) writeLogTails(out io.Writer) {
	files, _ := filepath.Glob(filepath.Join(s.Dir, "log", "*.log"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		for _, line := range lines[max(0, len(lines)-logTailLines):] {
			fmt.Fprintf(out, "  %s: %s\n", strings.TrimSuffix(filepath.Base(file), ".log"), line)
		}
	}
}
