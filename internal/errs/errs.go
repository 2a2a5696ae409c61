// Package errs provides the error type of all packages. Each error has a Kind that callers match on and that appears
// in API answers. Other packages create errors only by New and Wrap, never from bare strings.
package errs

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind is the kind of a failure. Kinds are stable, because they appear in API answers.
type Kind string

// The kinds of failures.
const (
	Full             Kind = "full"         // a bounded buffer has no room; nothing was accepted
	Lost             Kind = "lost"         // a session broke; it is unknown whether pending requests took effect
	DeadlineExceeded Kind = "late"         // a deadline passed
	NotOwner         Kind = "not_owner"    // the daemon does not own the place or part
	Stale            Kind = "stale"        // the view is older than its limit, or the term or revision is old
	Rejected         Kind = "rejected"     // refused permanently; the message never runs
	Unknown          Kind = "unknown"      // no such lane, message, pool, …
	Invalid          Kind = "invalid"      // the input fails a check
	Conflict         Kind = "conflict"     // same key with other bytes, or a concurrent change came first
	Missing          Kind = "missing"      // a precondition was not given
	TooLarge         Kind = "too_large"    // over a size limit
	DiskFull         Kind = "disk_full"    // no room for more intake on disk
	Corrupt          Kind = "broken"       // data that fails its checksum or cannot be parsed
	Disk             Kind = "disk"         // a write or sync failed
	Truncated        Kind = "cut_short"    // an answer ended before its declared length
	Unhealthy        Kind = "unsound"      // a worker or endpoint answered with a failure
	Internal         Kind = "internal"     // a bug
	NotBootstrapped  Kind = "unfounded"    // the deployment has not been bootstrapped yet
	Undecided        Kind = "undecided"    // the result is not known yet; query it by id
	BadMethod        Kind = "bad_method"   // wrong HTTP method
	Unauthorized     Kind = "unauthorized" // the caller holds no API key of a tenant that may do this
	OverQuota        Kind = "over_quota"   // the tenant has used up its limit for now; nothing was accepted
	Bound            Kind = "bound"        // the operation key belongs to a message with another id; between daemons only
	Unsupported      Kind = "unsupported"  // a daemon or group of an older build cannot do it yet; between daemons only
)

// Error is a failure with a kind. Invariant: Kind is never empty.
type Error struct {
	Kind  Kind
	Text  string
	cause error
}

// Error returns the kind, the text and the cause.
func (m *Error) Error() string {
	if m.cause != nil {
		return fmt.Sprintf("%s: %s: %v", m.Kind, m.Text, m.cause)
	}
	return fmt.Sprintf("%s: %s", m.Kind, m.Text)
}

// Unwrap returns the cause, if any.
func (m *Error) Unwrap() error { return m.cause }

// New returns an error of a kind.
func New(kind Kind, form string, args ...any) error {
	return &Error{Kind: kind, Text: fmt.Sprintf(form, args...)}
}

// Wrap returns an error of a kind with the error of another package as its cause, and adds a stack trace to the cause.
// It returns nil for a nil cause.
func Wrap(cause error, kind Kind, form string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Kind: kind, Text: fmt.Sprintf(form, args...), cause: eris.Wrap(cause, string(kind))}
}

// KindOf returns the kind of the outermost Error in err, or Internal if there is none.
func KindOf(err error) Kind {
	var m *Error
	if errors.As(err, &m) {
		return m.Kind
	}
	return Internal
}

// Is reports whether err is an error of the kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }
