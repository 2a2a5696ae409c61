// Package settings reads what a daemon must know of its place: from a file,
// from flags that override it, checked as a whole before anything starts.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/tidwall/gjson"

	"caperwheel/internal/beat"
	"caperwheel/internal/charter"
	"caperwheel/internal/mishap"
)

// Duration reads as text such as 500ms in files and flags.
type Duration struct{ time.Duration }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(raw []byte) error {
	got, err := time.ParseDuration(string(raw))
	d.Duration = got
	return mishap.Wrap(err, mishap.Invalid, "duration %q", raw)
}

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.Duration.String()), nil }

// Settings of a daemon. Tags name the file's keys; flags are the same words.
type Settings struct {
	File      string   `arg:"--settings" json:"-" help:"settings file (JSON); flags override it"`
	Name      string   `arg:"--name" json:"name" help:"name of this daemon, one of its kind in the deployment"`
	Cell      string   `arg:"--cell" json:"cell" help:"cell (zone) that this machine stands in"`
	Listen    string   `arg:"--listen" json:"listen" help:"IP number and port for other daemons"`
	Advertise string   `arg:"--advertise" json:"advertise" help:"address told to other daemons, if not the one listened on"`
	Http      string   `arg:"--http" json:"http" help:"IP number and port for HTTP"`
	Seeds     []string `arg:"--seeds" json:"seeds" help:"addresses of managers (an adapter: of its agent)"`
	Data      string   `arg:"--data" json:"data" help:"data folder (stores)"`
	Founders  int      `arg:"--founders" json:"founders" help:"stores that found a new deployment together"`
	Places    int      `arg:"--places" json:"places" help:"durable places; fixed when the deployment is founded"`
	Parts     int      `arg:"--parts" json:"parts" help:"parts of the control state beside the charter's; fixed"`
	Bound     Duration `arg:"--bound" json:"bound" help:"time within which a charter holds everywhere"`
	Batch     int      `arg:"--batch" json:"batch" help:"messages per transport buffer"`
	Pool      int      `arg:"--pool" json:"pool" help:"transport pool workers"`
	Flush     Duration `arg:"--flush" json:"flush" help:"longest wait of a partial transport buffer"`
	Window    int      `arg:"--window" json:"window" help:"unconsumed messages per session and direction"`
	Most      int      `arg:"--most" json:"most" help:"messages in hand at once on an adapter"`
	Reserve   int64    `arg:"--reserve" json:"reserve" help:"bytes of disk kept free; intake stops below (stores)"`
	Verbosity int      `arg:"--verbosity" json:"verbosity" help:"log verbosity, 0 to 4; may change while running"`

	args []string // as given: they override the file whenever it is read
}

// Default settings.
func Default() Settings {
	return Settings{Founders: 3, Places: 48, Parts: 4, Bound: Duration{beat.Default.Charter}, Batch: 40, Pool: 40,
		Flush: Duration{500 * time.Microsecond}, Window: 4096, Most: 2048, Reserve: 256 << 20}
}

// Bounds gives the bounds that constants are ratios of.
func (s Settings) Bounds() beat.Bounds { return beat.Bounds{Charter: s.Bound.Duration} }

// Shape must be the same on all daemons of a deployment.
func (s Settings) Shape() string { return fmt.Sprintf("places=%d parts=%d", s.Places, s.Parts) }

// Load reads file and flags for a kind of daemon. All faults are told at once.
func Load(kind string, args []string) (Settings, error) {
	s := Default()
	s.args = args
	for i, a := range args { // the file comes first: flags override it
		if name, isIt := strings.CutPrefix(a, "--settings="); isIt {
			s.File = name
		} else if a == "--settings" && i+1 < len(args) {
			s.File = args[i+1]
		}
	}
	if s.File != "" {
		if err := s.readFile(); err != nil {
			return s, err
		}
	}
	parser, err := arg.NewParser(arg.Config{Program: kind}, &s)
	if err != nil {
		return s, mishap.Wrap(err, mishap.Internal, "flags")
	}
	if err := parser.Parse(args); err != nil {
		if err == arg.ErrHelp {
			parser.WriteHelp(os.Stdout)
			os.Exit(0)
		}
		return s, mishap.Wrap(err, mishap.Invalid, "flags")
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	return s, s.Check(kind)
}

func (s *Settings) readFile() error {
	raw, err := os.ReadFile(s.File)
	if err != nil {
		return mishap.Wrap(err, mishap.Invalid, "settings file %s", s.File)
	}
	return s.merge(raw)
}

// merge reads a file's text over the settings, naming every key that is wrong.
func (s *Settings) merge(raw []byte) error {
	if !gjson.ValidBytes(raw) || !gjson.ParseBytes(raw).IsObject() {
		return mishap.New(mishap.Invalid, "settings file %s: not a JSON object", s.File)
	}
	known := gjson.Parse(string(s.text()))
	wrong := []string{}
	gjson.ParseBytes(raw).ForEach(func(key, value gjson.Result) bool {
		is := known.Get(key.Str)
		if !is.Exists() {
			wrong = append(wrong, key.Str+": is not known")
		} else if is.Type != value.Type {
			wrong = append(wrong, key.Str+": is of the wrong kind")
		}
		return true
	})
	if len(wrong) > 0 {
		return mishap.New(mishap.Invalid, "settings file %s: %s", s.File, strings.Join(wrong, "; "))
	}
	return mishap.Wrap(json.Unmarshal(raw, s), mishap.Invalid, "settings file %s", s.File)
}

func (s Settings) text() []byte {
	if s.Seeds == nil {
		s.Seeds = []string{}
	}
	raw, err := json.Marshal(s)
	if err != nil {
		panic(mishap.Wrap(err, mishap.Internal, "settings"))
	}
	return raw
}

// Check tells all that is wrong, each with its key.
func (s Settings) Check(kind string) error {
	wrong := []string{}
	must := func(isRight bool, key, text string) {
		if !isRight {
			wrong = append(wrong, key+": "+text)
		}
	}
	addr := func(key, value string, isNeeded bool) {
		if value == "" {
			must(!isNeeded, key, "must be given")
			return
		}
		if text := charter.CheckAddress(strings.TrimSuffix(value, ":0") + map[bool]string{true: ":1"}[strings.HasSuffix(value, ":0")]); text != "" {
			wrong = append(wrong, key+": "+text)
		}
	}
	must(s.Name != "" && !strings.ContainsAny(s.Name, "/~ "), "name", "must be given, without / ~ or blanks")
	must(s.Cell != "", "cell", "must be given")
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
	must(s.Bound.Duration >= 500*time.Millisecond && s.Bound.Duration <= time.Minute, "bound", "must be from 500ms to 1m")
	must(s.Batch >= 1 && s.Batch <= 4096, "batch", "must be from 1 to 4096")
	must(s.Pool >= 1 && s.Pool <= 1024, "pool", "must be from 1 to 1024")
	must(s.Window >= s.Batch, "window", "must be at least batch")
	must(s.Most >= 1, "most", "must be at least 1")
	must(s.Flush.Duration > 0 && s.Flush.Duration <= 100*time.Millisecond, "flush", "must be from above 0 to 100ms")
	must(s.Verbosity >= 0 && s.Verbosity <= 4, "verbosity", "must be from 0 to 4")
	if host, _, err := net.SplitHostPort(s.Advertise); err == nil {
		must(!net.ParseIP(host).IsUnspecified(), "advertise", "must be an address that others can reach")
	}
	if len(wrong) > 0 {
		return mishap.New(mishap.Invalid, "settings: %s", strings.Join(wrong, "; "))
	}
	return nil
}
