package web

import "errors"

// UnsentError marks a failure before a byte of the request was written.
type UnsentError struct{ cause error }

// NewUnsentError marks a failure as one before a byte was written.
func NewUnsentError(cause error) *UnsentError { return &UnsentError{cause} }

func (u *UnsentError) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap gives the cause.
func (u *UnsentError) Unwrap() error { return u.cause }

// IsUnsent reports whether a request that failed was certainly not sent.
func IsUnsent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}
