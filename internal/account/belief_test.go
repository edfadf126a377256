package account_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/account"
)

func choice(when int, node, request, endpoint string, load int) string {
	return fmt.Sprintf(`{"time":%q,"event":"attempt","node":%q,"request":%q,"endpoint":%q,"load":%d,"mean":3,"ready":5,"loads_ms":200,"result":"answered"}`,
		at(when), node, request, endpoint, load)
}

func event(when int, node, name, more string) string {
	return fmt.Sprintf(`{"time":%q,"event":%q,"node":%q%s}`, at(when), name, node, more)
}

// Among many nodes, the one whose view differs is found from the ID of a
// request that it sent to an endpoint which had left.
func TestNodeWithDifferentViewIsFound(t *testing.T) {
	log := []string{
		event(500, "n7", "relay.lost", `,"peer":"n1"`),
		choice(2000, "n7", "other", "e1", 9),
		choice(9000, "n7", "bad", "e1", 0),
		choice(100, "n3", "old", "e1", 50),
		event(7000, "n1", "endpoint", `,"endpoint":"e1","draining":true`),
		event(7010, "n2", "endpoint", `,"endpoint":"e1","draining":true`),
		event(9500, "n7", "endpoint", `,"endpoint":"e1","draining":true`),
		event(3000, "n7", "attempt", `,"request":"told","endpoint":"e1","leaving":true`),
		event(3500, "n7", "attempt", `,"request":"refused","endpoint":"e1","rest_ms":3000`),
		event(3000, "n3", "attempt", `,"request":"elsewhere","endpoint":"e1","rest_ms":1000`),
		event(3010, "n7", "endpoint.leaving", `,"endpoint":"e1"`),
		event(8000, "n7", "node.lost", `,"peer":"n2"`),
		event(8000, "n3", "node.lost", `,"peer":"n2"`),
	}
	for i := range 30 {
		log = append(log, choice(8000+i, fmt.Sprint("m", i), fmt.Sprint("r", i), "e1", 4), choice(8100+i, fmt.Sprint("m", i), fmt.Sprint("q", i), "e2", 99))
	}
	log = append(log, choice(8990, "m3", "near", "e1", 12))
	view, err := account.ReadEndpointView(strings.NewReader("no line\n"+strings.Join(log, "\n")), "bad")
	require.NoError(t, err)
	require.Equal(t, "n7", view.Attempt.Node)
	require.Len(t, view.OtherNodes, 30)
	require.Equal(t, "near", view.OtherNodes[0].Request)
	require.Len(t, view.EndpointEvents, 6)
	require.Equal(t, "n7", view.EndpointEvents[5].Node)
	require.Len(t, view.NodeEvents, 2)
	var out strings.Builder
	require.NoError(t, view.Table(&out))
	require.Contains(t, out.String(), "e1")
	require.Contains(t, out.String(), "+0.500 s")
	for _, word := range []string{"draining", "says that it leaves", "asks for rest of 3"} {
		require.Contains(t, out.String(), word)
	}
	_, err = account.ReadEndpointView(strings.NewReader(strings.Join(log, "\n")), "unknown")
	require.ErrorIs(t, err, account.ErrRequest)
}
