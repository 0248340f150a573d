// Package duty holds what the decisions on the fleet's single-instance duties
// have in common: the lease under which orders and reports are sent, and the view
// of targets, configuration and demand that orders depend on.
package duty
