package cli

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperwheel/internal/manager"
	"caperwheel/internal/wire"
)

// healthyStatus returns the status of a deployment without faults.
func healthyStatus() manager.Status {
	s := manager.Status{Manager: "manager-1", IsFresh: true, Revision: 7}
	add := func(kind, name, zone string) {
		s.Members = append(s.Members, manager.StatusMember{Who: wire.Who{Name: name, Kind: kind, Zone: zone}, IsFresh: true, Revision: 7,
			Counts: map[string]int64{}})
	}
	for _, zone := range []string{"a", "b", "c"} {
		add("store", "store-"+zone, zone)
		add("manager", "manager-"+zone, zone)
	}
	s.Places = []manager.StatusGroup{{Owner: "store-a", Voters: 3}}
	s.Parts = []manager.StatusGroup{{Owner: "store-b", Voters: 3}}
	s.Pools = []manager.StatusPool{{Name: "p", Workers: 1, Duties: map[string]string{"w": "adapter-1"}}}
	return s
}

// TestDoctor injects the fault that each of the doctor's checks looks for.
func TestDoctor(t *testing.T) {
	cases := []struct {
		finding     string
		isGrave     bool
		injectFault func(s *manager.Status)
	}{
		{"manager-1: its view is stale", true, func(s *manager.Status) { s.IsFresh = false }},
		{"store-a: its view is stale", true, func(s *manager.Status) { s.Members[0].IsFresh = false }},
		{"store-a: holds configuration revision 6", false, func(s *manager.Status) { s.Members[0].Revision = 6 }},
		{"store-a: its disk is nearly full", true, func(s *manager.Status) { s.Members[0].Counts["full"] = 1 }},
		{"store-a: the time of 2 of its places was unknown when it became their owner", false, func(s *manager.Status) { s.Members[0].Counts["untimed"] = 2 }},
		{"store-a: its log has 9 segments", false, func(s *manager.Status) { s.Members[0].Counts["segments"] = 9 }},
		{"stores: they belong to 2 separate deployments", true, func(s *manager.Status) {
			s.Members[0].Counts["cluster"], s.Members[2].Counts["cluster"] = 5, 6
		}},
		{"stores: only 2 in this deployment", false, func(s *manager.Status) { s.Members = s.Members[1:] }},
		{"stores: only 3 in this deployment, in 2 zones", false, func(s *manager.Status) { s.Members[0].Zone = "b" }},
		{"managers: only 1 in this deployment", false, func(s *manager.Status) { s.Members = append(s.Members[:3], s.Members[4]) }},
		{"places: 1 have no owner", true, func(s *manager.Status) { s.Places[0].Owner = "" }},
		{"parts: 1 have fewer than three replicas", false, func(s *manager.Status) { s.Parts[0].Voters = 2 }},
		{"places: 1 have a replica that is far behind", false, func(s *manager.Status) { s.Places[0].Lag = 2000 }},
		{"pool p: no workers are listed", false, func(s *manager.Status) { s.Pools[0].Workers = 0 }},
		{"pool p: 0 of 1 workers have a holder", false, func(s *manager.Status) { s.Pools[0].Duties = nil }},
		{"list of workers: manager-a has not read it completely yet; 7 calls were refused", false, func(s *manager.Status) {
			s.Members[1].Counts[manager.ListAgePrefix], s.Members[1].Counts[manager.ListRefusedCount] = -1, 7
		}},
		{"list of workers of zone b: the last reading of it is 61 s old", true, func(s *manager.Status) { s.Members[1].Counts[manager.ListAgePrefix+"b"] = 61_000 }},
		{"zone a: is drained", false, func(s *manager.Status) { s.DrainedZones = []string{"a"} }},
	}
	Convey("The doctor finds no faults in a healthy deployment", t, func() { So(checkStatus(healthyStatus()), ShouldBeEmpty) })
	Convey("The doctor reports", t, func() {
		for _, c := range cases {
			Convey(c.finding, func() {
				s := healthyStatus()
				c.injectFault(&s)
				found := ""
				for _, f := range checkStatus(s) {
					if line := f.Where + ": " + f.Fault; strings.HasPrefix(line, c.finding) {
						found = line
						So(f.IsSevere, ShouldEqual, c.isGrave)
						So(f.Remedy, ShouldNotBeEmpty)
					}
				}
				So(found, ShouldNotBeEmpty)
			})
		}
	})
	Convey("The doctor loads settings as the daemon would", t, func() {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		seed := free.Addr().String()
		write := func(text string) string {
			file := filepath.Join(t.TempDir(), "agent.json")
			So(os.WriteFile(file, []byte(text), 0o644), ShouldBeNil)
			return "agent=" + file
		}
		good := write(`{"name":"agent-1","cell":"a","listen":"127.0.0.1:7301","http":"127.0.0.1:7302","seeds":["` + seed + `"]}`)
		So(checkSettings(good), ShouldBeEmpty)
		free.Close()
		So(checkSettings(good)[0].Fault, ShouldContainSubstring, "does not answer")
		So(checkSettings(write(`{"name":"agent-1","cel`))[0].IsSevere, ShouldBeTrue)
	})
	Convey("If the manager is down, the doctor fails and reports it", t, func() {
		var out, errOut bytes.Buffer
		So(Main([]string{"--manager", "127.0.0.1:1", "doctor"}, &out, &errOut), ShouldEqual, ExitFailed)
		So(out.String(), ShouldContainSubstring, "the manager does not answer")
	})
}
