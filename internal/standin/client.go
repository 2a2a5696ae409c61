package standin

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// Load describes the messages that clients submit on a route.
type Load struct {
	Route, Host, Prefix         string
	Rate                        float64 // messages per second
	Keys, Size                  int
	DelayedShare, PoisonedShare float64       // fractions of the messages
	MaxDelay                    time.Duration // longest delay; 0 means 2 s
	FailingShare                float64       // fraction whose first run fails
	IsNotified                  bool
	IsPublic                    bool   // the route needs no API key
	Tenant                      string // tenant that submits the messages; drawn per message if empty
}

// maxRetries is the maximum number of times that Send retries a submission.
const maxRetries = 2

// Client submits messages over pooled connections, and retries over new ones that the entry may assign to other fronts.
type Client struct {
	site           *Site
	zone           string
	deadline       time.Duration
	firstTransport *http.Transport
	retryTransport *http.Transport
	retryCount     atomic.Int32
}

func newClient(s *Site, zone, name string, deadline time.Duration) *Client {
	c := &Client{site: s, zone: zone, deadline: deadline}
	c.firstTransport = &http.Transport{DialContext: s.entry.dialer(zone, name, func() int { return 0 }), MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}
	c.retryTransport = &http.Transport{DialContext: s.entry.dialer(zone, name, func() int { return int(c.retryCount.Add(1)) }), DisableKeepAlives: true}
	return c
}

// Message is one message; all its submissions share these values.
type Message struct {
	Load
	Key, PathSuffix, BodyPrefix string // PathSuffix follows the route's prefix; BodyPrefix begins the body
	Delay                       time.Duration
	Operation                   string // operation key that all submissions carry; empty for none

	hasOwner    bool          // tenant and operation key have been drawn
	firstSentAt time.Duration // time of the first submission
	body        []byte        // shared by all submissions with one operation key
}

// lastSubmission numbers submissions and operation keys.
var lastSubmission atomic.Int64

// Send submits a message until it is accepted or given up, and returns the last submission.
func (c *Client) Send(ctx context.Context, m Message) Submission {
	rng := newRand()
	c.site.assignOwner(&m, rng)
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	sent := c.submitWithRetries(ctx, m, rng)
	c.site.repeats.note(m, c.zone, sent.Outcome, c.site.Now(), rng)
	return sent
}

// submitWithRetries submits a message until it is not refused for now, maxRetries is reached or the deadline passes.
func (c *Client) submitWithRetries(ctx context.Context, m Message, rng *rand.Rand) Submission {
	by, via := time.Now().Add(c.deadline), c.firstTransport
	for try := 0; ; try++ {
		sent, wait := c.submit(ctx, via, m, time.Until(by), rng)
		isRefused := sent.Outcome == check.NotTaken && sent.Code != 404
		if !isRefused || try == maxRetries || !sleep(ctx, max(wait, 30*time.Millisecond)) || time.Until(by) < time.Millisecond {
			return sent
		}
		via = c.retryTransport
	}
}

// request builds the HTTP request of one submission and the record of it.
func (s *Site) request(ctx context.Context, m Message, timeLeft time.Duration, rng *rand.Rand) (*http.Request, Submission, error) {
	id := fmt.Sprintf("t%d-%x", lastSubmission.Add(1), rng.Uint64())
	s.assignOwner(&m, rng)
	body := m.body
	if m.Operation == "" {
		body = m.drawBody(id, rng)
	}
	reader := io.Reader(bytes.NewReader(body))
	if rng.IntN(3) == 0 {
		reader = struct{ io.Reader }{reader} // hides the length, so that the body is sent chunked
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Host+m.Prefix+m.PathSuffix, reader)
	if err != nil {
		return nil, Submission{}, err
	}
	req.Header.Set(attemptId, id)
	req.Header.Set(remaining, millis(timeLeft))
	if m.Key != "" {
		req.Header.Set(orderKey, m.Key)
	}
	if m.Delay > 0 {
		req.Header.Set(notBefore, millis(m.Delay))
	}
	if m.IsNotified {
		req.Header.Set(callback, "http://"+s.at(receiverHost, 0)+"/told")
	}
	apiKey := ""
	if m.Operation != "" {
		req.Header.Set(operationKey, m.Operation)
	}
	if m.Tenant != "" {
		apiKey = s.keys.draw(m.Tenant, rng)
	}
	if apiKey != "" {
		req.Header.Set(authorization, bearer+apiKey)
	}
	return req, Submission{Sent: check.Sent{Token: id, Lane: m.Route, Key: m.Key, BodySum: fleet.Checksum(body), Outcome: check.Undecided, Delay: m.Delay}, RequestLine: requestLine(req),
		IsNotified: m.IsNotified, Tenant: m.Tenant, ApiKey: apiKey, Operation: m.Operation}, nil
}

// newRand returns a random source for a single goroutine.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// submit sends one request, records the submission and returns it with the Retry-After time of the response.
func (c *Client) submit(ctx context.Context, via http.RoundTripper, m Message, timeLeft time.Duration, rng *rand.Rand) (Submission, time.Duration) {
	site := c.site
	req, sent, err := site.request(ctx, m, timeLeft, rng)
	if err != nil {
		return Submission{}, 0
	}
	isWritten := false
	var mu sync.Mutex
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if at := site.machineAt(info.Conn.RemoteAddr()); at != nil {
			sent.Daemon, sent.Incarnation = at.ShortName, at.incarnation.Load()
		}
	}, WroteHeaders: func() { mu.Lock(); isWritten = true; mu.Unlock() }}
	sent.SentAt = site.Now()
	response, err := via.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	wait := time.Duration(0)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	sent.AnsweredAt = site.Now()
	switch {
	case err != nil:
		sent.IsConnectionBroken = isWritten && ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded)
		if !isWritten {
			sent.Outcome = check.NotTaken
		}
	default:
		sent.Code = response.StatusCode
		sent.applyResponse(response.Header)
		seconds, _ := strconv.ParseFloat(response.Header.Get(retryAfter), 64)
		wait = time.Duration(seconds * float64(time.Second))
	}
	site.History.WithLock(func() { site.History.Sent = append(site.History.Sent, sent) })
	return sent, wait
}

// applyResponse derives the outcome and the message name from the status and header of the response.
func (s *Submission) applyResponse(h http.Header) {
	s.RetryAfter = h.Get(retryAfter)
	switch s.Code {
	case 202:
		s.Outcome, s.Id = check.Taken, s.Token
		if name := h.Get(messageName); name != "" {
			s.Id = name
		}
	case 429, 503, 408, 421, 404, 401:
		s.Outcome = check.NotTaken
	}
}

// message draws a message of the load.
func (l Load) message(rng *rand.Rand) Message {
	m := Message{Load: l, BodyPrefix: "work", PathSuffix: fmt.Sprintf("n/%d?part=%d", rng.IntN(1000), rng.IntN(9))}
	if l.Keys > 0 {
		m.Key = fmt.Sprintf("thing-%d", rng.IntN(l.Keys))
	}
	if rng.Float64() < l.DelayedShare {
		m.Delay = drawDelay(l.MaxDelay, rng)
	}
	switch {
	case rng.Float64() < l.PoisonedShare:
		m.BodyPrefix = poisonText
	case rng.Float64() < l.FailingShare:
		m.BodyPrefix = failOnceText
	}
	return m
}

// minDelay is the shortest delay of a delayed message.
const minDelay = 300 * time.Millisecond

// drawDelay draws a delay from minDelay to maxDelay (0 means 2 s) by a log-uniform distribution.
func drawDelay(maxDelay time.Duration, rng *rand.Rand) time.Duration {
	return drawLogUniform(minDelay, cmp.Or(maxDelay, 2*time.Second), rng)
}

// drawLogUniform draws a duration by a log-uniform distribution: each octave between the bounds is equally likely.
func drawLogUniform(shortest, longest time.Duration, rng *rand.Rand) time.Duration {
	ratio := float64(longest) / float64(shortest)
	return time.Duration(float64(shortest) * math.Pow(max(1, ratio), rng.Float64()))
}

// RunTraffic submits the loads through a set of clients until ctx ends, and waits for the submissions under way.
func (s *Site) RunTraffic(ctx context.Context, loads []Load, deadline time.Duration) {
	clients := []*Client{}
	for i := range 4 * len(s.Zones) {
		clients = append(clients, newClient(s, s.Zones[i%len(s.Zones)], fmt.Sprintf("client-%d", i), deadline))
	}
	var wg sync.WaitGroup
	for _, load := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sleep(ctx, time.Duration((0.5+rand.Float64())*float64(time.Second)/load.Rate)) {
				wg.Add(1)
				go func() {
					defer wg.Done()
					rng := newRand()
					m := s.nextMessage(load, s.Zones[rng.IntN(len(s.Zones))], rng)
					s.chooseClient(m, clients, rng).Send(context.WithoutCancel(ctx), m)
				}()
			}
		}()
	}
	wg.Wait()
}
