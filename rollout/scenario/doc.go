// Package scenario plays whole roll-outs in virtual time and without a network, in its tests: the decision cores of many
// daemons (exposure, tally, conductor) against versions that are good or bad in each way that the users name, with
// daemons, links and the store failing at each step.
package scenario
