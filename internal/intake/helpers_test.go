package intake

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"caperwheel/internal/config"
	"caperwheel/internal/daemon"
	"caperwheel/internal/errs"
	"caperwheel/internal/feed"
	"caperwheel/internal/session"
	"caperwheel/internal/settings"
	"caperwheel/internal/timing"
	"caperwheel/internal/wire"
)

// TestSetup configures an intake for tests outside of the package.
type TestSetup struct {
	Take, Settle *wire.Taken // nil: no owner answers
	IsUncertain  bool        // an earlier attempt may be held
	Sight        *wire.Sight // the owner's answer about a message
	IsStale      bool
	MaxInFlight  int
	Rules        string      // the configuration; empty for passthroughConfig
	Owners       ownerClient // answers all requests; nil for the replies above
}

// fakeLookupOwners is fakeOwners that also answers lookups.
type fakeLookupOwners struct {
	fakeOwners
	sight *wire.Sight
}

// CallOwner implements ownerClient.
func (s *fakeLookupOwners) CallOwner(ctx context.Context, id int64, message any, owned func(any) (bool, string)) (any, error) {
	switch look, isLook := message.(*wire.Look); {
	case isLook && look.Claim.Operation != "":
		return homeReply(look), nil
	case isLook && s.sight != nil:
		return s.sight, nil
	}
	return s.fakeOwners.CallOwner(ctx, id, message, owned)
}

// homeReply is the reply of a home that knows no operation key yet.
func homeReply(look *wire.Look) *wire.Sight {
	if !look.Claim.IsPlaced {
		return &wire.Sight{IsHome: true}
	}
	return &wire.Sight{Bound: look.Id}
}

// passthroughConfig is the default configuration of TestSetup.
const passthroughConfig = `{"pools":{"p":{}},"lanes":{"l":{"pools":["p"],"size":9,"host":"x.example","prefix":"/a/","notify":true},
	"o":{"pools":["p"],"prefix":"/o/","ordering":"key"}}}`

// Refused returns the faults of a configuration as an error, or nil.
func Refused(doc []byte) error {
	if _, faults := config.Compile(doc); len(faults) > 0 {
		return errs.New(errs.Invalid, "%v", faults)
	}
	return nil
}

// NewTestIntake returns an intake for a setup, and a function that returns the messages that were sent to owners.
func NewTestIntake(s TestSetup) (in *Intake, takes func() []*wire.Take) {
	owners := &fakeLookupOwners{fakeOwners: fakeOwners{take: s.Take, settle: s.Settle, isUncertain: s.IsUncertain}, sight: s.Sight}
	view := feed.NewView(0)
	d := &daemon.Daemon{Started: time.Now().Add(-time.Hour), Bounds: timing.Default, View: view, Membership: session.NewMembership(),
		Mux: http.NewServeMux(), Settings: settings.Settings{Places: 48, MaxInFlight: s.MaxInFlight}}
	at := d.Now()
	if s.IsStale {
		at = 0
	}
	rules := cmp.Or(s.Rules, passthroughConfig)
	view.Update([]wire.PartNews{{To: 7, Changes: []wire.Change{{Key: config.DocumentKey, Revision: 7, Value: []byte(rules)}}}}, at)
	in = New(d, &config.Cache{View: view})
	in.owners = owners
	if s.Owners != nil {
		in.owners = s.Owners
	}
	return in, func() []*wire.Take { return owners.takes }
}

// Handler returns the handler of the adapter's own address.
func Handler(in *Intake) http.Handler { return in.d.Mux }

// UpdateConfig applies a newer configuration to the intake's view.
func UpdateConfig(in *Intake, rules string) {
	at := in.d.View.Revision(feed.ConfigPart)
	change := wire.Change{Key: config.DocumentKey, Revision: at + 1, Value: []byte(rules)}
	in.d.View.Update([]wire.PartNews{{From: at, To: at + 1, Changes: []wire.Change{change}}}, in.d.Now())
}
