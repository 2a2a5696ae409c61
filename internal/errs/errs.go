// Package errs names and wraps every failure. No other package makes errors
// out of bare strings: each failure has a Kind that callers can match on.
package errs

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind is the type of a failure. It is stable: it appears in API answers.
type Kind string

// The kinds of failure that caperwheel knows.
const (
	Full             Kind = "full"         // a bounded buffer has no room; nothing was taken
	Lost             Kind = "lost"         // a session broke; the fate of what was under way is unknown
	DeadlineExceeded Kind = "late"         // a deadline passed
	NotOwner         Kind = "not_owner"    // the daemon asked does not own the place or part
	Stale            Kind = "stale"        // the view is older than its bound, or the term or revision is old
	Rejected         Kind = "rejected"     // refused for good; it never runs
	Unknown          Kind = "unknown"      // no such lane, message, pool, …
	Invalid          Kind = "invalid"      // the input breaks a check
	Conflict         Kind = "conflict"     // same key, other bytes; or a lost race
	Missing          Kind = "missing"      // a precondition was not given
	TooLarge         Kind = "too_large"    // over a size limit
	DiskFull         Kind = "disk_full"    // no room for more intake on disk
	Corrupt          Kind = "broken"       // data that fails its checksum or cannot be parsed
	Disk             Kind = "disk"         // a write or sync failed
	Truncated        Kind = "cut_short"    // an answer ended before its declared length
	Unhealthy        Kind = "unsound"      // a worker or endpoint answered with a failure
	Internal         Kind = "internal"     // a bug
	NotBootstrapped  Kind = "unfounded"    // the deployment has not been founded yet
	Undecided        Kind = "undecided"    // the fate is not known yet; ask by id
	BadMethod        Kind = "bad_method"   // wrong HTTP method
	Unauthorized     Kind = "unauthorized" // the caller holds no API key of a tenant that may do this
	OverQuota        Kind = "over_quota"   // the tenant has used up what its limit allows for now; nothing was taken
)

// Error is a typed failure. Invariant: Kind is never empty.
type Error struct {
	Kind  Kind
	Text  string
	cause error
}

func (m *Error) Error() string {
	if m.cause != nil {
		return fmt.Sprintf("%s: %s: %v", m.Kind, m.Text, m.cause)
	}
	return fmt.Sprintf("%s: %s", m.Kind, m.Text)
}

// Unwrap gives the cause, if any.
func (m *Error) Unwrap() error { return m.cause }

// New makes an error of a kind.
func New(kind Kind, form string, args ...any) error {
	return &Error{Kind: kind, Text: fmt.Sprintf(form, args...)}
}

// Wrap names a failure of another package, keeping it as the cause with its
// stack. A nil cause gives nil.
func Wrap(cause error, kind Kind, form string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Text: fmt.Sprintf(form, args...), cause: eris.Wrap(cause, string(kind))}
}

// KindOf tells the kind of the outermost error in err; Internal for others.
func KindOf(err error) Kind {
	var m *Error
	if errors.As(err, &m) {
		return m.Kind
	}
	return Internal
}

// Is reports whether err is an error of the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
