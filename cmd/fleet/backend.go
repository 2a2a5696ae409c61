package main

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// backendCommand holds the arguments of backend.
type backendCommand struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:9001" help:"address to listen on"`
	Work   time.Duration `arg:"--work" default:"20ms" help:"how long a run takes, about"`
}

// backend runs one simulated worker, for manual tests, until the process is killed.
func backend(a *backendCommand) error {
	began := time.Now()
	b := fleet.Backend{Pool: "standin", Name: "standin", MeanRunTime: a.Work}
	b.RecordTo(check.NewHistory(), func() time.Duration { return time.Since(began) })
	if err := b.Start(a.Listen); err != nil {
		return err
	}
	fmt.Printf("a simulated worker listens on %s\n", b.Addr)
	select {}
}
