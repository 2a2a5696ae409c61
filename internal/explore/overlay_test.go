package explore

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// mutantEnv is the environment variable that names the mutant to a child process.
const mutantEnv = "CAPERWHEEL_MUTANT"

// mutantSource is the file that the overlay adds to the package group.
const mutantSource = `package group

import (
	"os"
	"strings"
)

var isMutant = os.Getenv("` + mutantEnv + `")

// IsMutant reports whether a guard is removed.
func IsMutant(name string) bool { return isMutant == name }

func countedIn(name string, roster []string) []string {
	if !IsMutant(name) {
		return Voters(roster)
	}
	out := []string{}
	for _, m := range roster {
		out = append(out, strings.TrimPrefix(m, learner))
	}
	return out
}
`

// buildMutants builds the tests of this package with an overlay in which all guards are optional. It returns the path
// of the test binary.
func buildMutants(t *testing.T, all []mutant) string {
	dir := t.TempDir()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{"group/mutant.go": mutantSource}
	for _, m := range all {
		if texts[m.file] == "" {
			raw, err := os.ReadFile(filepath.Join(root, m.file))
			if err != nil {
				t.Fatal(err)
			}
			texts[m.file] = string(raw)
		}
		if n := strings.Count(texts[m.file], m.old); n != 1 {
			t.Fatalf("%s: the source of the guard was found %d times in %s, expected once; update the table of mutants", m.name, n, m.file)
		}
		texts[m.file] = strings.Replace(texts[m.file], m.old, strings.ReplaceAll(m.new, "NAME", strconv.Quote(m.name)), 1)
	}
	replace := map[string]string{}
	for file, text := range texts {
		at := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		if err := os.WriteFile(at, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		replace[filepath.Join(root, file)] = at
	}
	raw, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	overlay, binary := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "mutants.test")
	if err := os.WriteFile(overlay, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := exec.Command("go", "test", "-c", "-overlay", overlay, "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// runMutant runs the search for one mutant in a child process. It returns the breach, if any, and how it was found.
func runMutant(t *testing.T, binary string, m mutant) (breach, how string) {
	child := exec.Command(binary, "-test.run", "^TestMutantChild$", "-test.v")
	child.Env = append(os.Environ(), mutantEnv+"="+m.name, searchEnv+"="+m.search)
	out, err := child.CombinedOutput()
	if err != nil {
		t.Errorf("%s: %v\n%s", m.name, err, out)
	}
	_, verdict, isFound := strings.Cut(string(out), verdictPrefix)
	if !isFound {
		t.Errorf("%s: no verdict\n%s", m.name, out)
	}
	verdict, _, _ = strings.Cut(verdict, "\n")
	breach, how, _ = strings.Cut(verdict, "|")
	return breach, how
}

const (
	searchEnv     = "CAPERWHEEL_SEARCH"
	verdictPrefix = "VERDICT "
)

// TestMutantChild runs the search of a child process of TestMutants; otherwise it is skipped.
func TestMutantChild(t *testing.T) {
	if os.Getenv(mutantEnv) == "" {
		t.Skip("runs in the children of TestMutants")
	}
	breach, how := searchMutant(os.Getenv(searchEnv))
	fmt.Printf("%s%s|%s\n", verdictPrefix, strings.ReplaceAll(breach, "\n", " "), how)
}
