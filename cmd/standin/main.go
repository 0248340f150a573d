// Command standin simulates the platform or an engine, for scenario tests and
// local trials. It is not part of the product.
package main

import (
	"os"

	"github.com/catkinhead/catkinhead/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
