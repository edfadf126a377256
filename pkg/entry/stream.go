package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
)

const maxEventBytes = 1 << 20

var dataField = []byte("data:")

type (
	// Stream is an answer that comes piece by piece. It is not safe for
	// concurrent use.
	Stream struct {
		sent  *sent
		lines *bufio.Scanner
		text  strings.Builder
		usage Usage
		// whole takes the text once the answer is whole.
		whole func(text string)
		err   error
	}

	// Usage is what an answer took, in tokens.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		PromptDetails    struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *Usage   `json:"usage"`
		Error *Refusal `json:"error"`
	}
)

func newStream(s *sent, whole func(text string)) *Stream {
	lines := bufio.NewScanner(s.resp.Body)
	lines.Buffer(nil, maxEventBytes)
	return &Stream{sent: s, lines: lines, whole: whole}
}

// Next returns the next piece of the answer, io.EOF after the last one of a
// whole answer, or a *Refusal where the answer was cut; it wraps ErrCut where
// nobody said so and the answer ended without its mark.
func (s *Stream) Next() (string, error) {
	for s.err == nil {
		if !s.lines.Scan() {
			s.err = s.cut(s.lines.Err())
			break
		}
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		piece, err := s.take(bytes.TrimSpace(data))
		s.err = err
		if piece != "" {
			s.text.WriteString(piece)
			return piece, nil
		}
	}
	return "", s.err
}

// ReadAll reads the stream to its end and returns the whole answer.
func (s *Stream) ReadAll() (string, error) {
	for {
		_, err := s.Next()
		if errors.Is(err, io.EOF) {
			return s.text.String(), nil
		}
		if err != nil {
			return s.text.String(), err
		}
	}
}

// Node returns the node that answers.
func (s *Stream) Node() netip.AddrPort { return s.sent.node }

// Request returns the name of the request in the fleet's logs and decision
// traces.
func (s *Stream) Request() string { return s.sent.resp.Header.Get(HeaderRequest) }

// Ticket returns the ticket under which the request was sent; empty without.
func (s *Stream) Ticket() string { return s.sent.ticket }

// Usage returns what the answer took; zero before the end.
func (s *Stream) Usage() Usage { return s.usage }

// Close ends the stream. An engine that still works on it is freed.
func (s *Stream) Close() error {
	if err := s.sent.resp.Body.Close(); err != nil {
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
	return nil
}

// take reads the data of one event.
func (s *Stream) take(data []byte) (string, error) {
	if string(data) == DoneMark {
		// Reading on to the end lets the connection serve the next request.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.sent.resp.Body, maxEventBytes))
		s.whole(s.text.String())
		return "", io.EOF
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return "", s.cut(err)
	}
	if e.Error != nil {
		e.Error.Ticket = s.sent.ticket
		return "", e.Error
	}
	if e.Usage != nil {
		s.usage = *e.Usage
	}
	if len(e.Choices) == 0 {
		return "", nil
	}
	return e.Choices[0].Delta.Content, nil
}

func (s *Stream) cut(err error) *Refusal {
	cause := fmt.Errorf("%w: %v", ErrCut, err)
	return &Refusal{Type: "cut", Message: cause.Error(), Ran: RanYes, Ticket: s.sent.ticket, cause: cause}
}
