// Command catkinhead runs instances of the rollout service and has the commands
// for its operators.
package main

import (
	"os"

	"github.com/catkinhead/catkinhead/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
