// Package workerlist follows a paged list of workers, however long it is, within the rate of
// calls that the list takes. It is pure: time and answers go in, the next call and what is known
// of the workers come out.
package workerlist

import (
	"time"

	"caperwheel/internal/errs"
)

// Limits of a read.
const (
	maxPageRetries = 4         // of one page, before the read begins again with the first
	maxPages       = 1_000_000 // of one read
	minPause       = 20 * time.Millisecond
)

// Cursor reads one list, page by page and again and again. A read is one walk from the first
// page to the last. A page that fails is asked for again where the read stands, so that a list
// of any length is read in the end.
//
// Invariants: token names the next page, and is empty for the first; a read that is complete
// began at began and had every page after the one before it.
type Cursor struct {
	Zone string // whose workers the list is asked for; empty for all

	token     string
	began     time.Duration // when the read's first page was asked for
	isReading bool
	pages     int
	retries   int
	notBefore time.Duration // the next call

	// Of the newest read that is complete.
	LastReadAt    time.Duration // when it began
	LastReadTook  time.Duration
	LastReadPages int
	HasRead       bool // there has been one
}

// Delay returns how long it is until the cursor may ask for its next page.
func (c *Cursor) Delay(now time.Duration) time.Duration { return max(0, c.notBefore-now) }

// NextToken returns the token of the page to ask for now.
func (c *Cursor) NextToken(now time.Duration) (token string) {
	if !c.isReading {
		c.isReading, c.began, c.pages, c.token = true, now, 0, ""
	}
	return c.token
}

// PageReceived takes in that the page asked for has come, and which follows it. It reports whether the
// read is complete. period is the least time between two calls, and interval that between the
// beginnings of two reads.
func (c *Cursor) PageReceived(next string, now, period, interval time.Duration) (isComplete bool) {
	c.retries = 0
	c.pages++
	c.notBefore = now + period
	if next != "" && next != c.token && c.pages < maxPages {
		c.token = next
		return false
	}
	isComplete = next == ""
	if isComplete {
		c.LastReadAt, c.LastReadTook, c.LastReadPages, c.HasRead = c.began, now-c.began, c.pages, true
	}
	c.isReading = false
	c.notBefore = max(c.notBefore, c.began+interval)
	return isComplete
}

// PageFailed takes in that the page asked for has not come. A refusal because of the rate costs
// nothing but time; after maxPageRetries other failures of one page, whose token may have expired,
// the read begins again with the first page.
func (c *Cursor) PageFailed(kind errs.Kind, now, period, most time.Duration) {
	pause := min(max(period, minPause)<<min(c.retries, 16), most)
	c.retries++
	c.notBefore = now + pause
	if kind != errs.Full && c.retries > maxPageRetries && c.token != "" {
		c.isReading, c.retries = false, 0
	}
}

// Age returns how long ago the newest complete read began, and whether there has been one.
func (c *Cursor) Age(now time.Duration) (time.Duration, bool) { return now - c.LastReadAt, c.HasRead }
