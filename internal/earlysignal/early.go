// Package earlysignal ignores SIGHUP before anything else of a daemon is initialized. The daemons import it for this
// effect alone. It is initialized right after os/signal, because packages are initialized in the order of their paths
// and it imports nothing else.
package earlysignal

import (
	"os/signal"
	"syscall"
)

// init ignores SIGHUP, which tells a daemon to reload its settings. While the daemon starts, the signal must not end
// the process; the settings are read anyway. Package settings subscribes to the signal later.
func init() { signal.Ignore(syscall.SIGHUP) }
