package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/intake"
)

// probePeriod is the interval between two status reads.
const probePeriod = 10 * time.Millisecond

// Probe reads the status, and one time in three the body, of random taken messages from random adapters until ctx ends,
// and records the answers.
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

// readStatus reads and records the status of one message. Answers that say only that it cannot be reached are ignored.
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
			m.State = "incomplete answer"
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
