package sim

import (
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain drops the daemons' log lines: thousands of simulated lives would fill what tests print.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
