// Package settings reads the settings of a daemon from a file and from flags that override it, and
// validates them as a whole before the daemon starts. It holds the defaults, and watches the file for
// changes that may be applied at run time. Every daemon's main calls Load, and Watch while it runs.
package settings

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/tidwall/gjson"

	"caperwheel/internal/errs"
	"caperwheel/internal/timing"
)

// Duration is a time.Duration written as text such as 500ms in files and flags.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(raw []byte) error {
	got, err := time.ParseDuration(string(raw))
	d.Duration = got
	return errs.Wrap(err, errs.Invalid, "parse duration %q", raw)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Duration.String()), nil }

// Settings are the settings of a daemon. The json tags name the keys in the file; the flags have the
// same names.
type Settings struct {
	File             string   `arg:"--settings" json:"-" help:"settings file (JSON); flags override it"`
	Name             string   `arg:"--name" json:"name" help:"name of this daemon, one of its kind in the deployment"`
	Zone             string   `arg:"--cell" json:"cell" help:"zone that this machine stands in"`
	Listen           string   `arg:"--listen" json:"listen" help:"IP number and port for other daemons"`
	Advertise        string   `arg:"--advertise" json:"advertise" help:"address told to other daemons, if not the one listened on"`
	Http             string   `arg:"--http" json:"http" help:"IP number and port for HTTP"`
	Seeds            []string `arg:"--seeds" json:"seeds" help:"addresses of managers (an adapter: of its agent)"`
	Data             string   `arg:"--data" json:"data" help:"data folder (stores)"`
	Founders         int      `arg:"--founders" json:"founders" help:"stores that found a new deployment together"`
	Places           int      `arg:"--places" json:"places" help:"durable places; fixed when the deployment is founded"`
	Parts            int      `arg:"--parts" json:"parts" help:"parts of the control state beside the configuration's; fixed"`
	ConfigBound      Duration `arg:"--bound" json:"bound" help:"time within which a configuration holds everywhere"`
	Batch            int      `arg:"--batch" json:"batch" help:"messages per transport buffer"`
	TransportWorkers int      `arg:"--pool" json:"pool" help:"transport pool workers"`
	Flush            Duration `arg:"--flush" json:"flush" help:"longest wait of a partial transport buffer"`
	Window           int      `arg:"--window" json:"window" help:"unconsumed messages per session and direction"`
	MaxInFlight      int      `arg:"--most" json:"most" help:"messages in hand at once on an adapter"`
	DiskReserve      int64    `arg:"--reserve" json:"reserve" help:"bytes of disk kept free; intake stops below (stores)"`
	Verbosity        int      `arg:"--verbosity" json:"verbosity" help:"log verbosity, 0 to 4; may change while running"`

	MayBootstrap    bool     `arg:"--founds" json:"founds" help:"whether a blank store may found a new deployment, or only joins one (stores)"`
	IsFirstStart    bool     `arg:"--first" json:"first" help:"whether this is the very first start of the whole deployment (managers)"`
	Copies          int      `arg:"--copies" json:"copies" help:"replicas that a group should have; 0: as many as founders (stores)"`
	MemoryLimit     int64    `arg:"--memory" json:"memory" help:"bytes of memory that the process may take; 0: no bound is known"`
	Grace           Duration `arg:"--grace" json:"grace" help:"time between being asked to stop and being killed; 0: twice the bound"`
	Linger          Duration `arg:"--linger" json:"linger" help:"how long a daemon that was asked to stop still serves as before"`
	Front           string   `arg:"--front" json:"front" help:"IP number and port for callers who send messages as they come"`
	Probe           string   `arg:"--probe" json:"probe" help:"IP number and port that only tells readiness"`
	Operators       string   `arg:"--operators" json:"operators" help:"IP number and port for the operators' calls"`
	List            string   `arg:"--list" json:"list" help:"IP number and port where a list of workers is kept; may change while running"`
	ListRate        float64  `arg:"--list_rate" json:"list_rate" help:"calls a second that the list takes from all; may change while running"`
	ListLag         Duration `arg:"--list_lag" json:"list_lag" help:"how far the list may run behind; may change while running"`
	ResendWindow    Duration `arg:"--resend" json:"resend" help:"so long an operator's order that has no number may be sent again; 0: twice the bound"`
	ResultRetention Duration `arg:"--keep" json:"keep" help:"how long the end of a message must be answered for"`

	CrashFile   string `arg:"--crash_file" json:"crash_file" help:"file for what is printed as the process crashes; empty: crash.txt in the data folder, if there is one"`
	CrashListen string `arg:"--crash_listen" json:"crash_listen" help:"IP number and port where the crashes of others on this machine are heard"`
	CrashPeer   string `arg:"--crash_peer" json:"crash_peer" help:"IP number and port where a crash of this process is heard"`

	args   []string // flags as given; they override the file at each reload
	source *Source  // format of the file; nil for a settings file
}

// Source reads the settings from a file in another format.
type Source struct {
	File string                           // path of the file, read if no flag names a settings file
	Read func(raw []byte) ([]byte, error) // converts the file's content to that of a settings file
}

// crashFileName is the name of the crash file in a data folder.
const crashFileName = "crash.txt"

// Default returns the default settings.
func Default() Settings {
	return Settings{Founders: 3, Places: 48, Parts: 4, ConfigBound: Duration{timing.Default.ConfigApply}, Batch: 40, TransportWorkers: 40,
		Flush: Duration{500 * time.Microsecond}, Window: 4096, MaxInFlight: 2048, DiskReserve: 256 << 20, MayBootstrap: true}
}

// Bounds returns the time bounds that all time constants are derived from.
func (s Settings) Bounds() timing.Bounds { return timing.Bounds{ConfigApply: s.ConfigBound.Duration} }

// Replicas returns how many replicas each group should have.
func (s Settings) Replicas() int {
	if s.Copies > 0 {
		return s.Copies
	}
	return s.Founders
}

// CrashFilePath returns the path of the file that a crashing process prints to; empty for none.
func (s Settings) CrashFilePath() string {
	if s.CrashFile == "" && s.Data != "" {
		return filepath.Join(s.Data, crashFileName)
	}
	return s.CrashFile
}

// Shape returns the settings that must be equal on all daemons of a deployment, as text that daemons
// compare when they connect.
func (s Settings) Shape() string { return fmt.Sprintf("places=%d parts=%d", s.Places, s.Parts) }

// GracePeriod returns the time between the request to stop and the kill: the setting, or twice the
// configuration bound.
func (s Settings) GracePeriod() time.Duration {
	if s.Grace.Duration > 0 {
		return s.Grace.Duration
	}
	return 2 * s.ConfigBound.Duration
}

// Load reads and validates the settings of a kind of daemon from the file and the flags in args. Its error
// lists all faults of the settings. A source that is not nil is used unless a flag names a settings file.
func Load(kind string, args []string, source *Source) (Settings, error) {
	s := Default()
	s.args = args
	for i, a := range args { // the file is read first: flags override it
		if name, hasPrefix := strings.CutPrefix(a, "--settings="); hasPrefix {
			s.File = name
		} else if a == "--settings" && i+1 < len(args) {
			s.File = args[i+1]
		}
	}
	if s.File == "" && source != nil {
		s.File, s.source = source.File, source
	}
	if s.File != "" {
		if err := s.readFile(); err != nil {
			return s, err
		}
	}
	parser, err := arg.NewParser(arg.Config{Program: kind}, &s)
	if err != nil {
		return s, errs.Wrap(err, errs.Internal, "define command-line flags")
	}
	if err := parser.Parse(args); err != nil {
		if err == arg.ErrHelp {
			parser.WriteHelp(os.Stdout)
			os.Exit(0)
		}
		return s, errs.Wrap(err, errs.Invalid, "parse command-line flags")
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	return s, s.Check(kind)
}

// readFile overrides the settings with those of the file, converted by the source if there is one.
func (s *Settings) readFile() error {
	raw, err := os.ReadFile(s.File)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "read settings file %s", s.File)
	}
	if s.source != nil {
		if raw, err = s.source.Read(raw); err != nil {
			return errs.Wrap(err, errs.Invalid, "convert settings file %s", s.File)
		}
	}
	return s.merge(raw)
}

// merge overrides the settings with those of a file's content. Its error lists all unknown keys and
// wrong types.
func (s *Settings) merge(raw []byte) error {
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return errs.New(errs.Invalid, "settings file %s: not a JSON object", s.File)
	}
	known := gjson.Parse(string(s.encode()))
	faults := []string{}
	gjson.ParseBytes(raw).ForEach(func(key, value gjson.Result) bool {
		standard := known.Get(key.Str)
		if !standard.Exists() {
			faults = append(faults, key.Str+": is not known")
		} else if standard.Type != value.Type && !(standard.IsBool() && value.IsBool()) {
			faults = append(faults, key.Str+": is of the wrong kind")
		}
		return true
	})
	if len(faults) > 0 {
		return errs.New(errs.Invalid, "settings file %s: %s", s.File, strings.Join(faults, "; "))
	}
	return errs.Wrap(json.Unmarshal(raw, s), errs.Invalid, "decode settings file %s", s.File)
}

// NonDefaultJson returns the content of a settings file with only the settings that differ from the
// defaults, so that a daemon of another version can read it.
func (s Settings) NonDefaultJson() []byte {
	standard, out := gjson.ParseBytes(Default().encode()), map[string]json.RawMessage{}
	gjson.ParseBytes(s.encode()).ForEach(func(key, value gjson.Result) bool {
		if value.Raw != standard.Get(key.Str).Raw {
			out[key.Str] = json.RawMessage(value.Raw)
		}
		return true
	})
	raw, err := json.Marshal(out)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode settings"))
	}
	return raw
}

// encode returns all settings as JSON.
func (s Settings) encode() []byte {
	if s.Seeds == nil {
		s.Seeds = []string{}
	}
	raw, err := json.Marshal(s)
	if err != nil {
		panic(errs.Wrap(err, errs.Internal, "encode settings"))
	}
	return raw
}
