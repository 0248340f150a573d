// Command experiment compares the admission policies on the same workloads and
// seeds and prints the median over the seeds of each figure.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/catkinhead/catkinhead/internal/experiment"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	seeds, only := 5, ""
	p := flaggy.NewParser("experiment")
	p.Description = "Compares the admission policies on simulated engines; each combination of seed, policy and workload takes about ten seconds."
	p.Int(&seeds, "s", "seeds", "number of seeds")
	p.String(&only, "w", "workload", "run only this workload: "+strings.Join(experiment.Workloads(), " or "))
	if err := p.ParseArgs(args); err != nil || seeds < 1 {
		fmt.Fprintln(os.Stderr, "error: --seeds must be at least 1", err)
		return 2
	}
	var list []uint64
	for i := range seeds {
		list = append(list, uint64(i+1))
	}
	policies := []string{"round-robin", "least-loaded", "first-come", "fair"}
	by := make(map[string][]experiment.Outcome)
	var order []string
	names := experiment.Workloads()
	if only != "" {
		if !slices.Contains(names, only) {
			fmt.Fprintf(os.Stderr, "error: no workload %q\n", only)
			return 2
		}
		names = []string{only}
	}
	err := experiment.Run(context.Background(), names, policies, list, func(o experiment.Outcome) {
		k := o.Workload + "/" + o.Policy
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], o)
		fmt.Fprintf(os.Stderr, "%+v\n", o)
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return 1
	}
	fmt.Println("| workload | policy | worst p99 ms | answered | refused | step ms | samples | prefix hits |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, k := range order {
		m := experiment.Median(by[k])
		fmt.Printf("| %s | %s | %.0f | %d | %d | %.0f | %d | %.0f %% |\n",
			m.Workload, m.Policy, m.WorstP99, m.Answered, m.Refused, m.StepMillis, m.Samples, m.HitShare*100)
	}
	return 0
}
