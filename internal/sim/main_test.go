package sim

import (
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain discards the daemons' log lines: thousands of simulated processes would flood the tests' output.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
