// Package integration holds the tests that run control members, nodes and targets as separate
// processes and prove the system's promises under failure. docs/PROOFS.md lists them.
package integration
