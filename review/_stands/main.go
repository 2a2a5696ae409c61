// Command stands plays one case of the review: it starts the project's daemons as processes on
// loopback addresses, with a small stand-in of the users' platform, its workers and a client, and judges
// one rule by what client and workers have seen.
//
// Usage: stands CASE BIN DIR RECORD, with TROUBLE=0 for the same without the disruption.
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are what can be played, by name.
var cases = map[string]func(ctx context.Context, p *play) (int, error){
	"release": release,
	"address": addressReused,
	"repeat":  routeAdded,
}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stands release|address|repeat BIN DIR RECORD")
		os.Exit(cannotRun)
	}
	code, err := perform(cases[os.Args[1]], os.Args[2], os.Args[3], os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stands:", err)
		code = cannotRun
	}
	os.Exit(code)
}

// perform plays a case, and ends all that it started.
func perform(run func(ctx context.Context, p *play) (int, error), bin, dir, record string) (int, error) {
	file, err := os.Create(record)
	if err != nil {
		return cannotRun, err
	}
	defer file.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDeployment(bin, dir)
	if err != nil {
		return cannotRun, err
	}
	defer d.down()
	code, err := run(ctx, &play{deployment: d, fleet: &workers{}, record: file, isTrouble: os.Getenv("TROUBLE") != "0"})
	if err == nil {
		err = ctx.Err()
	}
	return code, err
}
