// Package check tests the fleet's promises over whole kernels, gates and ticket
// registries, with random schedules of messages, losses, pauses, restarts and
// partitions.
//
// The schedules are the same on every run. Further ones:
//
//	go test ./internal/check -rapid.seed=SEED -rapid.checks=N -rapid.steps=M
//
// A seed of 0 is a random one. A broken promise is shrunk to a short schedule,
// which the test prints.
package check
