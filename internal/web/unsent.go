package web

import "errors"

// UnsentError is a failure before any byte of the request was written.
type UnsentError struct{ cause error }

// NewUnsentError wraps a failure that occurred before any byte was written.
func NewUnsentError(cause error) *UnsentError { return &UnsentError{cause} }

// Error implements error.
func (u *UnsentError) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap returns the cause.
func (u *UnsentError) Unwrap() error { return u.cause }

// IsUnsent reports whether a failed request was certainly not sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}
