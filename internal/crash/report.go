// Package crash keeps what the Go runtime prints as a process dies of a fatal signal or of a
// panic that nobody handled, so that it can be read afterwards: in a file, by the next process
// of the same daemon, or by another process of the same machine that listens for it.
package crash

import (
	"bytes"
	"regexp"
	"strings"
)

// Causes of an end that name no signal. Those that do are the signal's name, as "SIGSEGV".
const (
	Panic      = "panic"
	FatalError = "fatal error"
	Silent     = "silent"  // killed, or the power was lost: the runtime had no chance to print anything
	Unreadable = "unknown" // something was printed that cannot be read, as where it is torn
)

// Bounds of what is kept.
const (
	maxOutputBytes = 64 << 10
	maxLines       = 12
	maxLineBytes   = 200 // bytes of a line
)

// Report is what is known of how a process ended.
type Report struct {
	Cause string   // a signal's name, or one of the causes above
	Lines []string // the first lines that were printed, without what cannot be printed
}

// The lines by which the runtime begins to say why it ends the process.
var (
	signalLine  = regexp.MustCompile(`^(SIG[A-Z0-9]+): `)
	signalPanic = regexp.MustCompile(`^\[signal (SIG[A-Z0-9]+)[: ]`)
)

// Parse reads what a process printed as it died. Any bytes give a report.
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

// isMoreSpecific reports whether a cause tells more than the one found before it: a signal more than the
// panic that came of it.
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
