package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/intake"
)

// probePeriod is how often a taken message is asked for while things fail.
const probePeriod = 10 * time.Millisecond

// Probe asks any adapter for any message that was told taken, its state and
// now and then its bytes, until ctx ends.
func (f *Fleet) Probe(ctx context.Context, c *Callers) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		<-ticker.C
		if id := c.RandomTakenId(); id != "" {
			go f.readStatus(ctx, id)
		}
	}
}

func (f *Fleet) readStatus(ctx context.Context, id string) {
	url := "http://" + f.Adapters[rand.IntN(len(f.Adapters))].Http + "/v1/messages/" + id
	at := f.Now()
	code, _, raw, err := SendRequest(ctx, "GET", url, "", nil)
	if err != nil || code != 200 && code != 404 {
		return // cannot be reached now
	}
	s := check.StatusRead{Id: id, RequestedAt: at, State: "unknown"}
	if code == 200 {
		var m intake.Message
		if json.Unmarshal(raw, &m) != nil {
			m.State = "not a whole answer"
		}
		s.State, s.Attempts = m.State, m.Attempts
	}
	if rand.IntN(3) == 0 && code == 200 {
		if code, _, raw, err := SendRequest(ctx, "GET", url+"/body", "", nil); err == nil && code == 200 {
			s.BodySum = Checksum(raw)
		}
	}
	s.AnsweredAt = f.Now()
	f.History.AddRead(s)
}
