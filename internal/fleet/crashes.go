package fleet

import (
	"bytes"
	"os"
	"path/filepath"
)

// Crashes finds what a panic or the race detector has left in the daemons' logs:
// a daemon that crashes and comes back may break no rule that anybody sees.
func (f *Fleet) Crashes() []string { return CrashesIn(filepath.Join(f.Dir, "log")) }

// CrashesIn looks through a folder of logs.
func CrashesIn(dir string) []string {
	out := []string{}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, bad := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if at := bytes.Index(raw, []byte(bad)); at >= 0 {
				out = append(out, filepath.Base(file)+": "+string(raw[at:min(len(raw), at+2000)]))
			}
		}
	}
	return out
}
