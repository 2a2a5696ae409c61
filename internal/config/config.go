// Package config reads, checks and merges the operators' tree of settings. A
// lane or pool inherits everything from its parent and overrides what differs.
package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Lane is one kind of message, with all that it inherited.
type Lane struct {
	Name               string
	Urgency            int64         // 1 to 9; share of turns among lanes of a pool
	Patience           time.Duration // a message not ended by then expires
	IsOrdered          bool          // one message of a key after another
	MaxAttempts        int64         // runs that may fail; 0 for as long as patience lasts
	Backoff            time.Duration // pause after the first failed run; doubles
	MaxBackoff         time.Duration
	Retention          time.Duration // an end can be asked for that long
	MaxBodyBytes       int64         // most bytes of a body
	Pools              []string      // pools that may run it
	AllowsRerun        bool          // a run whose fate is unknown may be run again
	CallbackLane       string        // lane that gets the answer of a success
	HoldsAfterFailure  bool          // after a failed ordered message the key waits
	Host               string        // messages that come as they are: to this host,
	PathPrefix         string        // under this path; empty for none
	RunTimeout         time.Duration // a run that takes longer is given up; 0: as the pool says
	StartWithin        time.Duration // within which a run is wanted to begin; 0 for none
	AllowsNotifyUrl    bool          // a message may name a URL that is told of its end
	CountsEveryRun     bool          // each run that began spends an attempt; else only those that the worker says have failed
	DropsBodyOnSuccess bool          // the bytes go with a success; else they stay for the retention
	UsesWitness        bool          // results are left with others before the owner has them
	IsPublic           bool          // messages need no API key of a tenant
}

// Pool is a set of workers, or one outside endpoint.
type Pool struct {
	Name                string
	IsEndpoint          bool
	Address             string        // endpoints only
	Path                string        // of the request to a worker
	Rate                float64       // runs a second over the whole fleet; 0 for no cap
	Concurrency         int64         // runs at once on one worker
	SlowStart           time.Duration // a cold worker reaches its full share after this
	RunTimeout          time.Duration // a run that takes longer is given up
	AllowsCrossZone     bool          // may use workers of other zones
	ColdRate            float64       // runs a second of a worker that the list calls cold; 0 for no cap
	MaxProbeInterval    time.Duration // longest pause between two probes of an unhealthy worker
	AllowsDuplicateRuns bool          // a run may be given again at once, though the first may go on
}

// Rules are a configuration ready for use.
//
// Invariants: ways has each lane with a prefix once, by host, longest first; keys has each API key
// of Tenants, and none of any other.
type Rules struct {
	Lanes   map[string]Lane
	Pools   map[string]Pool
	Version int64             // the operators' own number; 0 for none
	Tenants map[string]Tenant // nil where messages need no API key
	routes  map[string][]Lane
	keys    map[KeyHash]keyTenant
}

// Fault is one thing wrong with a configuration, at a path of its tree.
type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// field is one setting of a lane or pool: how to check and to read it.
type field[T any] struct {
	kind  gjson.Type
	check func(gjson.Result) string
	read  func(*T, gjson.Result)
}

func numberBetween(least, most float64) func(gjson.Result) string {
	return func(r gjson.Result) string {
		if r.Num < least || r.Num > most {
			return fmt.Sprintf("must be from %g to %g", least, most)
		}
		return ""
	}
}

func wholeBetween(least, most float64) func(gjson.Result) string {
	return func(r gjson.Result) string {
		if r.Num != float64(int64(r.Num)) {
			return "must be a whole number"
		}
		return numberBetween(least, most)(r)
	}
}

func durationBetween(least, most time.Duration) func(gjson.Result) string {
	return func(r gjson.Result) string {
		d, err := time.ParseDuration(r.Str)
		if err != nil {
			return "must be a duration such as 500ms or 2m"
		}
		if d < least || d > most {
			return fmt.Sprintf("must be from %v to %v", least, most)
		}
		return ""
	}
}

func oneOf(words ...string) func(gjson.Result) string {
	return func(r gjson.Result) string {
		for _, w := range words {
			if r.Str == w {
				return ""
			}
		}
		return "must be one of " + strings.Join(words, ", ")
	}
}

func parseDuration(r gjson.Result) time.Duration { d, _ := time.ParseDuration(r.Str); return d }

var laneFields = map[string]field[Lane]{
	"urgency":       {gjson.Number, wholeBetween(1, 9), func(l *Lane, r gjson.Result) { l.Urgency = r.Int() }},
	"patience":      {gjson.String, durationBetween(time.Second, 24*time.Hour), func(l *Lane, r gjson.Result) { l.Patience = parseDuration(r) }},
	"ordering":      {gjson.String, oneOf("none", "key"), func(l *Lane, r gjson.Result) { l.IsOrdered = r.Str == "key" }},
	"attempts":      {gjson.Number, wholeBetween(0, 1000), func(l *Lane, r gjson.Result) { l.MaxAttempts = r.Int() }},
	"backoff":       {gjson.String, durationBetween(time.Millisecond, time.Hour), func(l *Lane, r gjson.Result) { l.Backoff = parseDuration(r) }},
	"backoff_most":  {gjson.String, durationBetween(time.Millisecond, time.Hour), func(l *Lane, r gjson.Result) { l.MaxBackoff = parseDuration(r) }},
	"retention":     {gjson.String, durationBetween(time.Second, 7*24*time.Hour), func(l *Lane, r gjson.Result) { l.Retention = parseDuration(r) }},
	"size":          {gjson.Number, wholeBetween(1, 4<<20), func(l *Lane, r gjson.Result) { l.MaxBodyBytes = r.Int() }},
	"rerun":         {gjson.True, nil, func(l *Lane, r gjson.Result) { l.AllowsRerun = r.Bool() }},
	"callback":      {gjson.String, nil, func(l *Lane, r gjson.Result) { l.CallbackLane = r.Str }},
	"host":          {gjson.String, nil, func(l *Lane, r gjson.Result) { l.Host = r.Str }},
	"prefix":        {gjson.String, checkPath, func(l *Lane, r gjson.Result) { l.PathPrefix = r.Str }},
	"bound":         {gjson.String, durationBetween(time.Millisecond, time.Hour), func(l *Lane, r gjson.Result) { l.RunTimeout = parseDuration(r) }},
	"prompt":        {gjson.String, durationBetween(time.Millisecond, time.Hour), func(l *Lane, r gjson.Result) { l.StartWithin = parseDuration(r) }},
	"notify":        {gjson.True, nil, func(l *Lane, r gjson.Result) { l.AllowsNotifyUrl = r.Bool() }},
	"spends":        {gjson.String, oneOf("runs", "failures"), func(l *Lane, r gjson.Result) { l.CountsEveryRun = r.Str == "runs" }},
	"bytes":         {gjson.String, oneOf("retention", "success"), func(l *Lane, r gjson.Result) { l.DropsBodyOnSuccess = r.Str == "success" }},
	"witness":       {gjson.True, nil, func(l *Lane, r gjson.Result) { l.UsesWitness = r.Bool() }},
	"public":        {gjson.True, nil, func(l *Lane, r gjson.Result) { l.IsPublic = r.Bool() }},
	"after_failure": {gjson.String, oneOf("skip", "hold"), func(l *Lane, r gjson.Result) { l.HoldsAfterFailure = r.Str == "hold" }},
	"pools": {gjson.JSON, checkNames, func(l *Lane, r gjson.Result) {
		l.Pools = nil
		for _, p := range r.Array() {
			l.Pools = append(l.Pools, p.Str)
		}
	}},
}

var poolFields = map[string]field[Pool]{
	"kind":        {gjson.String, oneOf("workers", "endpoint"), func(p *Pool, r gjson.Result) { p.IsEndpoint = r.Str == "endpoint" }},
	"address":     {gjson.String, checkAddressValue, func(p *Pool, r gjson.Result) { p.Address = r.Str }},
	"path":        {gjson.String, checkPath, func(p *Pool, r gjson.Result) { p.Path = r.Str }},
	"rate":        {gjson.Number, numberBetween(0, 100000), func(p *Pool, r gjson.Result) { p.Rate = r.Num }},
	"concurrency": {gjson.Number, wholeBetween(1, 1000), func(p *Pool, r gjson.Result) { p.Concurrency = r.Int() }},
	"ease":        {gjson.String, durationBetween(0, time.Hour), func(p *Pool, r gjson.Result) { p.SlowStart = parseDuration(r) }},
	"bound":       {gjson.String, durationBetween(10*time.Millisecond, time.Hour), func(p *Pool, r gjson.Result) { p.RunTimeout = parseDuration(r) }},
	"spill":       {gjson.True, nil, func(p *Pool, r gjson.Result) { p.AllowsCrossZone = r.Bool() }},
	"cold_rate":   {gjson.Number, numberBetween(0, 100000), func(p *Pool, r gjson.Result) { p.ColdRate = r.Num }},
	"rest":        {gjson.String, durationBetween(time.Millisecond, time.Hour), func(p *Pool, r gjson.Result) { p.MaxProbeInterval = parseDuration(r) }},
	"repeats":     {gjson.True, nil, func(p *Pool, r gjson.Result) { p.AllowsDuplicateRuns = r.Bool() }},
}

func checkNames(r gjson.Result) string {
	if !r.IsArray() || len(r.Array()) == 0 {
		return "must be a list of at least one name"
	}
	for _, name := range r.Array() {
		if name.Type != gjson.String || name.Str == "" {
			return "must be a list of names"
		}
	}
	return ""
}

func checkPath(r gjson.Result) string {
	if !strings.HasPrefix(r.Str, "/") {
		return "must start with /"
	}
	return ""
}

func checkAddressValue(r gjson.Result) string { return CheckAddress(r.Str) }

var (
	defaultLane = Lane{Urgency: 5, Patience: 2 * time.Minute, MaxAttempts: 8, Backoff: 200 * time.Millisecond,
		MaxBackoff: 10 * time.Second, Retention: 10 * time.Minute, MaxBodyBytes: 64 << 10, AllowsRerun: true, CountsEveryRun: true, UsesWitness: true}
	defaultPool = Pool{Path: "/", Concurrency: 4, SlowStart: 10 * time.Second, RunTimeout: 5 * time.Second, AllowsCrossZone: true, MaxProbeInterval: 4 * time.Second}
)
