// Command catkinhead is the rollout service and its operators' tool.
package main

import (
	"os"

	"github.com/catkinhead/catkinhead/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
