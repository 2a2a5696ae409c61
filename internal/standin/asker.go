package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/tidwall/gjson"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

const (
	askBound = 2 * time.Second
	askPause = 100 * time.Millisecond
	askers   = 16
)

// Settle asks for all that was accepted until it has ended or ctx ends, and
// records the last word of each, with the bytes of what has not ended.
func (s *Site) Settle(ctx context.Context) {
	open := []Sent{}
	s.History.Add(func() {
		for _, sent := range s.History.Sent {
			if sent.Told == check.Taken {
				open = append(open, sent)
			}
		}
	})
	pool := pond.NewPool(askers)
	defer pool.Stop()
	for round := 0; len(open) > 0; round++ {
		isLast := ctx.Err() != nil
		left := make(chan Sent, len(open))
		group := pool.NewGroup()
		for i, sent := range open {
			group.Submit(func() {
				if !s.lastWord(sent, i+round, isLast) {
					left <- sent
				}
			})
		}
		_ = group.Wait()
		close(left)
		if open = open[:0]; isLast {
			return
		}
		for sent := range left {
			open = append(open, sent)
		}
		pause(ctx, askPause)
	}
}

const probePeriod = 20 * time.Millisecond

// productState are the product's words, which its own check knows.
var productState = map[string]string{"queued": "held", "completed": "ended", "dead_letter": "failed"}

// Probe asks any front for some message that was accepted, its state and its
// bytes, until ctx ends.
func (s *Site) Probe(ctx context.Context) {
	for pause(ctx, probePeriod) {
		sent := Sent{}
		s.History.Add(func() {
			if n := len(s.History.Sent); n > 0 {
				sent = s.History.Sent[n-1-rand.IntN(min(n, 400))]
			}
		})
		if sent.Told == check.Taken {
			go s.sight(sent)
		}
	}
}

func (s *Site) sight(sent Sent) {
	addr := s.at(s.entry.fronts[rand.IntN(len(s.entry.fronts))].host, portFront)
	seen := check.Sight{Id: sent.Id, At: s.Now(), State: "unknown"}
	code, raw := s.ask(addr, sent, "/v1/message/")
	if code != 200 && code != 404 {
		return // it cannot be reached now
	}
	if code == 200 {
		seen.State = productState[gjson.GetBytes(raw, "state").Str]
	}
	if code, raw := s.ask(addr, sent, "/v1/message-body/"); code == 200 {
		seen.BodySum = fleet.Sum(raw)
	}
	seen.ToldAt = s.Now()
	s.History.Add(func() { s.History.Sights = append(s.History.Sights, seen) })
}

// lastWord is true once there is no more to ask.
func (s *Site) lastWord(sent Sent, turn int, isLast bool) bool {
	fronts := s.entry.fronts
	for try := range len(fronts) * 3 {
		addr := s.at(fronts[(turn+try)%len(fronts)].host, portFront)
		code, raw := s.ask(addr, sent, "/v1/message/")
		if code != 200 && code != 404 {
			pause(s.ctx, askPause)
			continue
		}
		end := End{State: gjson.GetBytes(raw, "state").Str, Seal: gjson.GetBytes(raw, "stamp").Str}
		if code == 404 {
			end.State = "unknown"
		}
		if end.State == "queued" && !isLast {
			return false
		}
		if end.State == "queued" {
			if code, raw = s.ask(addr, sent, "/v1/message-body/"); code != 200 {
				continue // it may have ended meanwhile
			}
			end.BodySum = fleet.Sum(raw)
		}
		end.At = s.Now()
		s.History.Add(func() { s.History.Ends[sent.Token] = end })
		return true
	}
	if isLast {
		s.History.Add(func() { s.History.Ends[sent.Token] = End{At: s.Now()} })
	}
	return false
}

func (s *Site) ask(addr string, sent Sent, path string) (int, []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, askBound)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path+sent.Id, nil)
	if err != nil {
		return 0, nil
	}
	req.Host = s.operator.hostOf(sent.Lane)
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, raw
}
