// Package cli implements caperwheel, the operators' command line. It reads and changes the configuration, tenants,
// workers, zones and stores through the HTTP API of a manager, traces messages on adapters and stores, and looks for
// common faults of a deployment. cmd/caperwheel calls it; it keeps no state between commands.
package cli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/go-resty/resty/v2"

	"caperwheel/internal/errs"
)

// Exit codes of the command line, stable for scripts.
const (
	ExitOk        = 0 // success
	ExitFailed    = 1 // the request failed, or the doctor found a fault
	ExitUsage     = 2 // the command line or a file given is wrong
	ExitConflict  = 3 // another change came first, or the base is stale: read again and retry
	ExitUndecided = 4 // undecided: the change may or may not have been made
)

type configCommand struct {
	Get     *getCommand  `arg:"subcommand:get" help:"print the configuration; its revision goes to standard error"`
	Set     *editCommand `arg:"subcommand:set" help:"replace the configuration"`
	Patch   *editCommand `arg:"subcommand:patch" help:"apply a JSON merge patch"`
	Check   *fileCommand `arg:"subcommand:check" help:"check a configuration file here, without a manager"`
	Diff    *fileCommand `arg:"subcommand:diff" help:"show what a configuration file would change"`
	History *struct{}    `arg:"subcommand:history" help:"list recent revisions with who and when"`
}

// getCommand holds the arguments of config get.
type getCommand struct {
	Whole bool `arg:"--whole" help:"also the document that it was made from, which may hold keys of tenants"`
}

// fileCommand holds the arguments of commands that read one file.
type fileCommand struct {
	File string `arg:"positional,required"`
}

// editCommand holds the arguments of commands that change a document.
type editCommand struct {
	File     string `arg:"positional,required" help:"file with the document; - for standard input"`
	Revision string `arg:"--revision" help:"revision that the change is based on; the newest if not given"`
	Stamp    string `arg:"--stamp" help:"the former name of --revision, accepted for one more release"`
	DryRun   bool   `arg:"--dry-run" help:"only check, and show the differences"`
}

// base returns the revision that the change is based on, or an empty string for the newest.
func (e editCommand) base() (string, error) {
	if e.Revision != "" && e.Stamp != "" && e.Revision != e.Stamp {
		return "", errs.New(errs.Invalid, "--revision and --stamp name different revisions")
	}
	return cmp.Or(e.Revision, e.Stamp), nil
}

// poolEditCommand holds the arguments of commands that change a pool's list of workers.
type poolEditCommand struct {
	Pool string `arg:"positional,required"`
	editCommand
}

type workersCommand struct {
	Get   *nameCommand     `arg:"subcommand:get" help:"print the live list of a pool"`
	Set   *poolEditCommand `arg:"subcommand:set" help:"replace the live list: POOL FILE"`
	Patch *poolEditCommand `arg:"subcommand:patch" help:"change the entries given, by name: POOL FILE"`
}

// nameCommand holds the arguments of commands on one named object.
type nameCommand struct {
	Name string `arg:"positional,required"`
}

type zoneCommand struct {
	Empty   *nameCommand `arg:"subcommand:empty" help:"give a zone no new work"`
	Restore *nameCommand `arg:"subcommand:restore" help:"use a zone again"`
}

type storeCommand struct {
	Retire   *nameCommand `arg:"subcommand:retire" help:"move all off a store"`
	Restore  *nameCommand `arg:"subcommand:restore" help:"use a store again"`
	Progress *nameCommand `arg:"subcommand:progress" help:"tell how far a retirement has come"`
}

// messageCommand holds the arguments of message.
type messageCommand struct {
	Adapter string `arg:"--adapter,env:CAPERWHEEL_ADAPTER" help:"HTTP address of an adapter; one is looked up if not given"`
	ApiKey  string `arg:"--,env:CAPERWHEEL_API_KEY" help:"API key of the message's tenant, if it is one's"`
	Id      string `arg:"positional,required"`
	Body    bool   `arg:"--body" help:"print the message's bytes"`
	Story   bool   `arg:"--story" help:"print where it stands on every daemon, and what it waits for"`
}

// arguments holds the global options and the commands, of which at most one is set.
type arguments struct {
	Manager  string          `arg:"--manager,env:CAPERWHEEL_MANAGER" default:"127.0.0.1:8090" help:"HTTP address of any manager"`
	Json     bool            `arg:"--json" help:"print JSON as the API gives it"`
	Operator string          `arg:"--operator,env:CAPERWHEEL_OPERATOR" help:"your name, for the history"`
	Doctor   *doctorCommand  `arg:"subcommand:doctor" help:"look for common faults"`
	Apply    *applyCommand   `arg:"subcommand:apply" help:"make the system what a folder declares"`
	Config   *configCommand  `arg:"subcommand:config|charter" help:"the configuration, a tree of settings"`
	Tenants  *tenantsCommand `arg:"subcommand:tenants" help:"customers, their API keys and limits"`
	Workers  *workersCommand `arg:"subcommand:workers" help:"a pool's live list"`
	Zone     *zoneCommand    `arg:"subcommand:zone|cell" help:"empty or restore a zone"`
	Store    *storeCommand   `arg:"subcommand:store" help:"retire a store"`
	Status   *struct{}       `arg:"subcommand:status" help:"members, places, pools"`
	Message  *messageCommand `arg:"subcommand:message" help:"a message's state, proof or bytes"`
}

// Version returns the text that --version prints.
func (arguments) Version() string { return "caperwheel (unreleased)" }

// runner runs one command against the manager that its arguments name.
type runner struct {
	args        arguments
	in          io.Reader
	out, errOut io.Writer
	client      *resty.Client
}

// Main runs the command line args and returns the exit code. Results are written to out, messages and errors to
// errOut. A file argument of - and --stdin read standard input.
func Main(args []string, out, errOut io.Writer) int { return run(args, os.Stdin, out, errOut) }

// run is Main, but reads API keys from in instead of standard input.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	t := &runner{in: in, out: out, errOut: errOut, client: resty.New()}
	parser, err := arg.NewParser(arg.Config{Program: "caperwheel"}, &t.args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOk
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(out, t.args.Version())
		return ExitOk
	case err != nil:
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	t.client.SetBaseURL("http://"+t.args.Manager).SetHeader("X-Operator", t.args.Operator)
	return t.exitCode(t.run(parser))
}

// exitCode prints an error and returns the exit code for its kind.
func (t *runner) exitCode(err error) int {
	if err == nil {
		return ExitOk
	}
	fmt.Fprintln(t.errOut, err)
	switch errs.KindOf(err) {
	case errs.Conflict:
		return ExitConflict
	case errs.Undecided:
		return ExitUndecided
	case errs.Invalid, errs.Missing:
		return ExitUsage
	}
	return ExitFailed
}

// run runs the command that was parsed, or prints the help if there is none.
func (t *runner) run(parser *arg.Parser) error {
	a := t.args
	switch {
	case a.Doctor != nil:
		return t.doctor(a.Doctor)
	case a.Apply != nil:
		return t.apply(a.Apply)
	case a.Config != nil && a.Config.Get != nil:
		return t.printConfig(a.Config.Get.Whole)
	case a.Config != nil && a.Config.History != nil:
		return t.printDocument("/v1/charter/history")
	case a.Config != nil && a.Config.Check != nil:
		return t.checkConfig(a.Config.Check.File)
	case a.Config != nil && a.Config.Diff != nil:
		return t.editDocument("PUT", "/v1/charter", editCommand{File: a.Config.Diff.File, DryRun: true})
	case a.Config != nil && a.Config.Set != nil:
		return t.editDocument("PUT", "/v1/charter", *a.Config.Set)
	case a.Config != nil && a.Config.Patch != nil:
		return t.editDocument("PATCH", "/v1/charter", *a.Config.Patch)
	case a.Tenants != nil:
		return t.tenants(a.Tenants)
	case a.Workers != nil && a.Workers.Set != nil:
		return t.editDocument("PUT", "/v1/pools/"+a.Workers.Set.Pool+"/workers", a.Workers.Set.editCommand)
	case a.Workers != nil && a.Workers.Patch != nil:
		return t.editDocument("PATCH", "/v1/pools/"+a.Workers.Patch.Pool+"/workers", a.Workers.Patch.editCommand)
	case a.Workers != nil && a.Workers.Get != nil:
		return t.printDocument("/v1/pools/" + a.Workers.Get.Name + "/workers")
	case a.Zone != nil && a.Zone.Empty != nil:
		return t.post("/v1/cells/" + a.Zone.Empty.Name + "/empty")
	case a.Zone != nil && a.Zone.Restore != nil:
		return t.post("/v1/cells/" + a.Zone.Restore.Name + "/restore")
	case a.Store != nil && a.Store.Retire != nil:
		return t.post("/v1/stores/" + a.Store.Retire.Name + "/retire")
	case a.Store != nil && a.Store.Restore != nil:
		return t.post("/v1/stores/" + a.Store.Restore.Name + "/restore")
	case a.Store != nil && a.Store.Progress != nil:
		return t.printDocument("/v1/stores/" + a.Store.Progress.Name)
	case a.Status != nil:
		return t.status()
	case a.Message != nil:
		return t.message(a.Message)
	}
	_ = parser.WriteHelpForSubcommand(t.out, parser.SubcommandNames()...)
	return errs.New(errs.Invalid, "no command given")
}

// readFile reads a file, or standard input if the name is -.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return raw, errs.Wrap(err, errs.Invalid, "read standard input")
	}
	raw, err := os.ReadFile(name)
	return raw, errs.Wrap(err, errs.Invalid, "read file %s", name)
}

// responseError converts a response with an error status to an error of the kind, text and details that its body
// holds.
func responseError(resp *resty.Response) error {
	var p struct {
		Error string `json:"error"`
		Text  string `json:"text"`
		More  any    `json:"more"`
	}
	if json.Unmarshal(resp.Body(), &p) != nil || p.Error == "" {
		return errs.New(errs.Unhealthy, "%s %s: %s", resp.Request.Method, resp.Request.URL, resp.Status())
	}
	more := ""
	if p.More != nil {
		raw, _ := json.MarshalIndent(p.More, "", "  ")
		more = "\n" + string(raw)
	}
	if after := resp.Header().Get("Retry-After"); after != "" {
		more += "\nretry after " + after + " s"
	}
	return errs.New(errs.Kind(p.Error), "%s%s", strings.TrimPrefix(p.Text, p.Error+": "), more)
}
