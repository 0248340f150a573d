// Package modelversion rolls out the model versions that trainers request. The
// targets of a pool are divided evenly among its models, so that loading a
// version of one model does not disturb the others, and each target is ordered
// to load the newest version of its model. Only the holder of the duties lease
// sends orders.
package modelversion
