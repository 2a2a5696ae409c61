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

// withReloadable returns s with the settings that may change while a daemon runs taken from next.
func (s Settings) withReloadable(next Settings) Settings {
	s.Verbosity, s.Seeds, s.List, s.ListRate, s.ListLag = next.Verbosity, next.Seeds, next.List, next.ListRate, next.ListLag
	return s
}

// Reload reads the file again and returns the new settings. Only the settings of withReloadable may
// change while a daemon runs. Changes of MayBootstrap and IsFirstStart, which only count at the start, are
// ignored. If any other setting has changed, or anything is invalid, Reload returns an error and the
// old settings.
func Reload(kind string, old Settings) (Settings, error) {
	next, err := Load(kind, old.args, old.source)
	if err != nil {
		return old, err
	}
	next.MayBootstrap, next.IsFirstStart = old.MayBootstrap, old.IsFirstStart
	if string(old.withReloadable(next).encode()) != string(next.encode()) {
		return old, errs.New(errs.Rejected, "the file changes settings that only a restart can change")
	}
	return next, nil
}

// watcher polls the settings file for changes.
//
// Invariant: lastInfo is nil unless the last reload succeeded; a file that matches it (the same file, of
// the same size and modification time) is not read again.
type watcher struct {
	kind        string
	current     Settings
	apply       func(Settings)
	lastInfo    os.FileInfo
	lastRefusal string // text of the last error, which is logged once
}

// poll reloads the file if it has changed, or in any case if isForced.
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
			klog.Warningf("settings: The changed file is rejected and the old settings stay in force: %v.", err)
		}
		return
	}
	w.lastInfo, w.lastRefusal = info, ""
	if string(next.encode()) != string(w.current.encode()) {
		w.current = next
		w.apply(next)
		klog.Infof("settings: The changed file was read and its settings are in force.")
	}
}

// Watch polls the settings file until ctx ends and calls apply with changed settings; started is called
// once signals are handled. A SIGHUP makes it reload the file at once, and never ends the daemon, even
// one without a file.
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
