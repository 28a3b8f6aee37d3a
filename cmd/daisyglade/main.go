// Command daisyglade is a database proxy with session consistency.
package main

import (
	"os"

	"github.com/daisyglade/daisyglade/internal/command/daisycli"
)

func main() {
	os.Exit(daisycli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
