// Package admit implements admission control: it queues requests, chooses a
// target for each, and decides when it is dispatched, retried or refused.
//
// Inference engines have no priorities and process requests in order of
// arrival, so requests are queued here instead. Each pool has one queue with
// several flows: a workspace's live requests are one flow and its training
// samples another. Flows share the pool by weighted fair queueing, measured in
// tokens. The number of requests that an instance may have in flight on a
// target follows from the target's load reports. Reports are delayed and count
// the requests of all instances, so each instance makes only its part of the
// correction that a report calls for.
//
// A request goes to the target that its prompt prefix hashes to, since that
// target has the prefix cached, unless that target is loaded well above the
// mean. Then the next few targets are tried in the same way, and after them the
// least loaded one. If the target that was chosen for the first request of a
// flow does not have its prefix cached, a request shortly behind it whose
// prefix is cached there may be sent instead.
//
// The content of a request that was in flight when a target crashed becomes a
// suspect. Two suspects never run on the same target, so that a further crash
// identifies the cause. After two crashes the content is refused on all
// instances.
//
// API keys and routes are checked before Submit is called, not here.
package admit
