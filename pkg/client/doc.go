// Package client is the trainers' side of catkinhead: it runs a step of
// samples against any of several instances and hands each sample over once.
//
// A step has a home, and a home can die, freeze or stop. The client carries
// the whole step and what it holds, and opens the step at the next instance
// under a higher epoch. Samples it holds already, and answers under an older
// epoch, are dropped here; that is the last guard behind the fleet's own.
package client
