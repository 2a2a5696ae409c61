package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"caperwheel/internal/errs"
)

// module is the prefix of the packages in the output; the known failures are listed without it.
const module = "caperwheel/"

// knownFailure is a test that is known to fail.
type knownFailure struct{ test, cause, issue string }

// parseKnownFailures parses the list of known failures, one a line: test, cause, issue.
func parseKnownFailures(text string, exists bool) ([]knownFailure, error) {
	known := []knownFailure{}
	for line := range strings.Lines(text) {
		first, rest, _ := strings.Cut(strings.TrimSpace(line), ",")
		at := strings.LastIndex(rest, ",")
		if at < 0 || first == "" || strings.TrimSpace(rest[:at]) == "" || strings.TrimSpace(rest[at+1:]) == "" {
			return nil, errs.New(errs.Invalid, "%s: line %q does not have the form: test, cause, issue", knownFailuresFile, strings.TrimSpace(line))
		}
		known = append(known, knownFailure{first, strings.TrimSpace(rest[:at]), strings.TrimSpace(rest[at+1:])})
	}
	if exists && len(known) == 0 {
		return nil, errs.New(errs.Invalid, "%s lists no test; remove the file", knownFailuresFile)
	}
	return known, nil
}

// packageResult is the result of a package. A package whose tests have all run prints FAIL or PASS itself; a package
// that panicked prints neither.
type packageResult struct {
	result, summary string
	tests           map[string]string   // the result of each test, empty while it runs
	output          map[string][]string // of each test, its subtests included
}

// event is one line of the output of go test -json.
type event struct{ Action, Package, Test, Output string }

// evaluator evaluates the output of go test -json.
type evaluator struct {
	knownFailures []knownFailure
	print         func(text string)
	packages      map[string]*packageResult
}

// readLine takes in one line of the output.
func (j *evaluator) readLine(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil || e.Package == "" {
		if text := e.Output; text != "" { // of the build
			j.print(text)
		} else if line != "" && e.Action == "" {
			j.print(line + "\n")
		}
		return
	}
	p := j.packages[e.Package]
	if p == nil {
		p = &packageResult{tests: map[string]string{}, output: map[string][]string{}}
		j.packages[e.Package] = p
	}
	test, _, isSubtest := strings.Cut(e.Test, "/")
	isEnd := slices.Contains([]string{"pass", "fail", "skip"}, e.Action)
	switch {
	case e.Action == "output" && test == "":
		if text := strings.TrimSpace(e.Output); text == "PASS" || text == "FAIL" {
			p.summary = text
		} else {
			j.print(e.Output)
		}
	case e.Action == "output":
		p.output[test] = append(p.output[test], e.Output)
	case test == "" && isEnd:
		p.result = e.Action
	case e.Action == "run" && !isSubtest:
		p.tests[test] = ""
	case isEnd && !isSubtest:
		p.tests[test] = e.Action
		if e.Action == "fail" {
			j.print(strings.Join(p.output[test], ""))
		}
		delete(p.output, test)
	}
}

// failures returns every reason why the run fails; commandSucceeded tells whether the test command succeeded.
func (j *evaluator) failures(commandSucceeded bool) (reasons []string) {
	expected := map[string]bool{}
	for _, k := range j.knownFailures {
		at := strings.LastIndex(k.test, "/")
		p := j.packages[module+k.test[:max(at, 0)]]
		result, exists := "", false
		if p != nil {
			result, exists = p.tests[k.test[at+1:]]
		}
		switch {
		case !exists:
			reasons = append(reasons, "known to be red, but there is no such test: "+k.test)
		case result != "fail":
			reasons = append(reasons, "known to be red, but it does not fail: "+k.test)
		default:
			expected[module+k.test] = true
			j.print(fmt.Sprintf("known to be red: %s: %s (%s)\n", k.test, k.cause, k.issue))
		}
	}
	hasFailed := false
	for _, name := range slices.Sorted(maps.Keys(j.packages)) {
		p := j.packages[name]
		hasFailed = hasFailed || p.result == "fail"
		isExplained := p.result == "fail" && p.summary == "FAIL" // by tests that are known to fail
		for _, test := range slices.Sorted(maps.Keys(p.tests)) {
			switch result := p.tests[test]; {
			case result == "fail" && !expected[name+"/"+test]:
				reasons = append(reasons, "failed: "+name+"/"+test)
			case result == "":
				reasons = append(reasons, "never ended: "+name+"/"+test)
				j.print(strings.Join(p.output[test], ""))
			}
		}
		if p.result != "pass" && p.result != "skip" && !isExplained {
			reasons = append(reasons, "failed as a whole: "+name)
		}
	}
	if len(j.packages) == 0 || !commandSucceeded && !hasFailed {
		reasons = append(reasons, "the tests could not be run")
	}
	return reasons
}
