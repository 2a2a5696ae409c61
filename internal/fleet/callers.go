package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/intake"
)

// Callers generate the load of the plan and record each message that they send.
type Callers struct {
	f               *Fleet
	client          *http.Client
	serial          atomic.Int64 // numbers the tokens
	mu              sync.Mutex
	IntakeLatencies []time.Duration // of messages that were acknowledged as taken
	takenIds        []string        // of messages that were acknowledged as taken
	StatusCodes     map[int]int     // number of answers by HTTP status code; code 0 for requests without a complete answer
	wg              sync.WaitGroup
}

// NewCallers returns the callers of a fleet; Run starts them.
func NewCallers(f *Fleet) *Callers {
	f.callers = &Callers{f: f, StatusCodes: map[int]int{}, client: &http.Client{Timeout: 10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}}
	return f.callers
}

// Run generates all loads of the plan. It returns once ctx has ended and all requests have returned.
func (c *Callers) Run(ctx context.Context) {
	for _, load := range c.f.Plan.Load {
		lanes := []string{}
		for name := range c.f.Rules.Lanes {
			if name == load.Lane || strings.HasPrefix(name, load.Lane+".") {
				lanes = append(lanes, name)
			}
		}
		sort.Strings(lanes)
		if load.Keys > 0 {
			c.runOrdered(ctx, load, lanes)
		} else {
			c.runUnordered(ctx, load, lanes)
		}
	}
	<-ctx.Done()
	c.wg.Wait()
}

// runUnordered sends messages without ordering keys at the rate of the load, each concurrently, to the lanes by turns.
func (c *Callers) runUnordered(ctx context.Context, load PlanLoad, lanes []string) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / load.Rate))
		defer ticker.Stop()
		for turn := 0; ; turn++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.Send(lanes[turn%len(lanes)], "", load.Size, false)
			}()
		}
	}()
}

// runOrdered runs one caller for each ordering key. It sends the next message once the previous one has been answered,
// so that the order of a key's messages is defined.
func (c *Callers) runOrdered(ctx context.Context, load PlanLoad, lanes []string) {
	gap := time.Duration(float64(time.Second) * float64(load.Keys) / load.Rate)
	for k := range load.Keys {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			sleep(ctx, time.Duration(rand.Int64N(int64(gap))))
			for ctx.Err() == nil {
				at := time.Now()
				c.Send(lanes[k%len(lanes)], fmt.Sprintf("key-%d", k), load.Size, false)
				sleep(ctx, gap-time.Since(at))
			}
		}()
	}
}

// Send sends one message to a random adapter and records the outcome. Lane and key say where it goes, size bounds the
// bytes of padding, and a poison message always fails at the back end.
func (c *Callers) Send(lane, key string, size int, isPoison bool) check.Sent {
	token := fmt.Sprintf("%s-%d", lane, c.serial.Add(1))
	body, _ := json.Marshal(map[string]any{"token": token, "poison": isPoison, "fill": strings.Repeat("x", rand.IntN(size+1))})
	s := check.Sent{Token: token, Lane: lane, Key: key, BodySum: Checksum(body), SentAt: c.f.Now(), Outcome: check.Undecided}
	began := time.Now()
	code := c.post(&s, body)
	s.AnsweredAt = c.f.Now()
	c.f.History.AddSent(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.StatusCodes[code]++
	if s.Outcome == check.Taken {
		c.IntakeLatencies = append(c.IntakeLatencies, time.Since(began))
		c.takenIds = append(c.takenIds, s.Id)
	}
	return s
}

// post sends the request and reads the answer into s. It returns the status code, 0 if there was no complete answer.
// One request in ten waits for the end of its message, so that answers with proofs are sent over connections that other
// requests share.
func (c *Callers) post(s *check.Sent, body []byte) (code int) {
	url := "http://" + c.f.Adapters[rand.IntN(len(c.f.Adapters))].Http + "/v1/lanes/" + s.Lane + "/messages"
	if rand.IntN(10) == 0 {
		url += "?wait=2s"
	}
	req, err := http.NewRequest("POST", url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	if s.Key != "" {
		req.Header.Set("Ordering-Key", s.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0 // an incomplete answer that was detected as such
	}
	var reply struct {
		Id    string        `json:"id"`
		Taken any           `json:"taken"`
		Sum   string        `json:"sha256"`
		Proof *intake.Proof `json:"proof"`
	}
	if json.Unmarshal(raw, &reply) != nil {
		s.IsTruncated = true
		return resp.StatusCode
	}
	s.Id, s.AnsweredBodySum = reply.Id, reply.Sum
	s.Revision, _ = strconv.ParseInt(resp.Header.Get("X-Charter-Stamp"), 10, 64)
	if reply.Proof != nil {
		var answer payload
		_ = json.Unmarshal(reply.Proof.Answer, &answer)
		s.ProofToken = answer.Token
	}
	switch reply.Taken {
	case true:
		s.Outcome = check.Taken
	case false:
		s.Outcome = check.NotTaken
	}
	return resp.StatusCode
}

// RandomTakenId returns the id of a random message that was acknowledged as taken, or an empty string if there is none.
func (c *Callers) RandomTakenId() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.takenIds) == 0 {
		return ""
	}
	return c.takenIds[rand.IntN(len(c.takenIds))]
}

// Percentile returns the p-quantile (p from 0 to 1) of a list of times, 0 if it is empty.
func Percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p))]
}
