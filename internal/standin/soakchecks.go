package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// minJudgedMessages is the number of accepted messages of a route from which on some must have run.
const minJudgedMessages = 10

// requireRuns records a failure if no message of a route has run: the soak has then shown nothing about that route.
func (s *Site) requireRuns() {
	accepted, runs := map[string]int{}, map[string]int{}
	s.History.WithLock(func() {
		lanes := map[string]string{}
		for _, sent := range s.History.Sent {
			lanes[sent.Token] = sent.Lane
			if sent.Outcome == check.Taken && sent.Delay == 0 {
				accepted[sent.Lane]++
			}
		}
		for _, run := range s.History.Runs {
			runs[lanes[run.Token]]++
		}
	})
	for _, lane := range slices.Sorted(maps.Keys(accepted)) {
		if accepted[lane] >= minJudgedMessages && runs[lane] == 0 {
			s.recordFailure("%d messages of %s were accepted and none ran: the soak shows nothing about this route", accepted[lane], lane)
		}
	}
}

// requireRecovery records a failure if a disruption never ended: stuck messages cannot be judged then.
func (s *Site) requireRecovery() {
	ongoing := []string{}
	s.History.WithLock(func() {
		for _, t := range s.History.Disruptions {
			if t.Until == 0 && t.From > 0 && !t.IsPermanent {
				ongoing = append(ongoing, fmt.Sprintf("%s since %v", t.Daemon, t.From.Round(time.Millisecond)))
			}
		}
	})
	if len(ongoing) > 0 {
		s.recordFailure("disruptions never ended, so stuck messages cannot be judged: %s", strings.Join(ongoing, ", "))
	}
}
