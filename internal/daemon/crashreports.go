package daemon

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"caperwheel/internal/crash"
)

var neighbourEnds = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "caperwheel", Name: "neighbour_ends_total",
	Help: "Processes of this machine that have ended without being asked to, by name and cause."}, []string{"name", "cause"})

func init() { prometheus.MustRegister(neighbourEnds) }

// crashReporting has a crash of this process kept where it can be read afterwards, and hears of those of
// its neighbour. Nothing of it stops a daemon that could not do without.
type crashReporting struct {
	previous     *crash.Report // how the process before this one ended; nil where in order, or nothing is known
	stop         context.CancelFunc
	exitReported chan struct{} // closed once the neighbour was told of an end in order; nil without one
}

func (c *crashReporting) start(d *Daemon) {
	s := d.Settings
	if file := s.CrashFilePath(); file != "" {
		previous, err := crash.RecordTo(file)
		if err != nil {
			klog.Warningf("%s: A crash would not be kept: %v.", d.Kind, err)
		}
		if c.previous = previous; previous != nil {
			klog.Errorf("%s: The process before this one ended without being asked to, by %v.", d.Kind, previous)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	if s.CrashListen != "" {
		err := c.newListener(d).Listen(ctx, s.CrashListen)
		if err != nil {
			klog.Warningf("%s: Crashes of others would not be heard: %v.", d.Kind, err)
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

func (c *crashReporting) newListener(d *Daemon) crash.Listener {
	return crash.Listener{
		OnConnect: func(name string) {
			klog.V(1).Infof("%s: From now on, %s on this machine is heard if it crashes.", d.Kind, name)
		},
		OnCrash: func(name string, report crash.Report) {
			neighbourEnds.WithLabelValues(name, report.Cause).Inc()
			klog.Errorf("%s: %s on this machine ended without being asked to, by %v.", d.Kind, name, report)
		},
	}
}

// reportCleanExit says that the process ends in order.
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
			klog.Warningf("%s: The next process would take this end for a crash: %v.", d.Kind, err)
		}
	}
}

func (c *crashReporting) collectMetrics(emit Emit) {
	if c.previous != nil {
		emit("previous_end", "1 where the process before this one ended without being asked to, by cause.", 1, "cause", c.previous.Cause)
	}
}
