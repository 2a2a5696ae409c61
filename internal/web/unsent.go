package web

import "errors"

// Unsent marks a failure before a byte of the request was written.
type Unsent struct{ cause error }

// NewUnsent marks a failure as one before a byte was written.
func NewUnsent(cause error) *Unsent { return &Unsent{cause} }

func (u *Unsent) Error() string { return "unsent: " + u.cause.Error() }

// Unwrap gives the cause.
func (u *Unsent) Unwrap() error { return u.cause }

// IsUnsent reports whether a request that failed was certainly not sent.
func IsUnsent(err error) bool {
	var unsent *Unsent
	return errors.As(err, &unsent)
}
