// Package crash preserves what the Go runtime prints when a process dies of a fatal signal or an unhandled
// panic, so that it can be read afterwards: in a file, by the next process of the same daemon, or over a
// connection, by another process of the same machine. Package daemon uses it for every daemon.
package crash

import (
	"bytes"
	"regexp"
	"strings"
)

// Causes that are not a signal. Other causes are the signal's name, such as "SIGSEGV".
const (
	Panic      = "panic"
	FatalError = "fatal error"
	Silent     = "silent"  // killed, or the power was lost: the runtime could not print anything
	Unreadable = "unknown" // something was printed that is not recognized, for example because it is incomplete
)

// Bounds on what is kept.
const (
	maxOutputBytes = 64 << 10
	maxLines       = 12
	maxLineBytes   = 200 // bytes of a line
)

// Report is what is known about how a process ended.
type Report struct {
	Cause string   // a signal's name, or one of the causes above
	Lines []string // the first printed lines, without unprintable characters
}

// The lines by which the runtime states why it ends the process.
var (
	signalLine  = regexp.MustCompile(`^(SIG[A-Z0-9]+): `)
	signalPanic = regexp.MustCompile(`^\[signal (SIG[A-Z0-9]+)[: ]`)
)

// Parse reads what a process printed when it died. Any input gives a report.
func Parse(output []byte) Report {
	output = output[:min(len(output), maxOutputBytes)]
	report := Report{Cause: Silent, Lines: []string{}}
	for line := range bytes.Lines(output) {
		text := printable(string(line))
		if text == "" {
			continue
		}
		if len(report.Lines) < maxLines {
			report.Lines = append(report.Lines, text)
		}
		if cause := causeOf(text); isMoreSpecific(cause, report.Cause) {
			report.Cause = cause
		}
	}
	if report.Cause == Silent && len(report.Lines) > 0 {
		report.Cause = Unreadable
	}
	return report
}

// String returns the report in one line.
func (r Report) String() string {
	if len(r.Lines) == 0 {
		return r.Cause
	}
	return r.Cause + ": " + strings.Join(r.Lines, " | ")
}

// causeOf returns the cause that a line states; empty for none.
func causeOf(line string) string {
	if found := signalLine.FindStringSubmatch(line); found != nil {
		return found[1]
	}
	if found := signalPanic.FindStringSubmatch(line); found != nil {
		return found[1]
	}
	switch {
	case strings.HasPrefix(line, "panic: "):
		return Panic
	case strings.HasPrefix(line, "fatal error: "):
		return FatalError
	}
	return ""
}

// isMoreSpecific reports whether cause replaces the current one: a signal replaces the panic that it
// caused.
func isMoreSpecific(cause, current string) bool {
	isSignal := strings.HasPrefix(cause, "SIG")
	return cause != "" && (current == Silent || isSignal && !strings.HasPrefix(current, "SIG"))
}

// printable returns a line in printable ASCII, cut to maxLineBytes.
func printable(line string) string {
	line = strings.TrimSpace(strings.Map(func(r rune) rune {
		if r == '\t' || r >= ' ' && r <= '~' {
			return r
		}
		return -1
	}, line))
	return line[:min(len(line), maxLineBytes)]
}
