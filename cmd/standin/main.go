// Command standin plays the platform or an engine for scenarios and trials. It
// is no part of the product.
package main

import (
	"os"

	"github.com/catkinhead/catkinhead/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:])) }
