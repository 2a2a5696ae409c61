package fleet

import (
	"bytes"
	"os"
	"path/filepath"
)

// Crashes returns the reports of panics, fatal errors and the race detector in the daemons' logs. A daemon that crashes
// and is restarted may otherwise go unnoticed, as it need not violate any rule of internal/check.
func (f *Fleet) Crashes() []string { return CrashesIn(filepath.Join(f.Dir, "log")) }

// CrashesIn returns the crash reports in a folder of log files, up to 2000 bytes of each.
func CrashesIn(dir string) []string {
	out := []string{}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, marker := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if at := bytes.Index(raw, []byte(marker)); at >= 0 {
				out = append(out, filepath.Base(file)+": "+string(raw[at:min(len(raw), at+2000)]))
			}
		}
	}
	return out
}
