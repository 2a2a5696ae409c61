// Package earlysignal does what a daemon must do before anything else of it begins. It is
// imported for its effect alone, and initialized right after os/signal, since packages are
// initialized in the order of their paths and it imports nothing else.
package earlysignal

import (
	"os/signal"
	"syscall"
)

// A daemon that is told that its settings have changed while it begins must not end of
// it: it reads them anyway. Package settings asks for the signal later.
func init() { signal.Ignore(syscall.SIGHUP) }
