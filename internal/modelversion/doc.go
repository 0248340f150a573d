// Package modelversion rolls out the model versions that trainers request. The
// targets of a pool are divided evenly among its models, so that loading a
// version of one model does not disturb the others. A target is ordered to load
// the newest version of its model if its present version is too old for the next
// job or a waiting item, or if fewer than half of the model's targets have that
// version or are ordered to load it. Only the holder of the duties lease, one
// instance at a time, sends orders.
package modelversion
