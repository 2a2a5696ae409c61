package main

import (
	"fmt"
	"time"

	"caperwheel/internal/check"
	"caperwheel/internal/fleet"
)

// backendCommand is one stand-in worker, for trying things out.
type backendCommand struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:9001" help:"address to listen on"`
	Work   time.Duration `arg:"--work" default:"20ms" help:"how long a run takes, about"`
}

func backend(a *backendCommand) error {
	began := time.Now()
	b := fleet.Backend{Pool: "standin", Name: "standin", MeanRunTime: a.Work}
	b.RecordTo(check.NewHistory(), func() time.Duration { return time.Since(began) })
	if err := b.Start(a.Listen); err != nil {
		return err
	}
	fmt.Printf("a stand-in worker answers at %s\n", b.Addr)
	select {}
}
