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
	MinProcesses          = 12 // three managers, three stores, three fronts of two processes each
	MaxProcesses          = 300
	MinSoakDuration       = 10 * time.Second
	nonFrontProcesses     = 6                 // processes that are no front's
	processesPerFront     = 2                 // processes of a front
	callersPerFront       = 8                 // held callers for each front
	maxCallers            = 200               // of all fronts
	soakGrace             = 8 * time.Second   // that processes are told of
	finalStateTimeout     = 150 * time.Second // for what was accepted to end, once all is well: as long as any ends
	finalStateIdleTimeout = 20 * time.Second  // while none does
	soakRetention         = 600               // seconds for which a message is kept
	maxMessageDelay       = 90 * time.Second
	tenantRatePerFront    = 50 // messages a second that tenants are meant to send to a front
	customerSeedStream    = 33 // the stream of chance of tenants, apart from others of the same seed
	maxTraces             = 3
	logTailLines          = 6 // of each daemon's log
)

// SoakOptions are what a soak is made of.
type SoakOptions struct {
	Seed      uint64
	For       time.Duration // how long callers call
	Processes int
	Bin, Dir  string                         // built programs; a folder for data and logs
	Progress  func(form string, args ...any) // how far it is, if given
}

// Check returns a typed error that names what is wrong.
func (o SoakOptions) Check() error {
	switch {
	case o.For < MinSoakDuration:
		return errs.New(errs.Invalid, "a soak lasts %v at least", MinSoakDuration)
	case o.Processes < MinProcesses || o.Processes > MaxProcesses:
		return errs.New(errs.Invalid, "processes must be from %d to %d", MinProcesses, MaxProcesses)
	}
	return nil
}

// SoakPlan is the deployment of a soak: that of Small with workers that bear its
// callers, as many fronts as the processes allow, and delays up to the soak's length.
func SoakPlan(o SoakOptions) SitePlan {
	plan := SmallPlan()
	plan.Grace, plan.IsSlow, plan.Deadline = soakGrace, true, responseTimeout
	plan.Fronts = max(1, (o.Processes-nonFrontProcesses)/processesPerFront/len(plan.Zones))
	for i := range plan.Routes {
		plan.Routes[i].Timeout, plan.Routes[i].Retention = 8000, soakRetention
	}
	for i := range plan.Services {
		p := &plan.Services[i]
		p.Slots, p.Queue, p.MaxConns, p.Work = 4*p.Slots, 4*p.Queue, 4*p.MaxConns, 4*p.Work // runs are in hand whenever a front goes
		p.Count *= plan.Fronts                                                              // and at every front
	}
	plan.Loads[0].Rate, plan.Loads[1].Rate, plan.Loads[2].Rate = 50, 45, 1
	plan.Loads[1].Keys *= plan.Fronts // the messages of a key run one after another
	plan.Loads[0].MaxDelay = min(maxMessageDelay, o.For/2)
	plan.Customers = customers(rand.New(rand.NewPCG(o.Seed, customerSeedStream)), float64(tenantRatePerFront*plan.Fronts*len(plan.Zones)))
	return plan
}

// Soak runs a deployment through a series of faults under held callers, and writes
// what was broken, with the stories of some messages.
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
	case <-ctx.Done(): // whatever it is doing; what it has started goes with the site
		err = ctx.Err()
	}
	if ctx.Err() != nil {
		return Figures{}, errs.Wrap(ctx.Err(), errs.DeadlineExceeded, "soak")
	}
	if err != nil {
		return Figures{}, err
	}
	o.Progress("judging")
	s.requireRuns()
	s.requireRecovery()
	figures := s.Report(false)
	figures.Breaches = append(figures.Breaches, JudgeWaits(s.History)...)
	s.writeBreaches(out, o, figures)
	return figures, nil
}

// upAndSoak starts the deployment and soaks it.
func (s *Site) upAndSoak(ctx context.Context, o SoakOptions, plan SitePlan) error {
	upCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Up(upCtx); err != nil {
		return err
	}
	s.soak(ctx, o, plan)
	return nil
}

// soak calls and causes faults, heals all, and asks what became of everything.
func (s *Site) soak(ctx context.Context, o SoakOptions, plan SitePlan) {
	fronts := plan.Fronts * len(s.Zones)
	loadCtx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	caused := make(chan struct{})
	series := FaultSeries(o.Seed, o.For, fronts, len(s.Zones))
	series.Steps = append(series.Steps, TenantFaultSteps(o.Seed, o.For)...)
	go func() { s.InjectFaults(loadCtx, series); close(caused) }()
	go s.ObserveMessages(loadCtx)
	s.RunHeldCallers(loadCtx, o.Seed, max(3*callersPerFront, min(maxCallers, callersPerFront*fronts)))
	o.Progress("called for %v; faults end", o.For)
	<-caused
	var restarts sync.WaitGroup
	for _, m := range s.Machines {
		restarts.Go(m.restart)
	}
	restarts.Wait()
	s.operator.addMissingKeys(ctx)
	o.Progress("all is well again")
	settleCtx, cancel := context.WithTimeout(ctx, finalStateTimeout)
	defer cancel()
	s.CollectOpenFinalStates(settleCtx, finalStateIdleTimeout+plan.Loads[0].MaxDelay, o.Progress)
	readCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	s.operator.readBack(readCtx)
}

var tokens = regexp.MustCompile(`\bt\d+-[0-9a-f]+\b`)

// writeBreaches writes each broken rule, and for the first ones the message's story.
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

// writeTrace writes all that was seen of a message, and the troubles of the daemons
// meanwhile.
func (s *Site) writeTrace(out io.Writer, token string) {
	s.History.WithLock(func() {
		i := slices.IndexFunc(s.History.Sent, func(x Submission) bool { return x.Token == token })
		if i < 0 {
			return
		}
		x := s.History.Sent[i]
		fmt.Fprintf(out, "  %9v  %s sent to %s on %s, key %q, delay %v, tenant %q, operation %q\n", x.SentAt.Round(time.Millisecond), token, x.Daemon, x.Lane,
			x.Key, x.Delay, x.Tenant, x.Operation)
		fmt.Fprintf(out, "  %9v  answer %d %s, session broken %t, read %t\n", x.AnsweredAt.Round(time.Millisecond), x.Code, x.Outcome, x.IsConnectionBroken, x.IsFullyRead)
		for _, r := range s.History.Runs {
			if r.Token == token {
				fmt.Fprintf(out, "  %9v  runs at %s until %v: %d\n", r.Start.Round(time.Millisecond), r.Worker, r.End.Round(time.Millisecond), r.Status)
			}
		}
		if end, isAsked := s.History.FinalStates[token]; isAsked {
			fmt.Fprintf(out, "  %9v  said to be %q\n", end.At.Round(time.Millisecond), end.State)
		}
		for _, t := range s.History.Disruptions {
			if t.From <= x.AnsweredAt+contactBound && (t.Until == 0 || t.Until >= x.SentAt-contactBound) {
				fmt.Fprintf(out, "  %9v  %s is in trouble until %v, planned %t\n", t.From.Round(time.Millisecond), t.Daemon, t.Until.Round(time.Millisecond), t.IsPlanned)
			}
		}
	})
}

// writeLogTails writes the last lines of each daemon.
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
