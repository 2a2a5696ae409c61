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

// Load is what clients send on a route.
type Load struct {
	Route, Host, Prefix string
	Rate                float64 // messages a second
	Keys, Size          int
	Delayed, Poisoned   float64       // shares
	MostDelay           time.Duration // the longest delay; 2 s if not given
	Failing             float64       // share that fails once
	IsNotified          bool
	IsPublic            bool   // no key is needed
	Tenant              string // whose messages they are; drawn if not given
}

const furtherTries = 2

// Client is one client, with a session that it keeps and new ones for tries.
type Client struct {
	site     *Site
	zone     string
	deadline time.Duration
	first    *http.Transport
	again    *http.Transport
	try      atomic.Int32
}

func newClient(s *Site, zone, name string, deadline time.Duration) *Client {
	c := &Client{site: s, zone: zone, deadline: deadline}
	c.first = &http.Transport{DialContext: s.entry.dialer(zone, name, func() int { return 0 }), MaxIdleConnsPerHost: 8, IdleConnTimeout: 5 * time.Second}
	c.again = &http.Transport{DialContext: s.entry.dialer(zone, name, func() int { return int(c.try.Add(1)) }), DisableKeepAlives: true}
	return c
}

// Message is one message, as tries have it in common.
type Message struct {
	Load
	Key, Tail, Words string // Tail ends the path; Words stand in the body
	Delay            time.Duration
	Operation        string // key that all tries carry; none if empty

	isOwned bool          // its tenant and operation key are drawn
	first   time.Duration // when it was first sent
	body    []byte        // of all tries with one operation key
}

var sends atomic.Int64

// Send sends a message until it is accepted or given up, and gives the last try.
func (c *Client) Send(ctx context.Context, m Message) Sent {
	draws := newDraws()
	c.site.own(&m, draws)
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	sent := c.tries(ctx, m, draws)
	c.site.repeats.note(m, c.zone, sent.Told, c.site.Now(), draws)
	return sent
}

// tries sends a message until it is accepted or given up.
func (c *Client) tries(ctx context.Context, m Message, draws *rand.Rand) Sent {
	by, via := time.Now().Add(c.deadline), c.first
	for try := 0; ; try++ {
		sent, wait := c.once(ctx, via, m, time.Until(by), draws)
		isPromised := sent.Told == check.NotTaken && sent.Code != 404
		if !isPromised || try == furtherTries || !pause(ctx, max(wait, 30*time.Millisecond)) || time.Until(by) < time.Millisecond {
			return sent
		}
		via = c.again
	}
}

// request builds a try of a message, and the record of it.
func (s *Site) request(ctx context.Context, m Message, left time.Duration, draws *rand.Rand) (*http.Request, Sent, error) {
	id := fmt.Sprintf("t%d-%x", sends.Add(1), draws.Uint64())
	s.own(&m, draws)
	body := m.body
	if m.Operation == "" {
		body = m.draw(id, draws)
	}
	reader := io.Reader(bytes.NewReader(body))
	if draws.IntN(3) == 0 {
		reader = struct{ io.Reader }{reader} // of no length that is known
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Host+m.Prefix+m.Tail, reader)
	if err != nil {
		return nil, Sent{}, err
	}
	req.Header.Set(attemptId, id)
	req.Header.Set(remaining, millis(left))
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
		apiKey = s.keys.draw(m.Tenant, draws)
	}
	if apiKey != "" {
		req.Header.Set(authorization, bearer+apiKey)
	}
	return req, Sent{Sent: check.Sent{Token: id, Lane: m.Route, Key: m.Key, Sum: fleet.Sum(body), Told: check.Undecided, Delay: m.Delay}, Line: lineOf(req),
		IsNotified: m.IsNotified, Tenant: m.Tenant, ApiKey: apiKey, Operation: m.Operation}, nil
}

// newDraws gives a source of chance of its own to a goroutine.
func newDraws() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// once makes one try and records it.
func (c *Client) once(ctx context.Context, via http.RoundTripper, m Message, left time.Duration, draws *rand.Rand) (Sent, time.Duration) {
	site := c.site
	req, sent, err := site.request(ctx, m, left, draws)
	if err != nil {
		return Sent{}, 0
	}
	isRead := false
	var mu sync.Mutex
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		if at := site.machineAt(info.Conn.RemoteAddr()); at != nil {
			sent.Daemon, sent.Life = at.Short, at.life.Load()
		}
	}, WroteHeaders: func() { mu.Lock(); isRead = true; mu.Unlock() }}
	sent.At = site.Now()
	answer, err := via.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	wait := time.Duration(0)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	mu.Lock()
	defer mu.Unlock()
	sent.ToldAt = site.Now()
	switch {
	case err != nil:
		sent.IsBroken = isRead && ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded)
		if !isRead {
			sent.Told = check.NotTaken
		}
	default:
		sent.Code = answer.StatusCode
		sent.told(answer.Header)
		seconds, _ := strconv.ParseFloat(answer.Header.Get(retryAfter), 64)
		wait = time.Duration(seconds * float64(time.Second))
	}
	site.History.Add(func() { site.History.Sent = append(site.History.Sent, sent) })
	return sent, wait
}

func (s *Sent) told(h http.Header) {
	s.RetryAfter = h.Get(retryAfter)
	switch s.Code {
	case 202:
		s.Told, s.Id = check.Taken, s.Token
		if name := h.Get(givenName); name != "" {
			s.Id = name
		}
	case 429, 503, 408, 421, 404, 401:
		s.Told = check.NotTaken
	}
}

// message draws one of a load's.
func (l Load) message(draws *rand.Rand) Message {
	m := Message{Load: l, Words: "work", Tail: fmt.Sprintf("n/%d?part=%d", draws.IntN(1000), draws.IntN(9))}
	if l.Keys > 0 {
		m.Key = fmt.Sprintf("thing-%d", draws.IntN(l.Keys))
	}
	if draws.Float64() < l.Delayed {
		m.Delay = delayOf(l.MostDelay, draws)
	}
	switch {
	case draws.Float64() < l.Poisoned:
		m.Words = poisonWord
	case draws.Float64() < l.Failing:
		m.Words = failWord
	}
	return m
}

// leastDelay is the shortest delay of a message that has one.
const leastDelay = 300 * time.Millisecond

// delayOf draws a delay: each span is as likely as the next one of twice its length.
func delayOf(most time.Duration, draws *rand.Rand) time.Duration {
	return spread(leastDelay, cmp.Or(most, 2*time.Second), draws)
}

// spread draws a span: each one is as likely as the next of twice its length.
func spread(least, most time.Duration, draws *rand.Rand) time.Duration {
	ratio := float64(most) / float64(least)
	return time.Duration(float64(least) * math.Pow(max(1, ratio), draws.Float64()))
}

// Traffic has clients send loads until ctx ends.
func (s *Site) Traffic(ctx context.Context, loads []Load, deadline time.Duration) {
	clients := []*Client{}
	for i := range 4 * len(s.Zones) {
		clients = append(clients, newClient(s, s.Zones[i%len(s.Zones)], fmt.Sprintf("client-%d", i), deadline))
	}
	var wg sync.WaitGroup
	for _, load := range loads {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for pause(ctx, time.Duration((0.5+rand.Float64())*float64(time.Second)/load.Rate)) {
				wg.Add(1)
				go func() {
					defer wg.Done()
					draws := newDraws()
					m := s.nextMessage(load, s.Zones[draws.IntN(len(s.Zones))], draws)
					s.senderOf(m, clients, draws).Send(context.WithoutCancel(ctx), m)
				}()
			}
		}()
	}
	wg.Wait()
}
