package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"caperwheel/internal/config"
	"caperwheel/internal/errs"
	"caperwheel/internal/manifest"
)

// applyCommand holds the arguments of apply.
type applyCommand struct {
	Folder string `arg:"positional,required" help:"folder with charter.json, workers/POOL.json and routes/*.yaml, as kept in version control"`
	DryRun bool   `arg:"--dry-run" help:"only show the plan"`
}

// declaration is one declared document, and how the current document differs from it.
type declaration struct {
	file, path string
	body       []byte
	revision   string
	changes    []string // empty if the current document is as declared
}

// apply brings the system to the state that a folder declares. All files are checked before anything is written. Each
// document that differs is then replaced whole, on condition that its revision is still the one that the plan was
// made from. Documents that are as declared are not written.
func (t *runner) apply(c *applyCommand) error {
	plan, err := readFolder(c.Folder)
	if err != nil {
		return err
	}
	for i := range plan {
		if err := t.diffDeclaration(&plan[i]); err != nil {
			return err
		}
	}
	changed := 0
	for _, d := range plan {
		if len(d.changes) == 0 {
			fmt.Fprintf(t.out, "%s: as declared, stamp %s\n", d.file, d.revision)
			continue
		}
		changed++
		fmt.Fprintf(t.out, "%s: on stamp %s\n", d.file, d.revision)
		for _, line := range d.changes {
			fmt.Fprintf(t.out, "  %s\n", line)
		}
	}
	if c.DryRun || changed == 0 {
		fmt.Fprintf(t.out, "%d of %d documents differ\n", changed, len(plan))
		return nil
	}
	for _, d := range plan {
		if len(d.changes) == 0 {
			continue
		}
		if err := t.putDocument(d); err != nil {
			return errs.Wrap(err, errs.KindOf(err), "apply %s; neither it nor the documents after it were applied", d.file)
		}
	}
	return nil
}

// readFolder reads and checks the declared documents. The configuration comes first, since it defines the pools.
func readFolder(folder string) ([]declaration, error) {
	out := []declaration{}
	doc, err := os.ReadFile(filepath.Join(folder, "charter.json"))
	if err != nil && !os.IsNotExist(err) {
		return nil, errs.Wrap(err, errs.Invalid, "read charter.json")
	}
	faults := []string{}
	rules := &config.Rules{}
	if err == nil {
		var found []config.Fault
		if doc, found, err = readRoutes(folder, doc); err != nil {
			return nil, err
		}
		if len(found) > 0 {
			return nil, errs.New(errs.Invalid, "nothing was applied:\n  %s", strings.Join(faultLines("routes", found), "\n  "))
		}
		if rules, found = config.Compile(doc); len(found) > 0 {
			faults = append(faults, faultLines("charter.json", found)...)
		}
		out = append(out, declaration{file: "charter.json", path: "/v1/charter", body: doc})
	}
	files, err := filepath.Glob(filepath.Join(folder, "workers", "*.json"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "list the files in workers")
	}
	slices.Sort(files)
	for _, file := range files {
		name := filepath.Join("workers", filepath.Base(file))
		pool := strings.TrimSuffix(filepath.Base(file), ".json")
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "read %s", name)
		}
		list, found := config.ReadWorkers(raw)
		faults = append(faults, faultLines(name, found)...)
		if p, isKnown := rules.Pools[pool]; rules != nil && rules.Pools != nil && (!isKnown || p.IsEndpoint) {
			faults = append(faults, name+": charter.json has no such pool of workers")
		}
		out = append(out, declaration{file: name, path: "/v1/pools/" + pool + "/workers", body: list.Encode()})
	}
	switch {
	case len(faults) > 0:
		return nil, errs.New(errs.Invalid, "nothing was applied:\n  %s", strings.Join(faults, "\n  "))
	case len(out) == 0:
		return nil, errs.New(errs.Invalid, "%s has neither charter.json nor workers/*.json", folder)
	}
	return out, nil
}

// readRoutes merges the folder's Gateway API routes into the configuration doc.
func readRoutes(folder string, doc []byte) ([]byte, []config.Fault, error) {
	files, err := filepath.Glob(filepath.Join(folder, "routes", "*.yaml"))
	if err != nil {
		return nil, nil, errs.Wrap(err, errs.Invalid, "list the files in routes")
	}
	slices.Sort(files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, errs.Wrap(err, errs.Invalid, "read %s", file)
		}
		merged, faults := manifest.Translate(doc, raw)
		if len(faults) > 0 {
			for i := range faults {
				faults[i].Path = filepath.Base(file) + ": " + faults[i].Path
			}
			return nil, faults, nil
		}
		doc = merged
	}
	return doc, nil, nil
}

// faultLines formats the faults of a file, one a line.
func faultLines(file string, faults []config.Fault) []string {
	out := []string{}
	for _, f := range faults {
		out = append(out, fmt.Sprintf("%s: %s %s", file, f.Path, f.Text))
	}
	return out
}

// diffDeclaration reads the current document and sets its revision and the differences. A pool that only this plan's
// configuration adds has no list of workers yet: it is taken as empty, with revision 0.
func (t *runner) diffDeclaration(d *declaration) error {
	resp, err := t.get(d.path)
	base := []byte(`{"workers":[]}`)
	switch {
	case err == nil:
		d.revision, base = strings.Trim(resp.Header().Get("ETag"), `"`), resp.Body()
	case errs.Is(err, errs.Unknown) && d.path != "/v1/charter":
		d.revision = "0"
	default:
		return err
	}
	if d.path != "/v1/charter" {
		current, _ := config.ReadWorkers(base)
		base = current.Encode()
	}
	differences, err := config.Diff(base, d.body)
	if err != nil {
		return err
	}
	for _, x := range differences {
		raw, err := json.Marshal(x)
		if err != nil {
			return errs.Wrap(err, errs.Internal, "encode a difference")
		}
		d.changes = append(d.changes, string(raw))
	}
	return nil
}

// putDocument replaces a declared document on the revision that was read.
func (t *runner) putDocument(d declaration) error {
	resp, err := t.sendChange("PUT", d.path, d.revision, d.body, false)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s: applied, stamp %s\n", d.file, strings.Trim(resp.Header().Get("ETag"), `"`))
	return nil
}
