package endpoint_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const (
	ownEvent     = `{"id":"1f","choices":[{"finish_reason":"stop"}]}`
	idLast       = `{"choices":[{"finish_reason":"stop"}],"id":"1f"}`
	unfinished   = `{"id":"1f","choices":[{"finish_reason":null}]}`
	otherAttempt = `{"id":"1f2","choices":[]}`
	done         = "data: [DONE]\n\n"

	streamEvents = 1000
)

func TestStreamReads(t *testing.T) {
	long := `{"id":"1f","text":"` + strings.Repeat("x", 20<<10) + `","choices":[{"finish_reason":"stop"}]}`
	tests := []struct {
		name    string
		text    string
		events  []string
		dropped int
		end     error
	}{
		{"whole", "data: " + ownEvent + "\n\n" + done, []string{ownEvent}, 0, io.EOF},
		{"id in another place", "data: " + idLast + "\n\n" + done, []string{idLast}, 0, io.EOF},
		{"carriage returns", "data: " + ownEvent + "\r\n\r\ndata: [DONE]\r\n\r\n", []string{ownEvent}, 0, io.EOF},
		{"no space", "data:" + ownEvent + "\n\n" + done, []string{ownEvent}, 0, io.EOF},
		{"comments and other fields", ": ping\nevent: x\ndata: " + ownEvent + "\n\n" + done, []string{ownEvent}, 0, io.EOF},
		{"end mark without a line end", "data: " + ownEvent + "\n\ndata: [DONE]", []string{ownEvent}, 0, io.EOF},
		{"another attempt's", "data: " + otherAttempt + "\n\ndata: " + ownEvent + "\n\n" + done, []string{ownEvent}, 1, io.EOF},
		{"long event", "data: " + long + "\n\n" + done, []string{long}, 0, io.EOF},
		{"end mark before the finish", "data: " + unfinished + "\n\n" + done, []string{unfinished}, 0, endpoint.ErrCut},
		{"no end mark", "data: " + ownEvent + "\n\n", []string{ownEvent}, 0, endpoint.ErrCut},
		{"cut within a line", "data: " + ownEvent, nil, 0, endpoint.ErrCut},
		{"cut within the end mark", "data: " + ownEvent + "\n\ndata: [DO", []string{ownEvent}, 0, endpoint.ErrCut},
		{"broken event", "data: {\"id\":\"1f\"\n\n" + done, nil, 0, endpoint.ErrCut},
		{"not JSON", "data: hello\n\n" + done, nil, 0, endpoint.ErrCut},
		{"endless line", "data: " + strings.Repeat("x", 2<<20) + "\n\n" + done, nil, 0, endpoint.ErrCut},
		{"empty", "", nil, 0, endpoint.ErrCut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(test.text), iotest.HalfReader(strings.NewReader(test.text))} {
				s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(r)}, "1f")
				var events []string
				data, err := s.Next()
				for ; err == nil; data, err = s.Next() {
					events = append(events, string(data))
				}
				require.ErrorIs(t, err, test.end)
				require.Equal(t, test.events, events)
				require.Equal(t, test.dropped, s.Dropped())
			}
		})
	}
}

func TestStreamMoreReportsBufferedEvents(t *testing.T) {
	s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(io.MultiReader(
		strings.NewReader("data: "+ownEvent+"\n\ndata: "+ownEvent+"\n\n"), strings.NewReader(done),
	))}, "1f")
	for _, more := range []bool{true, false} {
		_, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, more, s.More())
	}
}

func FuzzStream(f *testing.F) {
	f.Add("data: " + ownEvent + "\n\n" + done)
	f.Add("data: " + otherAttempt + "\n\ndata: {\"id\":\"1f\"\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(strings.NewReader(text))}, "1f")
		for {
			data, err := s.Next()
			if err != nil {
				require.True(t, errors.Is(err, io.EOF) || errors.Is(err, endpoint.ErrCut))
				return
			}
			require.Contains(t, string(data), "1f")
		}
	})
}

// BenchmarkStream measures a stream of streamEvents events.
func BenchmarkStream(b *testing.B) {
	event := "data: {\"id\":\"1f\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}\n\n"
	text := strings.Repeat(event, streamEvents) + done
	b.ReportAllocs()
	for b.Loop() {
		s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(strings.NewReader(text))}, "1f")
		for {
			if _, err := s.Next(); err != nil {
				break
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*streamEvents), "ns/event")
}
