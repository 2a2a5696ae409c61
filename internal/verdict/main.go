// Command verdict runs the tests and reports one verdict. A test that is listed in KNOWN-RED.txt does not fail the
// run, provided that it does fail; a listed test that passes fails the run. It is called by test.sh.
//
//	verdict go test -json ./...
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"caperwheel/internal/errs"
)

// knownFailuresFile lists the tests that are known to fail.
const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	failures, err := run(os.Args[1:])
	if err != nil {
		failures = append(failures, err.Error())
	}
	for _, fault := range failures {
		fmt.Println("verdict: " + fault)
	}
	if len(failures) > 0 {
		os.Exit(1)
	}
}

// run runs the test command and returns every reason why the run fails.
func run(command []string) ([]string, error) {
	raw, err := os.ReadFile(knownFailuresFile)
	if err != nil && !os.IsNotExist(err) {
		return nil, errs.Wrap(err, errs.Invalid, "read %s", knownFailuresFile)
	}
	known, err := parseKnownFailures(string(raw), err == nil)
	if err != nil {
		return nil, err
	}
	if len(command) == 0 {
		return nil, errs.New(errs.Missing, "no command to run")
	}
	tests := exec.Command(command[0], command[1:]...)
	tests.Stderr = os.Stderr
	out, err := tests.StdoutPipe()
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "connect to the output of the test command")
	}
	if err := tests.Start(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "start the test command")
	}
	j := &evaluator{knownFailures: known, print: func(text string) { fmt.Print(text) }, packages: map[string]*packageResult{}}
	lines := bufio.NewReader(out)
	for {
		line, err := lines.ReadString('\n')
		j.readLine(strings.TrimSpace(line))
		if err != nil {
			break
		}
	}
	return j.failures(tests.Wait() == nil), nil
}
