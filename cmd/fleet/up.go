package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"caperwheel/internal/fleet"
)

// upCommand holds the arguments of up.
type upCommand struct {
	Config string `arg:"--charter,required" help:"charter file; the plan lies beside it as NAME.fleet.json"`
	Root   string `arg:"--root" default:"." help:"root of the sources, for building"`
	Bin    string `arg:"--bin" help:"folder with built programs; built if not given"`
}

// up starts a deployment and keeps it running until SIGINT or SIGTERM, then removes its data and logs.
func up(a *upCommand) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	plan, doc, err := fleet.ReadPlan(a.Config)
	if err != nil {
		return err
	}
	w := workspace{Bin: a.Bin}
	err = w.prepare(ctx, a.Root)
	defer os.RemoveAll(w.Dir)
	if err != nil {
		return err
	}
	f, err := fleet.New(plan, doc, w.Bin, "", w.Dir)
	if err != nil {
		return err
	}
	defer f.Stop()
	upCtx, cancelUp := context.WithTimeout(ctx, time.Minute)
	defer cancelUp()
	if err := f.Start(upCtx); err != nil {
		return err
	}
	fmt.Printf("%d daemons are running; logs and data are in %s and are removed at the end.\n", len(f.All()), w.Dir)
	for _, p := range f.Adapters {
		fmt.Printf("messages: http://%s/v1/lanes/LANE/messages\n", p.Http)
	}
	for _, p := range f.Managers {
		fmt.Printf("operators: http://%s (caperwheel --manager)\n", p.Http)
	}
	<-ctx.Done()
	return nil
}
