package endpoint_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const finish = `data: {"id":"a","choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), d)
}

func chunkOf(id, text string) string {
	return fmt.Sprintf(`data: {"id":%q,"choices":[{"delta":{"content":%q},"finish_reason":null}]}`+"\n\n", id, text)
}

// readStream returns the texts of a stream and how it ended.
func readStream(text string) ([]string, error) {
	s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(strings.NewReader(text))}, "a")
	var texts []string
	for {
		data, err := s.Next()
		if err != nil {
			return texts, err
		}
		c, err := endpoint.Decode(data)
		if err != nil {
			return texts, err
		}
		for _, choice := range c.Choices {
			texts = append(texts, choice.Delta.Content)
		}
	}
}

// Guards against a truncated answer that is taken for a complete one, and
// against events of other attempts in an answer.
func TestStreamChecksEveryEvent(t *testing.T) {
	numbered := func(n int, e string) string { return fmt.Sprintf("id: %d\n%s", n, e) }
	one, two := chunkOf("a", "one"), chunkOf("a", "two")
	cases := []struct {
		name  string
		text  string
		want  string
		whole bool
	}{
		{"whole", one + two + finish + done, "one two ", true},
		{"no end mark", one + two + finish, "one two ", false},
		{"end mark before the finish", one + done, "one", false},
		{"empty", "", "", false},
		{"other attempt dropped", one + chunkOf("b", "evil") + two + finish + done, "one two ", true},
		{"cut within an event", one + two[:30], "one", false},
		{"not JSON", one + "data: {\n\n", "one", false},
		{"comments and other fields", ": hello\nevent: x\n" + one + finish + done, "one ", true},
		{"windows line ends", strings.ReplaceAll(one+finish+done, "\n", "\r\n"), "one ", true},
		{"numbered", numbered(0, one) + numbered(1, finish) + numbered(2, done), "one ", true},
		{"numbered twice", numbered(0, one) + numbered(0, one) + numbered(1, finish) + numbered(2, done), "one ", true},
		{"numbered gap", numbered(0, one) + numbered(2, finish) + numbered(3, done), "one", false},
		{"numbered gap before the end mark", numbered(0, one) + numbered(1, finish) + numbered(3, done), "one ", false},
		{"number lost", numbered(0, one) + two + finish + done, "one", false},
		{"begins in the middle", numbered(3, one) + numbered(4, finish) + numbered(5, done), "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			texts, err := readStream(c.text)
			require.Equal(t, c.want, strings.Join(texts, " "))
			if c.whole {
				require.ErrorIs(t, err, io.EOF)
				return
			}
			require.ErrorIs(t, err, endpoint.ErrCut)
		})
	}
}

func FuzzNumbers(f *testing.F) {
	f.Add([]byte(chunkOf("a", "one") + finish + "data: [DONE]\n\n"))
	f.Add([]byte("id: 0\n" + chunkOf("a", "one") + "id: 1\n" + finish + "id: 2\ndata: [DONE]\n\n"))
	f.Add([]byte("data: [DONE]"))
	f.Add([]byte("id: 99999999999999999999\ndata: {}\n\n"))
	f.Add(bytes.Repeat([]byte("data: "), 1000))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(bytes.NewReader(data))}, "a")
		for {
			event, err := s.Next()
			if errors.Is(err, io.EOF) {
				require.Contains(t, string(data), endpoint.DoneMark, "whole only with an end mark")
				require.Contains(t, string(data), "finish_reason")
				return
			}
			if err != nil {
				require.ErrorIs(t, err, endpoint.ErrCut)
				return
			}
			require.Contains(t, string(data), string(event))
		}
	})
}
