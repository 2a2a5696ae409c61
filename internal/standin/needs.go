package standin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/check"
)

// leastSample is from how many accepted messages of a route on some must have run.
const leastSample = 10

// needRuns: a soak in which the messages of a route did not run has shown nothing of it.
func (s *Site) needRuns() {
	accepted, runs := map[string]int{}, map[string]int{}
	s.History.Add(func() {
		lanes := map[string]string{}
		for _, sent := range s.History.Sent {
			lanes[sent.Token] = sent.Lane
			if sent.Told == check.Taken && sent.Delay == 0 {
				accepted[sent.Lane]++
			}
		}
		for _, run := range s.History.Runs {
			runs[lanes[run.Token]]++
		}
	})
	for _, lane := range slices.Sorted(maps.Keys(accepted)) {
		if accepted[lane] >= leastSample && runs[lane] == 0 {
			s.failed("%d messages of %s were accepted and none ran: the soak shows nothing of it", accepted[lane], lane)
		}
	}
}

// needHealed: while something is hurt, what is left lying cannot be told.
func (s *Site) needHealed() {
	hurt := []string{}
	s.History.Add(func() {
		for _, t := range s.History.Troubles {
			if t.Until == 0 && t.From > 0 && !t.IsForGood {
				hurt = append(hurt, fmt.Sprintf("%s since %v", t.Daemon, t.From.Round(time.Millisecond)))
			}
		}
	})
	if len(hurt) > 0 {
		s.failed("never healed, so what is left lying cannot be told: %s", strings.Join(hurt, ", "))
	}
}
