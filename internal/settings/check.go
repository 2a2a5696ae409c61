package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
)

// Check validates the settings for a kind of daemon. Its error lists all faults, each with its key.
func (s Settings) Check(kind string) error {
	faults := []string{}
	must := func(isValid bool, key, text string) {
		if !isValid {
			faults = append(faults, key+": "+text)
		}
	}
	addr := func(key, value string, isRequired bool) {
		if value == "" {
			must(!isRequired, key, "must be given")
			return
		}
		if text := config.CheckAddress(strings.TrimSuffix(value, ":0") + map[bool]string{true: ":1"}[strings.HasSuffix(value, ":0")]); text != "" {
			faults = append(faults, key+": "+text)
		}
	}
	must(s.Name != "" && !strings.ContainsAny(s.Name, "/~ "), "name", "must be given, without / ~ or spaces")
	must(s.Zone != "", "cell", "must be given")
	addr("listen", s.Listen, true)
	addr("http", s.Http, true)
	must(len(s.Seeds) > 0 || kind == "manager", "seeds", "must name at least one address")
	for _, seed := range s.Seeds {
		addr("seeds", seed, true)
	}
	must(kind != "store" || s.Data != "", "data", "must be given for a store")
	must(slices.Contains([]int{1, 3, 5}, s.Founders), "founders", "must be 1, 3 or 5")
	must(s.Places >= 1 && s.Places <= 1024, "places", "must be from 1 to 1024")
	must(s.Parts >= 1 && s.Parts <= 64, "parts", "must be from 1 to 64")
	must(s.ConfigBound.Duration >= 500*time.Millisecond && s.ConfigBound.Duration <= time.Minute, "bound", "must be from 500ms to 1m")
	must(s.Batch >= 1 && s.Batch <= 4096, "batch", "must be from 1 to 4096")
	must(s.TransportWorkers >= 1 && s.TransportWorkers <= 1024, "pool", "must be from 1 to 1024")
	must(s.Window >= s.Batch, "window", "must be at least batch")
	must(s.MaxInFlight >= 1, "most", "must be at least 1")
	must(s.Flush.Duration > 0 && s.Flush.Duration <= 100*time.Millisecond, "flush", "must be above 0 and at most 100ms")
	must(s.Verbosity >= 0 && s.Verbosity <= 4, "verbosity", "must be from 0 to 4")
	must(s.Copies >= 0 && s.Copies <= 5, "copies", "must be from 0 to 5")
	must(s.MemoryLimit >= 0, "memory", "must not be below 0")
	must(s.ListRate >= 0, "list_rate", "must not be below 0")
	for _, span := range []struct {
		key   string
		value Duration
	}{{"grace", s.Grace}, {"linger", s.Linger}, {"list_lag", s.ListLag}, {"keep", s.ResultRetention}, {"resend", s.ResendWindow}} {
		must(span.value.Duration >= 0, span.key, "must not be below 0")
	}
	must(s.Linger.Duration < s.GracePeriod(), "linger", "must be below grace")
	addr("front", s.Front, false)
	addr("probe", s.Probe, false)
	addr("operators", s.Operators, false)
	addr("list", s.List, false)
	addr("crash_listen", s.CrashListen, false)
	addr("crash_peer", s.CrashPeer, false)
	must(s.CrashListen == "" || s.CrashListen != s.CrashPeer, "crash_peer", "must be another's address, not that of crash_listen")
	if host, _, err := net.SplitHostPort(s.Advertise); err == nil {
		must(!net.ParseIP(host).IsUnspecified(), "advertise", "must be an address that others can reach")
	}
	if len(faults) > 0 {
		return errs.New(errs.Invalid, "settings: %s", strings.Join(faults, "; "))
	}
	return nil
}
