package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/check"
	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// soakSeed and soakSpan are used in continuous integration; longer soaks are run by hand.
const (
	soakSeed = 3
	soakSpan = 60 * time.Second
)

// TestSoak runs a short soak on real processes, built with the race detector: a process that finds a race exits with
// a status of its own. The verdict does not depend on the speed of the machine.
func TestSoak(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	dir := t.TempDir()
	Convey("Under a series of stops, restarts and changes every request gets its response and every message ends", t, func() {
		So(fleet.Build(ctx, "../..", filepath.Join(dir, "bin"), true), ShouldBeNil)
		out := &bytes.Buffer{}
		figures, err := Soak(ctx, SoakOptions{Seed: soakSeed, For: soakSpan, Processes: MinProcesses, Bin: filepath.Join(dir, "bin"), Dir: dir}, out)
		So(err, ShouldBeNil)
		So(out.String(), ShouldBeEmpty)
		So(figures.IsClean(), ShouldBeTrue)
		So(figures.Codes[202], ShouldBeGreaterThan, 100)
		So(figures.Codes[401], ShouldBeGreaterThan, 10)
		So(figures.AcceptedAgain, ShouldBeGreaterThan, 10)
		So(figures.AdminRequests, ShouldBeGreaterThan, 10)
		So(figures.Processes, ShouldEqual, MinProcesses)
	})
}

// setFinalState sets the final state of the queued message of cleanHistory.
func setFinalState(h *History, state string, at time.Duration) {
	h.FinalStates["w"] = FinalState{state, "", "sum of w", at}
}

// TestSoakIsNotBlind breaks each rule that a soak checks on purpose.
func TestSoakIsNotBlind(t *testing.T) {
	broken := []struct {
		rule, text string
		breakRule  func(h *History)
	}{
		{RuleLost, "a request that was read but got no response", func(h *History) {
			x := newSubmission("c", "r", "", 40*s, check.Undecided, 0)
			x.IsConnectionBroken, x.IsFullyRead = true, true
			h.Sent = append(h.Sent, x)
		}},
		{RuleLost, "a request to an admin endpoint that was read but got no response", func(h *History) {
			x := newSubmission("/metrics", "/metrics", "", 40*s, check.Undecided, 0)
			x.IsConnectionBroken, x.IsFullyRead = true, true
			h.AdminRequests = append(h.AdminRequests, x)
		}},
		{RuleLost, "a message that runs although its caller's connection was broken", func(h *History) {
			addBrokenConnection(h, 7*ms, true)
			h.Runs = append(h.Runs, newRun("c", "p", "w", 41*s, 42*s, 200))
		}},
		{RuleLost, "an unknown message at the end", func(h *History) { setFinalState(h, "unknown", 60*s) }},
		{RuleMixed, "a message reported as a dead letter that has not ended", func(h *History) { setFinalState(h, "dead_letter", 60*s) }},
		{RuleOrder, "a run before the end of its delay", func(h *History) { h.Sent[0].Delay = s }},
		{RuleOrder, "runs of a key out of order", func(h *History) { h.Runs[3].Start = 14*s + 500*ms }},
		{RuleTwice, "a run after a reported success", func(h *History) { h.Runs = append(h.Runs, newRun("a", "p", "w", 20*s, 21*s, 200)) }},
		{RuleLying, "a message that is queued without a reason", func(h *History) { setFinalState(h, "queued", 60*s) }},
		{RuleLying, "a message that is queued long after the last disruption", func(h *History) {
			setFinalState(h, "queued", 60*s)
			h.Disruptions = []Disruption{{Daemon: "front-1", From: 30 * s, Until: 40 * s}, {Daemon: "front-2", From: 30 * s, IsPermanent: true}}
		}},
		{RuleLying, "a message accepted after the removal of its route must be applied", func(h *History) {
			setFinalState(h, "queued", 60*s)
			removeRoute(h, 9, 10*s)
			h.Sent[5].SentAt, h.Sent[5].AnsweredAt = 14*s, 14*s+10*ms
		}},
		{RuleLying, "a message whose delay ended long ago", func(h *History) {
			setFinalState(h, "queued", 60*s)
			h.Sent[5].Delay = 10 * s
		}},
	}
	allowed := []struct {
		text string
		vary func(h *History)
	}{
		{"a request whose connection a killed process broke", func(h *History) {
			addBrokenConnection(h, 7*ms, false)
			h.Sent[len(h.Sent)-1].IsFullyRead = true
		}},
		{"an unread request at a process that stopped", func(h *History) { addBrokenConnection(h, 7*ms, true) }},
		{"a message that is queued right after the last disruption", func(h *History) {
			h.Disruptions = []Disruption{{Daemon: "front-1", From: 30 * s, Until: 50 * s}}
		}},
		{"a message whose delay has just ended", func(h *History) { h.Sent[5].Delay = 40 * s }},
		{"a message that is queued while a disruption goes on", func(h *History) { h.Disruptions = []Disruption{{Daemon: "front-1", From: 30 * s}} }},
		{"a message of a removed route", func(h *History) { removeRoute(h, 9, 50*s) }},
		{"a message accepted while the removal of its route was being applied", func(h *History) {
			removeRoute(h, 9, 15*s)
			h.Sent[5].SentAt, h.Sent[5].AnsweredAt = 14*s+500*ms, 14*s+510*ms
			h.Runs = h.Runs[:4]
		}},
	}
	judgeAll := func(h *History) []check.Breach { return append(Judge(h, false), JudgeWaits(h)...) }
	Convey("The judge reports a breach for a soak's history with", t, func() {
		for _, c := range broken {
			Convey(c.rule+": "+c.text, func() {
				h := cleanHistory()
				setFinalState(h, "queued", 20*s)
				So(judgeAll(h), ShouldBeEmpty)
				c.breakRule(h)
				rules := []string{}
				for _, b := range judgeAll(h) {
					rules = append(rules, b.Rule)
				}
				So(rules, ShouldContain, c.rule)
			})
		}
	})
	Convey("The judge reports no breach for a soak's history with", t, func() {
		for _, c := range allowed {
			Convey(c.text, func() {
				h := cleanHistory()
				c.vary(h)
				So(judgeAll(h), ShouldBeEmpty)
			})
		}
	})
}

// TestSeries checks that a seed always draws the same series, and that all its faults exist, for small and large
// sites.
func TestSeries(t *testing.T) {
	Convey("A series of faults is the same for the same seed and names faults that exist", t, func() {
		for _, fronts := range []int{3, 99} {
			for seed := uint64(1); seed < 30; seed++ {
				series := FaultSeries(seed, time.Minute, fronts, 3)
				So(series, ShouldResemble, FaultSeries(seed, time.Minute, fronts, 3))
				So(len(series.Steps), ShouldBeGreaterThan, 20)
				for _, step := range series.Steps {
					So(IsFault(step.Action), ShouldBeTrue)
				}
			}
		}
		So(FaultSeries(1, time.Minute, 3, 3), ShouldNotResemble, FaultSeries(2, time.Minute, 3, 3))
	})
}

// TestSoakOptions checks that invalid options are rejected.
func TestSoakOptions(t *testing.T) {
	Convey("A soak's options are checked", t, func() {
		So(SoakOptions{For: MinSoakDuration, Processes: MinProcesses}.Check(), ShouldBeNil)
		for _, o := range []SoakOptions{{For: time.Second, Processes: 20}, {For: time.Minute, Processes: 11}, {For: time.Minute, Processes: 301}} {
			So(errs.Is(o.Check(), errs.Invalid), ShouldBeTrue)
		}
		So(SoakPlan(SoakOptions{For: time.Minute, Processes: 12}).Fronts, ShouldEqual, 1)
		So(SoakPlan(SoakOptions{For: time.Minute, Processes: 200}).Fronts, ShouldEqual, 32)
	})
}

// TestWasRead checks that a request that the peer read is distinguished from one that it did not read.
func TestWasRead(t *testing.T) {
	for _, isRead := range []bool{true, false} {
		Convey(fmt.Sprintf("A connection that is closed, its bytes having been read: %t", isRead), t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer listener.Close()
			raw, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			defer raw.Close()
			peer, err := listener.Accept()
			So(err, ShouldBeNil)
			_, err = io.WriteString(raw, "request")
			So(err, ShouldBeNil)
			if isRead {
				_, err = io.ReadFull(peer, make([]byte, len("request")))
				So(err, ShouldBeNil)
			}
			So(peer.Close(), ShouldBeNil)
			_, err = raw.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(wasRead(raw.(*net.TCPConn), err), ShouldEqual, isRead)
		})
	}
	Convey("Bytes that arrive after the close count as unread", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		raw, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		defer raw.Close()
		peer, err := listener.Accept()
		So(err, ShouldBeNil)
		So(peer.Close(), ShouldBeNil)
		_, err = io.WriteString(raw, "request")
		So(err, ShouldBeNil)
		_, err = raw.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(wasRead(raw.(*net.TCPConn), err), ShouldBeFalse)
	})
}
