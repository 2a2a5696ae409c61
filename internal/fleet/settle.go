package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/intake"
)

// Settle reads the status of every message that was taken or whose outcome is undecided, until all have a final state
// or ctx ends, and records these. With isWithBody it also reads the bodies back.
func (f *Fleet) Settle(ctx context.Context, isWithBody bool) error {
	open := []check.Sent{}
	all, _, _ := f.History.Snapshot()
	for _, s := range all {
		if s.Id != "" && s.Outcome != check.NotTaken {
			open = append(open, s)
		}
	}
	pool := pond.NewPool(32)
	defer pool.Stop()
	for ctx.Err() == nil && len(open) > 0 {
		left := make(chan check.Sent, len(open))
		group := pool.NewGroup()
		for i, s := range open {
			group.Submit(func() {
				if !f.readFinalStatus(ctx, s, i, isWithBody) {
					left <- s
				}
			})
		}
		_ = group.Wait()
		close(left)
		open = open[:0]
		for s := range left {
			open = append(open, s)
		}
		if len(open) > 0 {
			sleep(ctx, 200*time.Millisecond)
		}
	}
	if len(open) > 0 {
		return errs.New(errs.DeadlineExceeded, "%d messages have no final state, for example %s", len(open), open[0].Id)
	}
	return nil
}

// readFinalStatus reads and records the status of a message, and of its call-back, from the adapter selected by turn.
// It reports whether the message is final or unknown; false also if it could not be read.
func (f *Fleet) readFinalStatus(ctx context.Context, s check.Sent, turn int, isWithBody bool) bool {
	base := "http://" + f.Adapters[turn%len(f.Adapters)].Http + "/v1/messages/" + s.Id
	query := ""
	if s.Outcome == check.Undecided {
		query = "?settle=true" // settles the outcome, so that it becomes definite
	}
	code, _, raw, err := SendRequest(ctx, "GET", base+query, "", nil)
	if err != nil || code != 200 && code != 404 {
		return false
	}
	var m intake.Message
	if json.Unmarshal(raw, &m) != nil {
		return false
	}
	end := check.FinalState{State: m.State}
	if code == 404 {
		end.State = "unknown"
	}
	if m.Proof != nil {
		end.Attempt, end.Worker, end.AnswerSum = m.Proof.Attempt, m.Proof.Worker, Checksum(m.Proof.Answer)
	}
	if isWithBody && code == 200 {
		if code, _, raw, err := SendRequest(ctx, "GET", base+"/body", "", nil); err == nil && code == 200 {
			end.BodySum = Checksum(raw)
		}
	}
	end.CallbackId = m.Callback
	f.History.AddFinal(s.Id, end)
	if end.State == "held" || end.State == "started" {
		return false
	}
	return m.Callback == "" || f.readFinalStatus(ctx, check.Sent{Id: m.Callback, Outcome: check.Taken}, turn, false)
}

// Report is the result of a run of a fleet, as the fleet command prints it in JSON.
type Report struct {
	Sent              int                `json:"sent"`
	Taken             int                `json:"taken"`
	NotTaken          int                `json:"not_taken"`
	Undecided         int                `json:"undecided"`
	Runs              int                `json:"runs"`
	Codes             map[string]int     `json:"codes"` // answers to callers, by HTTP status; "0" for none
	Ends              map[string]int     `json:"ends"`  // messages by final state
	IntakeP50         string             `json:"intake_p50"`
	IntakeP99         string             `json:"intake_p99"`
	CompletionP50     string             `json:"end_p50"` // from sending to the end of a successful run
	CompletionP99     string             `json:"end_p99"`
	Breaches          []check.Breach     `json:"breaches"`
	Unsettled         string             `json:"unsettled,omitempty"`        // why messages have no final state
	Config            []string           `json:"charter,omitempty"`          // breaches found in configuration changes
	FailedSteps       []string           `json:"not_carried_out,omitempty"`  // see Fleet
	Crashes           []string           `json:"crashes,omitempty"`          // crash reports in the daemons' logs
	ExcusedRepeats    int                `json:"doubled_by_killed_adapters"` // see check.History
	StatusReads       int                `json:"asked_for_meanwhile"`        // status reads during faults
	CheckedRecoveries int                `json:"recoveries_judged"`          // see check.History
	Counters          map[string]float64 `json:"counts,omitempty"`           // see Fleet.SumCounters
	PerSecond         []int              `json:"runs_ended_per_second"`      // successful runs
}

// Report checks the history of the run and returns its figures. unsettled is the error of Settle.
func (f *Fleet) Report(c *Callers, unsettled error) Report {
	sent, runs, ends := f.History.Snapshot()
	out := Report{Sent: len(sent), Runs: len(runs), Codes: map[string]int{}, Ends: map[string]int{},
		Breaches: check.Check(f.History), FailedSteps: f.FailedSteps, Crashes: f.Crashes()}
	out.ExcusedRepeats, out.CheckedRecoveries, out.StatusReads = f.History.ExcusedRepeats, f.History.CheckedRecoveries, len(f.History.Reads)
	for code, n := range c.StatusCodes {
		out.Codes[fmt.Sprint(code)] = n
	}
	sentAt := map[string]time.Duration{}
	for _, s := range sent {
		sentAt[s.Token] = s.SentAt
		switch s.Outcome {
		case check.Taken:
			out.Taken++
		case check.NotTaken:
			out.NotTaken++
		default:
			out.Undecided++
		}
	}
	for _, e := range ends {
		out.Ends[e.State]++
	}
	completions := []time.Duration{}
	for _, r := range runs {
		if at, isSent := sentAt[r.Token]; isSent && r.Status == 200 {
			completions = append(completions, r.End-at)
		}
	}
	out.IntakeP50, out.IntakeP99 = Percentile(c.IntakeLatencies, 0.5).String(), Percentile(c.IntakeLatencies, 0.99).String()
	out.CompletionP50, out.CompletionP99 = Percentile(completions, 0.5).String(), Percentile(completions, 0.99).String()
	for _, r := range runs {
		if r.Status != 200 {
			continue
		}
		for second := int(r.End.Seconds()); len(out.PerSecond) <= second; {
			out.PerSecond = append(out.PerSecond, 0)
		}
		out.PerSecond[int(r.End.Seconds())]++
	}
	if unsettled != nil {
		out.Unsettled = unsettled.Error()
	}
	return out
}
