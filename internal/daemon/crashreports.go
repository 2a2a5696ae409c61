package daemon

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/crash"
)

// neighbourEnds counts the crashes that were reported by other processes of the machine.
var neighbourEnds = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Name: "neighbour_ends_total",
	Help: "Processes of this machine that have ended without being asked to, by name and cause."}, []string{"name", "cause"})

func init() { prometheus.MustRegister(neighbourEnds) }

// crashReporting records a crash of this process where it can be read afterwards, and receives the crashes
// of other processes of the machine. A failure of it never stops the daemon.
type crashReporting struct {
	previous     *crash.Report // how the previous process ended; nil for a clean exit or if nothing is known
	stop         context.CancelFunc
	exitReported chan struct{} // closed once the neighbour has been told of a clean exit; nil without one
}

// start begins to record crashes of this process and to receive those of neighbours, as the settings say.
func (c *crashReporting) start(d *Daemon) {
	s := d.Settings
	if file := s.CrashFilePath(); file != "" {
		previous, err := crash.RecordTo(file)
		if err != nil {
			klog.Warningf("%s: Cannot record crashes; the cause of one would be lost: %v.", d.Kind, err)
		}
		if c.previous = previous; previous != nil {
			klog.Errorf("%s: The previous process ended without being asked to, by %v.", d.Kind, previous)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	if s.CrashListen != "" {
		err := c.newListener(d).Listen(ctx, s.CrashListen)
		if err != nil {
			klog.Warningf("%s: Cannot listen for crashes of other processes, so they are not recorded: %v.", d.Kind, err)
		}
	}
	if s.CrashPeer != "" {
		c.exitReported = make(chan struct{})
		reporter := crash.Reporter{Name: s.Name, Addr: s.CrashPeer, Bounds: d.Bounds}
		go func() {
			defer close(c.exitReported)
			reporter.Run(ctx)
		}()
	}
	d.AddMetrics(c.collectMetrics)
}

// newListener returns a listener that logs and counts crashes of other processes.
func (c *crashReporting) newListener(d *Daemon) crash.Listener {
	return crash.Listener{
		OnConnect: func(name string) {
			klog.V(1).Infof("%s: %s on this machine has connected; its crash output is recorded from now on.", d.Kind, name)
		},
		OnCrash: func(name string, report crash.Report) {
			neighbourEnds.WithLabelValues(name, report.Cause).Inc()
			klog.Errorf("%s: %s on this machine ended without being asked to, by %v.", d.Kind, name, report)
		},
	}
}

// reportCleanExit records that the process exits cleanly.
func (c *crashReporting) reportCleanExit(d *Daemon) {
	if c.stop == nil {
		return
	}
	c.stop()
	if c.exitReported != nil {
		<-c.exitReported
	}
	if file := d.Settings.CrashFilePath(); file != "" {
		if err := crash.MarkCleanExit(file); err != nil {
			klog.Warningf("%s: Cannot record the clean exit, so the next process reports a crash: %v.", d.Kind, err)
		}
	}
}

// collectMetrics emits the cause of the previous process's end.
func (c *crashReporting) collectMetrics(emit Emit) {
	if c.previous != nil {
		emit("previous_end", "1 where the process before this one ended without being asked to, by cause.", 1, "cause", c.previous.Cause)
	}
}
