package sse_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/sse"
)

func ExampleReader() {
	r := sse.NewReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	for {
		ev, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		fmt.Printf("%d %q\n", ev.ID, ev.Raw)
	}
	// Output:
	// 1 "id: 1\ndata: a\n\n"
	// 2 "id: 2\ndata: b\n\n"
}

func TestReader(t *testing.T) {
	long := "id: 7\ndata: " + strings.Repeat("x", 10_000) + "\n\n"
	cases := []struct {
		name string
		text string
		ids  []uint64
		err  error
	}{
		{name: "empty", err: io.EOF},
		{name: "carriage returns", text: "id: 1\r\ndata: a\r\n\r\n", ids: []uint64{1}, err: io.EOF},
		{name: "an event longer than the buffer", text: long, ids: []uint64{7}, err: io.EOF},
		{name: "ends within a line", text: "id: 1\n\nid: 2", ids: []uint64{1}, err: sse.ErrTruncated},
		{name: "ends before its blank line", text: "id: 1\n\nid: 2\n", ids: []uint64{1}, err: sse.ErrTruncated},
		{name: "too large", text: "data: " + strings.Repeat("x", sse.MaxEventSize+1) + "\n\n", err: sse.ErrTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := sse.NewReader(iotest.HalfReader(strings.NewReader(c.text)))
			var ids []uint64
			ev, err := r.Next()
			for ; err == nil; ev, err = r.Next() {
				require.True(t, ev.HasID)
				ids = append(ids, ev.ID)
			}
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.ids, ids)
		})
	}
}

// Whatever the bytes, the events read are a prefix of them, and nothing panics.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\n\n\r\n:x\nid:\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := sse.NewReader(strings.NewReader(text))
		read := ""
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			read += string(ev.Raw)
		}
		require.True(t, strings.HasPrefix(text, read))
	})
}
