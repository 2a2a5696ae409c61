// Package workerlist reads a paged list of workers of any length within the rate of calls that its source allows. It
// does no I/O: the manager's list reader passes in the time and the pages, and gets the next call to make and the
// current set of workers.
package workerlist

import (
	"time"

	"caperwheel/internal/errs"
)

// Limits of a read.
const (
	maxPageRetries = 4         // of one page, before the read starts again with the first
	maxPages       = 1_000_000 // of one read
	minPause       = 20 * time.Millisecond
)

// Cursor reads one list page by page, repeatedly. A read goes from the first page to the last. A page that fails is
// requested again at the same position, so that a list of any length is read in the end.
//
// Invariants: token names the next page and is empty for the first; a complete read started at began and received each
// page after the one before it.
type Cursor struct {
	Zone string // zone whose workers are read; empty for all

	token     string
	began     time.Duration // when the read's first page was requested
	isReading bool
	pages     int
	retries   int
	notBefore time.Duration // earliest time of the next call

	// Of the most recent complete read.
	LastReadAt    time.Duration // when it began
	LastReadTook  time.Duration
	LastReadPages int
	HasRead       bool // there has been one
}

// Delay returns how long it is until the cursor may request its next page.
func (c *Cursor) Delay(now time.Duration) time.Duration { return max(0, c.notBefore-now) }

// NextToken returns the token of the page to request now, and starts a read if none is in progress.
func (c *Cursor) NextToken(now time.Duration) (token string) {
	if !c.isReading {
		c.isReading, c.began, c.pages, c.token = true, now, 0, ""
	}
	return c.token
}

// PageReceived records the arrival of the requested page; next is the token of the page after it. It reports whether
// the read is complete. period is the minimum time between two calls, interval between the starts of two reads.
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

// PageFailed records that the requested page did not arrive, and backs off, up to maxPause. A refusal because of the
// rate only delays the read. After maxPageRetries other failures of one page, whose token may have expired, the read
// starts again with the first page.
func (c *Cursor) PageFailed(kind errs.Kind, now, period, maxPause time.Duration) {
	pause := min(max(period, minPause)<<min(c.retries, 16), maxPause)
	c.retries++
	c.notBefore = now + pause
	if kind != errs.Full && c.retries > maxPageRetries && c.token != "" {
		c.isReading, c.retries = false, 0
	}
}

// Age returns how long ago the most recent complete read began, and whether there has been one.
func (c *Cursor) Age(now time.Duration) (time.Duration, bool) { return now - c.LastReadAt, c.HasRead }
