package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// withReloadable gives s with what may change while a daemon runs as it is in next.
func (s Settings) withReloadable(next Settings) Settings {
	s.Verbosity, s.Seeds, s.List, s.ListRate, s.ListLag = next.Verbosity, next.Seeds, next.List, next.ListRate, next.ListLag
	return s
}

// Reload reads the file again. Only what withReloadable names may change while a
// daemon runs, and what only counts at the start: whether a store founds, and
// whether the deployment starts for the first time. With anything else, or anything wrong, all is refused and the old settings are kept.
func Reload(kind string, old Settings) (Settings, error) {
	next, err := Load(kind, old.args, old.source)
	if err != nil {
		return old, err
	}
	next.MayBootstrap, next.IsFirstStart = old.MayBootstrap, old.IsFirstStart
	if string(old.withReloadable(next).encode()) != string(next.encode()) {
		return old, errs.New(errs.Rejected, "the file changes what only a restart can change")
	}
	return next, nil
}

// watcher looks at the settings file now and then.
//
// Invariant: seen is nil until a whole file was read; a file that is as seen
// (the same file, of the same size and time) is not read again.
type watcher struct {
	kind        string
	current     Settings
	apply       func(Settings)
	lastInfo    os.FileInfo
	lastRefusal string // the last refusal, which is logged once
}

// poll reads the file if it has changed, or anyhow when asked to.
func (w *watcher) poll(isForced bool) {
	info, err := os.Stat(w.current.File)
	isSame := err == nil && w.lastInfo != nil && os.SameFile(info, w.lastInfo) && info.Size() == w.lastInfo.Size() && info.ModTime().Equal(w.lastInfo.ModTime())
	if isSame && !isForced {
		return
	}
	next, err := Reload(w.kind, w.current)
	if err != nil {
		w.lastInfo = nil
		if text := err.Error(); text != w.lastRefusal {
			w.lastRefusal = text
			klog.Warningf("settings: A change is refused, the old settings stay: %v.", err)
		}
		return
	}
	w.lastInfo, w.lastRefusal = info, ""
	if string(next.encode()) != string(w.current.encode()) {
		w.current = next
		w.apply(next)
		klog.Infof("settings: The changed file is in use.")
	}
}

// Watch follows the settings file until ctx ends; began is called once it does.
// A SIGHUP has it read at once, and ends no daemon, even one without a file.
func Watch(ctx context.Context, kind string, s Settings, apply func(Settings), started func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	started()
	if s.File == "" {
		<-ctx.Done()
		return
	}
	w := &watcher{kind: kind, current: s, apply: apply}
	ticker := time.NewTicker(s.Bounds().Of(timing.SettingsReload))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.poll(true)
		case <-ticker.C:
			w.poll(false)
		}
	}
}
