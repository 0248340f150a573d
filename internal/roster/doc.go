// Package roster tracks the targets: the entries that they register in the store,
// and their load, failures and speed as seen in traffic. Its State is updated
// with store changes and with the start and end of attempts, and picks targets
// for requests.
//
// If an entry is found to be missing shortly after an outage of the store, the
// target may merely have been unable to renew it. Such a target stays usable for
// a grace period after the store is back.
package roster
