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
	LeastProcesses = 12 // three managers, three stores, three fronts of two processes each
	MostProcesses  = 300
	LeastSoak      = 10 * time.Second
	othersOfSite   = 6                 // processes that are no front's
	ofFront        = 2                 // processes of a front
	callersOfFront = 8                 // held callers for each front
	mostCallers    = 200               // of all fronts
	soakGrace      = 8 * time.Second   // that processes are told of
	soakSettle     = 150 * time.Second // for what was accepted to end, once all is well: as long as any ends
	soakQuiet      = 20 * time.Second  // while none does
	soakRetention  = 600               // seconds for which a message is kept
	mostDelay      = 90 * time.Second
	heldRate       = 50 // messages a second that tenants are meant to send to a front
	customerStream = 33 // the stream of chance of tenants, apart from others of the same seed
	mostStories    = 3
	storyLines     = 6 // of each daemon's log
)

// SoakOptions are what a soak is made of.
type SoakOptions struct {
	Seed      uint64
	For       time.Duration // how long callers call
	Processes int
	Bin, Dir  string                         // built programs; a folder for data and logs
	Tell      func(form string, args ...any) // how far it is, if given
}

// Check returns a typed error that names what is wrong.
func (o SoakOptions) Check() error {
	switch {
	case o.For < LeastSoak:
		return errs.New(errs.Invalid, "a soak lasts %v at least", LeastSoak)
	case o.Processes < LeastProcesses || o.Processes > MostProcesses:
		return errs.New(errs.Invalid, "processes must be from %d to %d", LeastProcesses, MostProcesses)
	}
	return nil
}

// SoakPlan is the deployment of a soak: that of Small with workers that bear its
// callers, as many fronts as the processes allow, and delays up to the soak's length.
func SoakPlan(o SoakOptions) SitePlan {
	plan := Small()
	plan.Grace, plan.IsSlow, plan.Deadline = soakGrace, true, heldAnswer
	plan.Fronts = max(1, (o.Processes-othersOfSite)/ofFront/len(plan.Zones))
	for i := range plan.Routes {
		plan.Routes[i].Timeout, plan.Routes[i].Retention = 8000, soakRetention
	}
	for i := range plan.Services {
		p := &plan.Services[i]
		p.Slots, p.Queue, p.Conns, p.Work = 4*p.Slots, 4*p.Queue, 4*p.Conns, 4*p.Work // runs are in hand whenever a front goes
		p.Count *= plan.Fronts                                                        // and at every front
	}
	plan.Loads[0].Rate, plan.Loads[1].Rate, plan.Loads[2].Rate = 50, 45, 1
	plan.Loads[1].Keys *= plan.Fronts // the messages of a key run one after another
	plan.Loads[0].MostDelay = min(mostDelay, o.For/2)
	plan.Customers = customers(rand.New(rand.NewPCG(o.Seed, customerStream)), float64(heldRate*plan.Fronts*len(plan.Zones)))
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
	s.isDrawn = true
	if o.Tell == nil {
		o.Tell = func(string, ...any) {}
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
	o.Tell("judging")
	s.needRuns()
	s.needHealed()
	figures := s.Report(false)
	figures.Breaches = append(figures.Breaches, JudgeWaits(s.History)...)
	s.tellBreaches(out, o, figures)
	return figures, nil
}

// upAndSoak starts the deployment and soaks it.
func (s *Site) upAndSoak(ctx context.Context, o SoakOptions, plan SitePlan) error {
	upCtx, cancel := context.WithTimeout(ctx, upBound)
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
	series := Series(o.Seed, o.For, fronts, len(s.Zones))
	series.Steps = append(series.Steps, TenantSteps(o.Seed, o.For)...)
	go func() { s.Cause(loadCtx, series); close(caused) }()
	go s.Probe(loadCtx)
	s.HoldCalls(loadCtx, o.Seed, max(3*callersOfFront, min(mostCallers, callersOfFront*fronts)))
	o.Tell("called for %v; faults end", o.For)
	<-caused
	var restarts sync.WaitGroup
	for _, m := range s.Machines {
		restarts.Go(m.restart)
	}
	restarts.Wait()
	s.operator.giveMissingKeys(ctx)
	o.Tell("all is well again")
	settleCtx, cancel := context.WithTimeout(ctx, soakSettle)
	defer cancel()
	s.SettleOpen(settleCtx, soakQuiet+plan.Loads[0].MostDelay, o.Tell)
	readCtx, cancel := context.WithTimeout(ctx, configBound)
	defer cancel()
	s.operator.readBack(readCtx)
}

var tokens = regexp.MustCompile(`\bt\d+-[0-9a-f]+\b`)

// tellBreaches writes each broken rule, and for the first ones the message's story.
func (s *Site) tellBreaches(out io.Writer, o SoakOptions, f Figures) {
	for i, b := range f.Breaches {
		fmt.Fprintf(out, "seed %d: %s: %s\n", o.Seed, b.Rule, b.Text)
		if i >= mostStories {
			continue
		}
		for _, token := range slices.Compact(tokens.FindAllString(b.Text, -1)) {
			s.tellStory(out, token)
			s.tellWhere(out, token)
		}
	}
	for _, text := range append(slices.Clone(f.Failures), f.Crashes...) {
		fmt.Fprintf(out, "seed %d: %s\n", o.Seed, text)
	}
	if len(f.Breaches) > 0 {
		s.tellLogs(out)
	}
}

// tellStory writes all that was seen of a message, and the troubles of the daemons
// meanwhile.
func (s *Site) tellStory(out io.Writer, token string) {
	s.History.Add(func() {
		i := slices.IndexFunc(s.History.Sent, func(x Sent) bool { return x.Token == token })
		if i < 0 {
			return
		}
		x := s.History.Sent[i]
		fmt.Fprintf(out, "  %9v  %s sent to %s on %s, key %q, delay %v, tenant %q, operation %q\n", x.At.Round(time.Millisecond), token, x.Daemon, x.Lane,
			x.Key, x.Delay, x.Tenant, x.Operation)
		fmt.Fprintf(out, "  %9v  answer %d %s, session broken %t, read %t\n", x.ToldAt.Round(time.Millisecond), x.Code, x.Told, x.IsBroken, x.IsRead)
		for _, r := range s.History.Runs {
			if r.Token == token {
				fmt.Fprintf(out, "  %9v  runs at %s until %v: %d\n", r.Start.Round(time.Millisecond), r.Worker, r.End.Round(time.Millisecond), r.Status)
			}
		}
		if end, isAsked := s.History.Ends[token]; isAsked {
			fmt.Fprintf(out, "  %9v  said to be %q\n", end.At.Round(time.Millisecond), end.State)
		}
		for _, t := range s.History.Troubles {
			if t.From <= x.ToldAt+contact && (t.Until == 0 || t.Until >= x.At-contact) {
				fmt.Fprintf(out, "  %9v  %s is in trouble until %v, planned %t\n", t.From.Round(time.Millisecond), t.Daemon, t.Until.Round(time.Millisecond), t.IsPlanned)
			}
		}
	})
}

// tellLogs writes the last lines of each daemon.
func (s *Site) tellLogs(out io.Writer) {
	files, _ := filepath.Glob(filepath.Join(s.Dir, "log", "*.log"))
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		for _, line := range lines[max(0, len(lines)-storyLines):] {
			fmt.Fprintf(out, "  %s: %s\n", strings.TrimSuffix(filepath.Base(file), ".log"), line)
		}
	}
}
