// Package steplife reconstructs from the logs of a fleet how each job of a
// trainer proceeded, and which part of its duration each cause took.
package steplife
