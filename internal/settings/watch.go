package settings

import (
	"context"
	"path/filepath"

	"github.com/fsnotify/fsnotify"
	"k8s.io/klog/v2"

	"caperwheel/internal/mishap"
)

// Reread reads the file again. Only Verbosity may change while a daemon runs;
// anything else, or anything wrong, is refused and the old settings are kept.
func Reread(kind string, old Settings) (Settings, error) {
	next, err := Load(kind, old.args)
	if err != nil {
		return old, err
	}
	live := next
	live.Verbosity = old.Verbosity
	if string(live.text()) != string(old.text()) {
		return old, mishap.New(mishap.Rejected, "the file changes what only a restart can change")
	}
	return next, nil
}

// Watch follows the settings file until ctx ends; began is called once it does.
func Watch(ctx context.Context, kind string, s Settings, use func(Settings), began func()) {
	if s.File == "" {
		return
	}
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		klog.Warningf("settings: The file cannot be watched: %v.", err)
		return
	}
	defer watcher.Close()
	// The folder, since editors replace the file.
	if err := watcher.Add(filepath.Dir(s.File)); err != nil {
		klog.Warningf("settings: The file cannot be watched: %v.", err)
		return
	}
	began()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-watcher.Events:
			if filepath.Clean(event.Name) != filepath.Clean(s.File) || event.Op&(fsnotify.Write|fsnotify.Create) == 0 {
				continue
			}
			next, err := Reread(kind, s)
			if err != nil {
				klog.Warningf("settings: A change is refused, the old settings stay: %v.", err)
				continue
			}
			s = next
			use(s)
			klog.Infof("settings: The changed file is in use.")
		case err := <-watcher.Errors:
			klog.Warningf("settings: Watching failed: %v.", err)
		}
	}
}
