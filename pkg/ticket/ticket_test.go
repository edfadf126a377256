package ticket_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

func ExampleKey_Mint() {
	key := ticket.NewKey()
	minted, _ := key.Mint(ticket.Ticket{Node: "n1", Incarnation: 7, Serial: 1, Expires: time.Minute}, "a1")
	text := minted.String()
	parsed, _ := ticket.Parse(text)
	fmt.Println(parsed.Node, parsed.Serial, key.Verify(parsed, "a1"), key.Verify(parsed, "a2"))
	// Output: n1 1 <nil> ticket: not minted here for this account
}

// Guards against a modified ticket, or one of another account or process, that passes as
// valid.
func TestVerifyRejectsModifiedTickets(t *testing.T) {
	key := ticket.NewKey()
	content := ticket.Ticket{Node: "n1", Incarnation: 7, Serial: 3, Expires: time.Minute}
	minted, err := key.Mint(content, "a1")
	require.NoError(t, err)
	require.NoError(t, key.Verify(minted, "a1"))

	serial, node, incarnation, expires := minted, minted, minted, minted
	serial.Serial++
	node.Node = "n2"
	incarnation.Incarnation++
	expires.Expires += time.Second
	for _, changed := range []ticket.Ticket{serial, node, incarnation, expires} {
		require.ErrorIs(t, key.Verify(changed, "a1"), ticket.ErrForged)
	}
	require.ErrorIs(t, key.Verify(minted, "a2"), ticket.ErrForged)
	require.ErrorIs(t, ticket.NewKey().Verify(minted, "a1"), ticket.ErrForged, "the key of a restarted process")
}

// Guards against malformed or oversized tickets that are accepted.
func TestParseRejectsMalformedTickets(t *testing.T) {
	minted, err := ticket.NewKey().Mint(ticket.Ticket{Node: "n1"}, "a1")
	require.NoError(t, err)
	good := minted.String()
	for _, s := range []string{"", "t1.", "t2." + good[3:], good + "A", good[:len(good)-1], good + "\n", good[:9] + "\r\n" + good[9:], strings.Repeat("t1.A", 200)} {
		_, err := ticket.Parse(s)
		require.ErrorIs(t, err, ticket.ErrFormat, "%q", s)
	}
	_, err = ticket.NewKey().Mint(ticket.Ticket{Node: strings.Repeat("n", 129)}, "a1")
	require.ErrorIs(t, err, ticket.ErrFormat)
}

// Guards against a ticket that has several text forms, and against input that passes as valid
// without having been minted.
func FuzzParse(f *testing.F) {
	key := ticket.NewKey()
	minted, err := key.Mint(ticket.Ticket{Node: "n1", Incarnation: 1, Serial: 2, Expires: time.Hour}, "a1")
	require.NoError(f, err)
	f.Add(minted.String())
	f.Add("")
	f.Add("t1.")
	f.Add("t1.AAAA")
	f.Add("t1." + strings.Repeat("_", 300))
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := ticket.Parse(s)
		if err != nil {
			require.ErrorIs(t, err, ticket.ErrFormat)
			return
		}
		require.Equal(t, s, parsed.String(), "a ticket has one form only")
		if s != minted.String() {
			require.ErrorIs(t, key.Verify(parsed, "a1"), ticket.ErrForged)
		}
	})
}
