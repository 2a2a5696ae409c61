package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// Figures are the counts and breaches of a run.
type Figures struct {
	Tries                int            `json:"tries"`
	AcceptedAgain        int            `json:"accepted_again"` // submissions of messages that had been accepted before
	AdminRequests        int            `json:"asked_at_other_doors"`
	Changes              int            `json:"changes"`
	Processes            int            `json:"processes"`
	Codes                map[int]int    `json:"codes"` // 0: no complete response
	LongestAcceptGap     string         `json:"longest_without_an_accept"`
	LongestAcceptGapFrom string         `json:"longest_without_an_accept_from"`
	Runs                 int            `json:"runs"`
	Repeats              int            `json:"repeated_successes"`
	Early                int            `json:"begun_before_their_delay"`
	FinalStates          map[string]int `json:"ends"`
	Callbacks            int            `json:"call_backs"`
	MissingCallbacks     int            `json:"call_backs_owed"`
	Edits                map[int]int    `json:"configurations"`
	Calls                int            `json:"calls_to_the_list"`
	CallsOverRate        int            `json:"calls_over_its_rate"`
	Failures             []string       `json:"failures"`

	Tenants []TenantFigures `json:"tenants"`

	Crashes  []string       `json:"crashes"`
	Breaches []check.Breach `json:"breaches"`
}

// Report judges the history and counts what it contains.
func (s *Site) Report(isTimed bool) Figures {
	out := Figures{Codes: map[int]int{}, FinalStates: map[string]int{}, Edits: map[int]int{}, Breaches: Judge(s.History, isTimed), Crashes: s.Crashes()}
	s.List.mu.Lock()
	out.Calls, out.CallsOverRate = s.List.Calls, s.List.CallsOverRate
	s.List.mu.Unlock()
	s.failuresMu.Lock()
	out.Failures = append(out.Failures, s.Failures...)
	s.failuresMu.Unlock()
	h := s.History
	h.mu.Lock()
	defer h.mu.Unlock()
	out.AdminRequests, out.Changes = len(h.AdminRequests), len(h.Edits)
	for _, m := range s.Machines {
		out.Processes += len(m.Processes)
	}
	out.Tries, out.Runs, out.Callbacks = len(h.Sent), len(h.Runs), len(h.Callbacks)
	j := newJudge(h)
	out.Tenants = j.tenantFigures()
	sent, notified, succeeded := map[string]Submission{}, map[*operation]bool{}, map[string]bool{}
	for _, x := range h.Sent {
		sent[x.Token] = x
		out.Codes[x.Code]++
		if x.Outcome == check.Taken && !j.isFirstAccept(x) {
			out.AcceptedAgain++
		}
	}
	gap, from := longestAcceptGap(h.Sent)
	out.LongestAcceptGap, out.LongestAcceptGapFrom = gap.Round(time.Millisecond).String(), from.Round(time.Millisecond).String()
	for _, t := range h.Callbacks {
		notified[j.operations[t.Token]] = true
	}
	for _, r := range h.Runs {
		if x := sent[r.Token]; r.Start < x.SentAt+x.Delay-maxEarlyStart {
			out.Early++
		}
		if succeeded[r.Token] {
			out.Repeats++
		}
		succeeded[r.Token] = succeeded[r.Token] || r.Status == 200
	}
	for token, end := range h.FinalStates {
		out.FinalStates[end.State]++
		if x := sent[token]; x.IsNotified && !notified[j.operations[token]] && end.State != "queued" {
			out.MissingCallbacks++
		}
	}
	for _, e := range h.Edits {
		out.Edits[e.Code]++
	}
	return out
}

// longestAcceptGap returns the longest time without an accepted submission, and its start on the site's clock.
func longestAcceptGap(sent []Submission) (gap, from time.Duration) {
	acceptedAt := []time.Duration{}
	for _, x := range sent {
		if x.Code == 202 {
			acceptedAt = append(acceptedAt, x.AnsweredAt)
		}
	}
	slices.Sort(acceptedAt)
	for i := 1; i < len(acceptedAt); i++ {
		if acceptedAt[i]-acceptedAt[i-1] > gap {
			gap, from = acceptedAt[i]-acceptedAt[i-1], acceptedAt[i-1]
		}
	}
	return gap, from
}

// IsClean reports whether the run had no breach, failure or crash, and at least one run of a message.
func (f Figures) IsClean() bool {
	return len(f.Breaches)+len(f.Failures)+len(f.Crashes) == 0 && f.Runs > 0
}

const (
	startTimeout = time.Minute
	quietPeriod  = 3 * time.Second // between the last faults and the final queries
)

// RunSchedule runs the small deployment under load and a fault schedule for a time, and writes the figures as JSON.
// It returns an error if a rule was broken or anything failed.
func RunSchedule(ctx context.Context, bin, dir string, schedule fleet.Schedule, length time.Duration, out io.Writer) error {
	plan := SmallPlan()
	s, err := New(plan, bin, dir)
	if s != nil {
		defer s.Down()
	}
	if err != nil {
		return err
	}
	upCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Up(upCtx); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "fleet: every front is ready after %v.\n", s.Now().Round(time.Millisecond))
	loadCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	faultsEnded := make(chan struct{})
	go func() { s.InjectFaults(loadCtx, schedule); close(faultsEnded) }()
	go s.ObserveMessages(loadCtx)
	s.RunTraffic(loadCtx, plan.Loads, plan.Deadline)
	<-faultsEnded
	for _, m := range s.Machines {
		m.restart()
	}
	s.operator.addMissingKeys(ctx)
	sleep(ctx, quietPeriod)
	finalStateCtx, cancel := context.WithTimeout(ctx, finishBound)
	defer cancel()
	s.CollectFinalStates(finalStateCtx)
	readCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	s.operator.readBack(readCtx)
	figures := s.Report(true)
	raw, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the report")
	}
	fmt.Fprintln(out, string(raw))
	if !figures.IsClean() {
		return errs.New(errs.Unhealthy, "the run had %d breaches of rules, %d failures and %d crashes", len(figures.Breaches), len(figures.Failures), len(figures.Crashes))
	}
	return nil
}
