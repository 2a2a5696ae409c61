// Command verdict runs the tests and gives one verdict. A test that is listed
// in KNOWN-RED.txt is passed over, but only while it fails.
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

const knownFailuresFile = "KNOWN-RED.txt"

func main() {
	faults, err := run(os.Args[1:])
	if err != nil {
		faults = append(faults, err.Error())
	}
	for _, fault := range faults {
		fmt.Println("verdict: " + fault)
	}
	if len(faults) > 0 {
		os.Exit(1)
	}
}

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
		return nil, errs.Wrap(err, errs.Internal, "tests")
	}
	if err := tests.Start(); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "tests")
	}
	j := &evaluator{known: known, print: func(text string) { fmt.Print(text) }, packages: map[string]*packageResult{}}
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
