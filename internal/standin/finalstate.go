package standin

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/tidwall/gjson"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

const (
	queryTimeout         = 2 * time.Second
	queryInterval        = 100 * time.Millisecond
	maxConcurrentQueries = 64
	maxQueryTries        = 3                // fronts that are queried for one message in a round
	finalRoundTimeout    = 30 * time.Second // for the final round of queries
	endedCheckInterval   = time.Second      // between two checks for messages that have ended
	progressInterval     = 15 * time.Second // between two progress reports
	endedSampleSize      = 1000             // messages known to have ended that are queried as well
)

// finalStateCollector queries the accepted messages until the final state of each is known.
type finalStateCollector struct {
	site        *Site
	pending     []Submission // submissions without a final state so far
	resolved    int
	round       int
	idleTimeout time.Duration                  // after so long without progress the final round begins
	report      func(form string, args ...any) // reports progress
	// Messages that have ended meanwhile, by the workers' records, are not queried.
	isOpenOnly bool
}

// CollectFinalStates queries all accepted messages until they have ended or ctx ends. It records the final state of
// each, and the checksum of the body of each that is still queued.
func (s *Site) CollectFinalStates(ctx context.Context) {
	a := &finalStateCollector{site: s, pending: s.acceptedSubmissions(), idleTimeout: math.MaxInt64, report: func(string, ...any) {}}
	a.run(ctx)
}

// CollectOpenFinalStates does the same as CollectFinalStates for the messages that have not ended by the workers'
// records, and for a sample of the others. It stops early when no message has ended for idleTimeout.
func (s *Site) CollectOpenFinalStates(ctx context.Context, idleTimeout time.Duration, report func(form string, args ...any)) {
	a := &finalStateCollector{site: s, pending: s.acceptedSubmissions(), idleTimeout: idleTimeout, report: report, isOpenOnly: true}
	a.dropEnded(endedSampleSize)
	a.run(ctx)
}

// acceptedSubmissions lists the submissions that were accepted.
func (s *Site) acceptedSubmissions() []Submission {
	out := []Submission{}
	s.History.WithLock(func() {
		for _, sent := range s.History.Sent {
			if sent.Outcome == check.Taken {
				out = append(out, sent)
			}
		}
	})
	return out
}

// run queries in rounds until no message is pending, none has ended for idleTimeout, or ctx ends. A final round then
// records the state of the messages that are still pending, whatever it is.
func (a *finalStateCollector) run(ctx context.Context) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	checkedAt, left, endedAt := time.Now(), len(a.pending), time.Now()
	for len(a.pending) > 0 && ctx.Err() == nil && a.site.ctx.Err() == nil && time.Since(endedAt) < a.idleTimeout {
		a.queryRound(ctx, false)
		select {
		case <-ticker.C:
			a.report("%d messages are not known to have ended, the final state of %d is known", len(a.pending), a.resolved)
		default:
		}
		sleep(ctx, queryInterval)
		if time.Since(checkedAt) > endedCheckInterval {
			checkedAt = time.Now()
			if a.isOpenOnly {
				a.dropEnded(0)
			}
			if len(a.pending) < left {
				left, endedAt = len(a.pending), time.Now()
			}
		}
	}
	if len(a.pending) == 0 || a.site.ctx.Err() != nil {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(a.site.ctx, finalRoundTimeout)
	defer cancel()
	a.report("final round of queries for %d messages", len(a.pending))
	a.queryRound(timeoutCtx, true)
	if len(a.pending) > 0 && a.site.ctx.Err() == nil {
		a.site.recordFailure("no front returned the state of %d accepted messages within %v", len(a.pending), finalRoundTimeout)
	}
}

// queryRound queries each pending message once, concurrently, and keeps those that must be queried again.
func (a *finalStateCollector) queryRound(ctx context.Context, isFinalRound bool) {
	a.round++
	pool := pond.NewPool(min(maxConcurrentQueries, maxQueryTries*len(a.site.entry.fronts)))
	defer pool.Stop()
	left, group := make(chan Submission, len(a.pending)), pool.NewGroup()
	for i, sent := range a.pending {
		group.Submit(func() {
			if ctx.Err() != nil || !a.site.queryFinalState(sent, i+a.round, isFinalRound) {
				left <- sent
			}
		})
	}
	_ = group.Wait()
	close(left)
	before := len(a.pending)
	a.pending = a.pending[:0]
	for sent := range left {
		a.pending = append(a.pending, sent)
	}
	a.resolved += before - len(a.pending)
}

// dropEnded removes the messages that have ended by the workers' records, except for a sample of that size.
func (a *finalStateCollector) dropEnded(sample int) {
	a.site.History.WithLock(func() {
		j, now := newJudge(a.site.History), a.site.Now()
		a.pending = slices.DeleteFunc(a.pending, func(s Submission) bool {
			if !j.hasEnded(s, now) {
				return false
			}
			sample--
			return sample < 0
		})
	})
}

// probePeriod is the interval between two observations by ObserveMessages.
const probePeriod = 20 * time.Millisecond

// productState maps the states of the product's API to those of package check.
var productState = map[string]string{"queued": "held", "completed": "ended", "dead_letter": "failed"}

// ObserveMessages queries random fronts for the state and body of random recent messages until ctx ends.
func (s *Site) ObserveMessages(ctx context.Context) {
	for sleep(ctx, probePeriod) {
		sent := Submission{}
		s.History.WithLock(func() {
			if n := len(s.History.Sent); n > 0 {
				sent = s.History.Sent[n-1-rand.IntN(min(n, 400))]
			}
		})
		if sent.Outcome == check.Taken {
			go s.observe(sent)
			s.queryAcrossTenants(sent)
		}
	}
}

// observe queries one random front for the state and body of a message and records the observation.
func (s *Site) observe(sent Submission) {
	addr := s.at(s.entry.fronts[rand.IntN(len(s.entry.fronts))].host, portFront)
	observation := check.StatusRead{Id: sent.Id, RequestedAt: s.Now(), State: "unknown"}
	code, raw := s.query(addr, sent, "/v1/message/")
	if code != 200 && code != 404 {
		return // front unreachable at present
	}
	if code == 200 {
		observation.State = productState[gjson.GetBytes(raw, "state").Str]
	}
	if code, raw := s.query(addr, sent, "/v1/message-body/"); code == 200 {
		observation.BodySum = fleet.Checksum(raw)
	}
	observation.AnsweredAt = s.Now()
	s.History.WithLock(func() { s.History.Observations = append(s.History.Observations, observation) })
}

// queryFinalState queries up to maxQueryTries fronts for a message. It returns true once the message needs no further
// query.
func (s *Site) queryFinalState(sent Submission, firstFront int, isFinalRound bool) bool {
	fronts := s.entry.fronts
	for try := range min(maxQueryTries, len(fronts)) {
		addr := s.at(fronts[(firstFront+try)%len(fronts)].host, portFront)
		code, raw := s.query(addr, sent, "/v1/message/")
		if code != 200 && code != 404 {
			continue
		}
		end := FinalState{State: gjson.GetBytes(raw, "state").Str, Stamp: gjson.GetBytes(raw, "stamp").Str}
		if code == 404 {
			end.State = "unknown"
		}
		if end.State == "queued" && !isFinalRound {
			return false
		}
		if end.State == "queued" {
			if code, raw = s.query(addr, sent, "/v1/message-body/"); code != 200 {
				continue // the message may have ended since
			}
			end.BodySum = fleet.Checksum(raw)
		}
		end.At = s.Now()
		s.History.WithLock(func() { s.History.FinalStates[sent.Token] = end })
		return true
	}
	if isFinalRound && s.ctx.Err() == nil {
		s.History.WithLock(func() { s.History.FinalStates[sent.Token] = FinalState{At: s.Now()} })
	}
	return isFinalRound
}

// query reads a path of a message at a front with a valid API key of the message's tenant. The status is 0 if there
// is no complete response.
func (s *Site) query(addr string, sent Submission, path string) (int, []byte) {
	return s.queryWithKey(s.keys.valid(sent.Tenant), addr, sent, path)
}

// queryWithKey is query with a given API key; empty for none.
func (s *Site) queryWithKey(key, addr string, sent Submission, path string) (int, []byte) {
	ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path+sent.Id, nil)
	if err != nil {
		return 0, nil
	}
	req.Host = s.operator.hostOf(sent.Lane)
	if key != "" {
		req.Header.Set(authorization, bearer+key)
	}
	response, err := s.queryClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	raw, err := readAll(response)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, raw
}

// readAll reads the body of a response.
func readAll(response *http.Response) ([]byte, error) { return io.ReadAll(response.Body) }
