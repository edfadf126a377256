package account_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/account"
)

func chose(when int, node, request, endpoint string, load int) string {
	return fmt.Sprintf(`{"time":%q,"event":"attempt","node":%q,"request":%q,"endpoint":%q,"load":%d,"mean":3,"ready":5,"loads_ms":200,"result":"answered"}`,
		at(when), node, request, endpoint, load)
}

func event(when int, node, name, more string) string {
	return fmt.Sprintf(`{"time":%q,"event":%q,"node":%q%s}`, at(when), name, node, more)
}

// Of many nodes the one that believed something else is found from the id of a
// request that it sent to an endpoint which had left.
func TestNodeThatBelievedSomethingElseIsFound(t *testing.T) {
	log := []string{
		event(500, "n7", "relay.lost", `,"peer":"n1"`),
		chose(2000, "n7", "other", "e1", 9),
		chose(9000, "n7", "bad", "e1", 0),
		chose(100, "n3", "old", "e1", 50),
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
		log = append(log, chose(8000+i, fmt.Sprint("m", i), fmt.Sprint("r", i), "e1", 4), chose(8100+i, fmt.Sprint("m", i), fmt.Sprint("q", i), "e2", 99))
	}
	log = append(log, chose(8990, "m3", "near", "e1", 12))
	b, err := account.ReadBelief(strings.NewReader("no line\n"+strings.Join(log, "\n")), "bad")
	require.NoError(t, err)
	require.Equal(t, "n7", b.Attempt.Node)
	require.Len(t, b.Others, 30)
	require.Equal(t, "near", b.Others[0].Request)
	require.Len(t, b.Known, 6)
	require.Equal(t, "n7", b.Known[5].Node)
	require.Len(t, b.Events, 2)
	var out strings.Builder
	require.NoError(t, b.Table(&out))
	require.Contains(t, out.String(), "e1")
	require.Contains(t, out.String(), "+0.500 s")
	for _, word := range []string{"draining", "says that it leaves", "asks for rest of 3"} {
		require.Contains(t, out.String(), word)
	}
	_, err = account.ReadBelief(strings.NewReader(strings.Join(log, "\n")), "unknown")
	require.ErrorIs(t, err, account.ErrRequest)
}
