// Package config defines the configuration of a deployment and its other control state. It compiles
// the operators' document, a tree in which a lane or pool inherits all settings of its parent, into
// Rules; reads and writes the values of worker lists, duties, drain orders and retirements; and keeps the
// Compiled form of a view for the daemons. Managers use it to validate and write changes, all daemons
// to read them.
package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

// Lane is one class of messages, with its inherited settings.
type Lane struct {
	Name               string
	Urgency            int64         // 1 to 9; share of the scheduling turns among the lanes of a pool
	Patience           time.Duration // a message that has not ended by then expires
	IsOrdered          bool          // messages of a key run one after another
	MaxAttempts        int64         // runs that may fail; 0 for no limit within Patience
	Backoff            time.Duration // delay after the first failed run; doubles with each further one
	MaxBackoff         time.Duration
	Retention          time.Duration // for how long the result of a message can be queried
	MaxBodyBytes       int64         // limit on the body of a message
	Pools              []string      // pools that may run its messages
	AllowsRerun        bool          // a run of unknown outcome may be repeated
	CallbackLane       string        // lane that gets the answer of a successful run
	HoldsAfterFailure  bool          // a failed ordered message blocks its key
	Host               string        // plain HTTP requests to this host are messages of the lane,
	PathPrefix         string        // if under this path prefix; empty for none
	RunTimeout         time.Duration // a run that takes longer is aborted; 0 for the pool's timeout
	StartWithin        time.Duration // target for the time until a run begins; 0 for none
	AllowsNotifyUrl    bool          // a message may name a URL that is notified of its end
	CountsEveryRun     bool          // each started run is an attempt; otherwise only runs reported as failed
	DropsBodyOnSuccess bool          // the body is dropped on success; otherwise it is kept for the retention
	UsesWitness        bool          // results are left with witnesses before the owner has them
	IsPublic           bool          // messages need no tenant's API key
}

// Pool is a set of workers, or one external endpoint.
type Pool struct {
	Name                string
	IsEndpoint          bool
	Address             string        // of an endpoint; empty otherwise
	Path                string        // of the request to a worker
	Rate                float64       // runs per second of the whole deployment; 0 for no limit
	Concurrency         int64         // concurrent runs per worker
	SlowStart           time.Duration // time after which a cold worker gets its full share
	RunTimeout          time.Duration // a run that takes longer is aborted
	AllowsCrossZone     bool          // runs may go to workers of other zones
	ColdRate            float64       // runs per second of a worker that is listed as cold; 0 for no limit
	MaxProbeInterval    time.Duration // longest interval between two probes of an unhealthy worker
	AllowsDuplicateRuns bool          // a run may be repeated at once although the first one may still be in progress
}

// Rules are the compiled lanes, pools and tenants of a configuration document.
//
// Invariants: routes has each lane with a path prefix once, by host, longest prefix first; keys has
// exactly the API keys of Tenants.
type Rules struct {
	Lanes   map[string]Lane
	Pools   map[string]Pool
	Version int64             // version number given by the operators; 0 for none
	Tenants map[string]Tenant // nil if messages need no API key
	routes  map[string][]Lane
	keys    map[KeyHash]keyTenant
}

// Fault is one validation error, at a path of a document.
type Fault struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// field is one setting of a node: its JSON type, its check and its reader. check returns a fault's text,
// empty for none.
type field[T any] struct {
	kind  gjson.Type
	check func(gjson.Result) string
	read  func(*T, gjson.Result)
}

// numberBetween returns a check that a number is in a range.
func numberBetween(minimum, maximum float64) func(gjson.Result) string {
	return func(r gjson.Result) string {
		if r.Num < minimum || r.Num > maximum {
			return fmt.Sprintf("must be from %g to %g", minimum, maximum)
		}
		return ""
	}
}

// wholeBetween returns a check that a number is whole and in a range.
func wholeBetween(minimum, maximum float64) func(gjson.Result) string {
	return func(r gjson.Result) string {
		if r.Num != float64(int64(r.Num)) {
			return "must be a whole number"
		}
		return numberBetween(minimum, maximum)(r)
	}
}

// durationBetween returns a check that a string is a duration in a range.
func durationBetween(minimum, maximum time.Duration) func(gjson.Result) string {
	return func(r gjson.Result) string {
		d, err := time.ParseDuration(r.Str)
		if err != nil {
			return "must be a duration such as 500ms or 2m"
		}
		if d < minimum || d > maximum {
			return fmt.Sprintf("must be from %v to %v", minimum, maximum)
		}
		return ""
	}
}

// oneOf returns a check that a string is one of the given ones.
func oneOf(choices ...string) func(gjson.Result) string {
	return func(r gjson.Result) string {
		for _, choice := range choices {
			if r.Str == choice {
				return ""
			}
		}
		return "must be one of " + strings.Join(choices, ", ")
	}
}

func parseDuration(r gjson.Result) time.Duration { d, _ := time.ParseDuration(r.Str); return d }

// laneFields are the settings of a lane, by their keys in the document.
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

// poolFields are the settings of a pool, by their keys in the document.
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

// checkNames checks a non-empty list of names.
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

// defaultLane and defaultPool are what the roots of the trees inherit.
var (
	defaultLane = Lane{Urgency: 5, Patience: 2 * time.Minute, MaxAttempts: 8, Backoff: 200 * time.Millisecond,
		MaxBackoff: 10 * time.Second, Retention: 10 * time.Minute, MaxBodyBytes: 64 << 10, AllowsRerun: true, CountsEveryRun: true, UsesWitness: true}
	defaultPool = Pool{Path: "/", Concurrency: 4, SlowStart: 10 * time.Second, RunTimeout: 5 * time.Second, AllowsCrossZone: true, MaxProbeInterval: 4 * time.Second}
)
