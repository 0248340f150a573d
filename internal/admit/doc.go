// Package admit decides where and when a request runs.
//
// Engines know no priorities and take requests as they come, so requests wait
// here. Each pool has one queue, shared by flows: a workspace's live requests
// are one flow and its samples another. Flows share a pool by weight, in
// tokens. A target gets as much as its own load report allows, less what
// others have there; a report lags, so this instance's own count corrects it.
//
// A request goes to the target where its prefix went before, unless that one
// has more than its share; then to the least loaded.
//
// A request that was in flight when a target crashed is a suspect: it shares a
// target with no other suspect, so that the next crash points at one of them,
// and after two crashes it is refused everywhere.
//
// The package does not check keys or routes; that is done before Submit.
package admit
