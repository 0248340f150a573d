// Package scenario contains the end-to-end tests. The testscript scripts under
// testdata start instances, engines and a simulated platform as separate
// processes, inject failures, and check what the engines, the platform and the
// callers received. The package has no code besides tests.
package scenario
