// Package client is the trainer's client for catkinhead. It runs a step of
// samples against a list of instances and delivers each sample to the caller
// once.
//
// One instance at a time owns a step, and it can crash, hang or shut down. The
// client then reopens the step at the next address: it sends all sample
// specifications and the samples it already holds, and the new owner answers
// with a higher epoch. The client drops samples that it has already delivered
// and responses from another epoch, as the last check after the fleet's own
// deduplication.
package client
