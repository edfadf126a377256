package deployment_test

import (
	"testing"

	"bulrushhinge.example/bulrushhinge/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Run(m) }
