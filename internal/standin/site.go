package standin

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"caperwheel/internal/errs"
	"caperwheel/internal/fleet"
)

// Addresses of a site: host numbers in 127.n.net.*, and port numbers counted from the site's first port.
const (
	reservationPort = 11999 // listened to on host 1 to reserve the network for this site
	listHost        = 2     // the list is served on this host and the next one, so that it can move
	receiverHost    = 5
	machineHost     = 20
	workerHost      = 1000
	slowGraceFactor = 5
	hostsPerNetwork = 250 // addresses in 127.n.net.*
	portFront       = 0
	portReady       = 1
	portControl     = 2
	portFirst       = 10
	portLast        = 19
)

// Site is a complete deployment on the emulated platform: real daemons on machines, workers, load balancer, operator
// and receivers.
type Site struct {
	Zones    []string
	Dir, Bin string
	History  *History
	Pools    map[string]*Pool
	Machines []*Machine
	Receiver *Receiver
	List     *list

	plan        SitePlan
	entry       *entry
	operator    *operator
	startedAt   time.Time
	net         int
	port        int
	hosts       atomic.Int32
	reservation net.Listener
	servers     []*http.Server
	cancel      context.CancelFunc
	ctx         context.Context
	periodic    sync.WaitGroup
	queryClient *http.Client // for queries about messages
	keys        *keyring
	repeats     repeats

	hasRandomFaults bool // faults may disrupt what another fault relies on
	failuresMu      sync.Mutex
	Failures        []string // faults that could not be caused, processes that exited by themselves
}

// Now returns the time since the site was created, the clock of all records.
func (s *Site) Now() time.Duration { return time.Since(s.startedAt) }

// recordFailure records that a step of the run could not be carried out or a daemon failed.
func (s *Site) recordFailure(form string, args ...any) {
	s.failuresMu.Lock()
	defer s.failuresMu.Unlock()
	s.Failures = append(s.Failures, fmt.Sprintf(form, args...))
}

// sleep waits for a duration, and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// New creates a site in a directory. Workers and the emulated platform serve at once; the daemons are started by Up.
func New(plan SitePlan, bin, dir string) (*Site, error) {
	s := &Site{plan: plan, Zones: plan.Zones, Dir: dir, Bin: bin, History: NewHistory(), Pools: map[string]*Pool{}, startedAt: time.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.queryClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentQueries}}
	if err := s.reserveNetwork(); err != nil {
		return nil, err
	}
	s.hosts.Store(workerHost)
	for _, p := range plan.Services {
		pool := newPool(s, p)
		s.Pools[p.Name] = pool
		s.History.Services[p.Name] = Service{p.Rate, p.ColdRate}
		if err := pool.startWorkers(); err != nil {
			return s, errs.Wrap(err, errs.Internal, "start the first workers")
		}
	}
	s.List, s.Receiver = &list{site: s, page: cmp.Or(plan.ListPage, listPageEntries), rate: cmp.Or(plan.ListRate, listRatePerSecond)}, &Receiver{site: s}
	for _, p := range plan.Services {
		if p.Listed > 0 {
			if err := s.addManyWorkers(p); err != nil {
				return s, err
			}
		}
	}
	s.List.snapshot()
	for i, h := range []http.Handler{s.List, s.List, s.Receiver} {
		maxConns := 0
		host := listHost + i
		if h == http.Handler(s.Receiver) {
			host, maxConns = receiverHost, receiverConns
		}
		if err := s.serve(s.at(host, 0), h, maxConns); err != nil {
			return s, err
		}
	}
	if err := s.createMachines(); err != nil {
		return s, err
	}
	s.entry, s.operator = newEntry(s), newOperator(s, plan)
	s.keys = newKeyring(s.operator.current.Tenants)
	return s, nil
}

// at returns an address: a host number of the site, and a port counted from the site's first one.
func (s *Site) at(host, port int) string {
	return net.JoinHostPort(s.ip(host), strconv.Itoa(s.port+port))
}

// ip returns the loopback address of a host number.
func (s *Site) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", host/hostsPerNetwork, s.net, 1+host%hostsPerNetwork)
}

// grace returns the time between SIGTERM and SIGKILL that the settings promise to processes.
func (s *Site) grace() time.Duration { return cmp.Or(s.plan.Grace, gracePeriod) }

// stopTimeout returns the time between SIGTERM and SIGKILL that processes really get.
func (s *Site) stopTimeout() time.Duration {
	if s.plan.IsSlow {
		return slowGraceFactor * s.grace()
	}
	return s.grace()
}

// runPeriodically calls do periodically until the site goes down.
func (s *Site) runPeriodically(period time.Duration, do func()) {
	s.periodic.Add(1)
	go func() {
		defer s.periodic.Done()
		for sleep(s.ctx, period) {
			do()
		}
	}()
}

// Up starts all daemons and sends the first configuration. It returns once every front is ready.
func (s *Site) Up(ctx context.Context) error {
	for _, m := range s.Machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	s.runPeriodically(listDelay/4, s.List.snapshot)
	s.runPeriodically(time.Second, s.entry.probe)
	s.runPeriodically(watchPeriod, s.restartExited)
	if code := s.operator.sendFirst(ctx); code != 200 {
		return errs.New(errs.DeadlineExceeded, "the first configuration was not acknowledged: status %d", code)
	}
	for !s.entry.isEveryFrontReady() {
		if !sleep(ctx, 50*time.Millisecond) {
			return errs.New(errs.DeadlineExceeded, "not every front became ready")
		}
	}
	return nil
}

// Down stops everything that the site has started.
func (s *Site) Down() {
	s.cancel()
	s.periodic.Wait()
	s.killAll() // releases the mutexes of machines that wait for a process to stop
	for _, m := range s.Machines {
		m.mu.Lock()
		m.isPermanentlyDown = true // a fault that ends late must not start it again
		m.mu.Unlock()
	}
	s.killAll()
	for _, p := range s.Pools {
		for _, w := range p.all() {
			w.shutDown()
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.reservation != nil {
		s.reservation.Close()
	}
}

// killAll kills all processes of the site.
func (s *Site) killAll() {
	var wg sync.WaitGroup
	for _, m := range s.Machines {
		for _, p := range m.Processes {
			wg.Go(p.Kill)
		}
	}
	wg.Wait()
}

// Crashes returns the panics found in the logs.
func (s *Site) Crashes() []string { return fleet.CrashesIn(filepath.Join(s.Dir, "log")) }

// createMachines creates the machines of each class, spread over the zones.
func (s *Site) createMachines() error {
	for _, folder := range []string{"log", "etc"} {
		if err := os.MkdirAll(filepath.Join(s.Dir, folder), 0o755); err != nil {
			return errs.Wrap(err, errs.Internal, "create the directories for logs and settings")
		}
	}
	host := machineHost
	for _, class := range []string{classCore, classStore, classFront} {
		count := len(s.Zones)
		if class == classFront {
			count *= max(1, s.plan.Fronts)
		}
		for i := range count {
			zone := s.Zones[i%len(s.Zones)]
			m := &Machine{site: s, Class: class, Zone: zone, host: host, Name: fmt.Sprintf("%s-%s-%d", class, zone, 1+i/len(s.Zones)),
				ShortName: fmt.Sprintf("%s-%d", map[string]string{classCore: "core", classStore: "store", classFront: "front"}[class], i+1)}
			m.nextSignalEvent.Store(newSignalEvent())
			host++
			m.createProcesses()
			s.Machines = append(s.Machines, m)
		}
	}
	return nil
}
