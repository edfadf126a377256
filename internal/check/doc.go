// Package check tests the invariants of the fleet on whole kernels, gates and
// ticket registries, with random schedules of messages, losses, pauses, restarts
// and partitions.
//
// The schedules are the same on every run. To run others:
//
//	go test ./internal/check -rapid.seed=SEED -rapid.checks=N -rapid.steps=M
//
// Seed 0 picks a random seed. A schedule that violates an invariant is shrunk to
// a short one, which the test prints.
package check
