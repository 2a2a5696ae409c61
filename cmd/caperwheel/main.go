// Command caperwheel is the operators' command line. It calls the managers' API, and its doctor looks for common
// faults.
package main

import (
	"os"

	"caperwheel/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
