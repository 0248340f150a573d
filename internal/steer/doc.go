// Package steer brings the targets of pools to the weights that are wanted.
//
// The holder of a pool's lease stages the newest published version on every
// target ahead of time, and orders the activation once operators or trainers
// ask for it. Orders name the version wanted, not a step, so sending one twice
// is harmless. What a target really runs is known only from its own reports
// and from the chunks it sends; an order that was taken proves nothing.
package steer
