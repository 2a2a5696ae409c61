package quota

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// mutant is a change of the sources that removes one guard: its file, the guard's text, and the text without the
// guard. The changed sources exist only while the test runs. IsMutant selects one mutant by its name, so that one
// build serves all.
type mutant struct{ name, file, old, new string }

// mutants lists the guards. The model must find the removal of each.
var mutants = []mutant{
	{"the tokens of a dropped holder are returned", "bucket.go",
		"return at >= h.Until })", "if IsMutant(NAME) && at >= h.Until {\n\t\t\ta.Free += h.held() * tokenUnits\n\t\t}\n\t\treturn at >= h.Until\n\t})"},
	{"the allocator's expiry is shorter than the adapter's lease", "bucket.go",
		"at+ask.Lease+ask.Lease/marginDivisor", "at+map[bool]int64{false: ask.Lease + ask.Lease/marginDivisor, true: ask.Lease / 2}[IsMutant(NAME)]"},
	{"the bucket is refilled without regard to held tokens", "bucket.go",
		"a.Burst-a.held())) }", "a.Burst-map[bool]int64{false: a.held()}[IsMutant(NAME)])) }"},
	{"time is counted repeatedly", "bucket.go", "a.At = max(a.At, at)", "if !IsMutant(NAME) {\n\t\ta.At = max(a.At, at)\n\t}"},
	{"a repeated report counts down twice", "bucket.go", "min(count.Spent-h.Spent, h.held())",
		"min(count.Spent-map[bool]int64{false: h.Spent}[IsMutant(NAME)], h.held())"},
	{"returned tokens count twice", "bucket.go", "min(count.Returned-h.Returned, h.held())",
		"min(count.Returned-map[bool]int64{false: h.Returned}[IsMutant(NAME)], h.held())"},
	{"a late request of an earlier epoch counts", "bucket.go", "if count.Epoch < h.Epoch {", "if count.Epoch < h.Epoch && !IsMutant(NAME) {"},
	{"a new epoch goes on with the counts of the previous one", "bucket.go", "*h = holder{Name: ask.Holder, Epoch: count.Epoch}",
		"if IsMutant(NAME) {\n\t\t\th.Epoch = count.Epoch\n\t\t} else {\n\t\t\t*h = holder{Name: ask.Holder, Epoch: count.Epoch}\n\t\t}"},
	{"a lower limit is not applied", "bucket.go", "a.Rate, a.Burst = min(a.Rate, limit.Rate), min(a.Burst, limit.Burst)",
		"if IsMutant(NAME) {\n\t\tlimit.Rate, limit.Burst = max(a.Rate, limit.Rate), max(a.Burst, limit.Burst)\n\t}\n" +
			"\ta.Rate, a.Burst = min(a.Rate, limit.Rate), min(a.Burst, limit.Burst)"},
	{"a bucket is evicted before it is full", "bucket.go", "a.Free >= a.Burst }", "(a.Free >= a.Burst || IsMutant(NAME)) }"},
	{"an adapter spends after its lease", "tokencache.go", "|| now < p.leaseEnd {", "|| now < p.leaseEnd || IsMutant(NAME) {"},
	{"a lease counts from the answer", "tenanttokens.go", "max(p.leaseEnd, sentAt+p.times.Lease)",
		"max(p.leaseEnd, map[bool]time.Duration{false: sentAt, true: now}[IsMutant(NAME)]+p.times.Lease)"},
	{"an answer counts although its lease is over", "tokencache.go", "sentAt+w.times.Lease <= now", "sentAt+w.times.Lease <= now && !IsMutant(NAME)"},
	{"an answer to an earlier epoch counts", "tokencache.go", "if grant.Epoch != p.epoch ||", "if grant.Epoch != p.epoch && !IsMutant(NAME) ||"},
	{"an epoch's number is used again", "tokencache.go", "w.lastEpoch++", "if !IsMutant(NAME) || w.lastEpoch == 0 {\n\t\tw.lastEpoch++\n\t}"},
	{"the end of a message of an earlier epoch counts", "tokencache.go", "if p.epoch != epoch {", "if p.epoch != epoch && !IsMutant(NAME) {"},
	{"tokens in flight count as held as well", "tenanttokens.go", "p.returned - p.inFlight }", "p.returned - map[bool]int64{false: p.inFlight}[IsMutant(NAME)] }"},
}

const (
	mutantEnv   = "CAPERWHEEL_MUTANT"
	childMark   = "VERDICT "
	mutantSeeds = 1000
)

// mutantSource is added to the package in the mutants' build.
const mutantSource = `package quota

import "os"

var isMutant = os.Getenv("` + mutantEnv + `")

// IsMutant reports whether a guard is removed.
func IsMutant(name string) bool { return isMutant == name }
`

// buildMutants builds this test with every guard made optional.
func buildMutants(t *testing.T) string {
	dir := t.TempDir()
	here, err := filepath.Abs(".")
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{"mutant.go": mutantSource}
	for _, m := range mutants {
		if texts[m.file] == "" {
			raw, err := os.ReadFile(m.file)
			if err != nil {
				t.Fatal(err)
			}
			texts[m.file] = string(raw)
		}
		if n := strings.Count(texts[m.file], m.old); n != 1 {
			t.Fatalf("%s: the guard's text is %d times in %s; the table must follow the sources", m.name, n, m.file)
		}
		texts[m.file] = strings.Replace(texts[m.file], m.old, strings.ReplaceAll(m.new, "NAME", strconv.Quote(m.name)), 1)
	}
	replace := map[string]string{}
	for file, text := range texts {
		at := filepath.Join(dir, file)
		if err := os.WriteFile(at, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		replace[filepath.Join(here, file)] = at
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

// TestMutantChild searches for a violation in a child process of TestMutants; by itself it does nothing.
func TestMutantChild(t *testing.T) {
	if os.Getenv(mutantEnv) == "" {
		t.Skip("runs in the children of TestMutants")
	}
	what, seed, _ := searchViolation(defects{}, mutantSeeds)
	fmt.Printf("%s%s|seed %d\n", childMark, what, seed)
}

// TestMutants removes each guard and checks that the model finds a violation.
func TestMutants(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs children")
	}
	binary := buildMutants(t)
	var all sync.WaitGroup
	turn := make(chan struct{}, 2)
	for _, m := range mutants {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			child := exec.Command(binary, "-test.run", "^TestMutantChild$", "-test.v")
			child.Env = append(os.Environ(), mutantEnv+"="+m.name)
			out, err := child.CombinedOutput()
			_, verdict, isTold := strings.Cut(string(out), childMark)
			verdict, _, _ = strings.Cut(verdict, "\n")
			what, how, _ := strings.Cut(verdict, "|")
			t.Logf("%s: %q by %s", m.name, what, how)
			if err != nil || !isTold || what == "" {
				t.Errorf("%s is not found: %v\n%s", m.name, err, out)
			}
		})
	}
	all.Wait()
}
