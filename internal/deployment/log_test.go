package deployment_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against a log that lacks a node's first seconds in a large deployment,
// because the lines of its endpoints use up the rate.
func TestFullReadOfManyEndpointsLeavesRoomInLog(t *testing.T) {
	for _, endpoints := range []int{10, 6000} {
		t.Run(fmt.Sprint(endpoints, " endpoints"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				log := decision.New(decision.LogConfig{To: &out, Node: "n"})
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Log: log})
				items := make([]deployment.Item, 0, endpoints+2)
				for i := range endpoints {
					items = append(items, entry(fmt.Sprint("e", i), 1, ""))
				}
				items = append(items, entry("leaving", 1, "draining"), deployment.Item{Key: "config", Value: []byte("1234"), Revision: 1})
				s.Apply(t.Context(), deployment.Update{Items: items, Position: at(1), Whole: true, Source: deployment.SourceStore})
				synctest.Wait()
				s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{entry("late", 2, "")}, Position: at(2), Source: deployment.SourceStore})
				synctest.Wait()
				s.Close()
				log.Close()
				require.Contains(t, out.String(), `"event":"config"`)
				require.Contains(t, out.String(), fmt.Sprintf(`"added":%d`, endpoints+1))
				require.Contains(t, out.String(), `"endpoint":"leaving"`)
				require.Contains(t, out.String(), `"endpoint":"late"`)
				require.NotContains(t, out.String(), `"dropped"`)
			})
		})
	}
}
