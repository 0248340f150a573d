// Package admit decides where and when a request runs.
//
// Engines know no priorities and take requests as they come, so requests wait
// here. Each pool has one queue, shared by flows: a workspace's live requests
// are one flow and its samples another. Flows share a pool by weight, in
// tokens. What a target may get is learnt from its load reports: they lag and
// show the runs of all instances, so each corrects its own part only.
//
// A request goes to the target where its prefix went before, unless that one
// has more than its share; then to the least loaded. A target that has room
// takes, of the next runs of the flow whose turn it is, one whose prefix it has.
//
// A request that was in flight when a target crashed is a suspect: it shares a
// target with no other suspect, so that the next crash points at one of them,
// and after two crashes it is refused everywhere.
//
// The package does not check keys or routes; that is done before Submit.
package admit
