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

// Callers send the plan's load until their context ends.
type Callers struct {
	f      *Fleet
	client *http.Client
	serial atomic.Int64
	mu     sync.Mutex
	Times  []time.Duration // of requests that were answered taken
	taken  []string        // ids
	Codes  map[int]int
	wg     sync.WaitGroup
}

// NewCallers readies them.
func NewCallers(f *Fleet) *Callers {
	f.callers = &Callers{f: f, Codes: map[int]int{}, client: &http.Client{Timeout: 10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}}
	return f.callers
}

// Run sends all loads; it returns when ctx has ended and all are answered.
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
			c.runFree(ctx, load, lanes)
		}
	}
	<-ctx.Done()
	c.wg.Wait()
}

func (c *Callers) runFree(ctx context.Context, load PlanLoad, lanes []string) {
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

// runOrdered: each key has one caller, which sends the next message when the
// one before has been answered.
func (c *Callers) runOrdered(ctx context.Context, load PlanLoad, lanes []string) {
	gap := time.Duration(float64(time.Second) * float64(load.Keys) / load.Rate)
	for k := range load.Keys {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			pause(ctx, time.Duration(rand.Int64N(int64(gap))))
			for ctx.Err() == nil {
				at := time.Now()
				c.Send(lanes[k%len(lanes)], fmt.Sprintf("key-%d", k), load.Size, false)
				pause(ctx, gap-time.Since(at))
			}
		}()
	}
}

// Send sends one message to some adapter and records what was told.
func (c *Callers) Send(lane, key string, size int, isPoison bool) check.Sent {
	token := fmt.Sprintf("%s-%d", lane, c.serial.Add(1))
	body, _ := json.Marshal(map[string]any{"token": token, "poison": isPoison, "fill": strings.Repeat("x", rand.IntN(size+1))})
	s := check.Sent{Token: token, Lane: lane, Key: key, Sum: Sum(body), At: c.f.Now(), Told: check.Undecided}
	began := time.Now()
	code := c.ask(&s, body)
	s.ToldAt = c.f.Now()
	c.f.History.AddSent(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Codes[code]++
	if s.Told == check.Taken {
		c.Times = append(c.Times, time.Since(began))
		c.taken = append(c.taken, s.Id)
	}
	return s
}

// ask sends the request and reads the answer. One in ten waits for the end, so
// that whole proofs come back over connections that others use too.
func (c *Callers) ask(s *check.Sent, body []byte) (code int) {
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
		return 0 // it broke, and looks so
	}
	var told struct {
		Id    string        `json:"id"`
		Taken any           `json:"taken"`
		Sum   string        `json:"sha256"`
		Proof *intake.Proof `json:"proof"`
	}
	if json.Unmarshal(raw, &told) != nil {
		s.IsShort = true
		return resp.StatusCode
	}
	s.Id, s.GotSum = told.Id, told.Sum
	s.Revision, _ = strconv.ParseInt(resp.Header.Get("X-Charter-Stamp"), 10, 64)
	if told.Proof != nil {
		var answer payload
		_ = json.Unmarshal(told.Proof.Answer, &answer)
		s.GotToken = answer.Token
	}
	switch told.Taken {
	case true:
		s.Told = check.Taken
	case false:
		s.Told = check.NotTaken
	}
	return resp.StatusCode
}

// AnyTaken gives the id of some message that was told taken, or none.
func (c *Callers) AnyTaken() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.taken) == 0 {
		return ""
	}
	return c.taken[rand.IntN(len(c.taken))]
}

// Percentile of a list of times.
func Percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := append([]time.Duration{}, times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p))]
}
