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
	// Stream is a streamed answer. It is not safe for concurrent use.
	Stream struct {
		response *response
		lines    *bufio.Scanner
		text     strings.Builder
		usage    Usage
		// onComplete is called with the text once the answer is complete.
		onComplete func(text string)
		err        error
	}

	// Usage is the token usage of an answer.
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

func newStream(s *response, onComplete func(text string)) *Stream {
	lines := bufio.NewScanner(s.resp.Body)
	lines.Buffer(nil, maxEventBytes)
	return &Stream{response: s, lines: lines, onComplete: onComplete}
}

// Next returns the next piece of the answer, io.EOF after the last one of a
// complete answer, or a *Refusal if the answer was cut. The Refusal wraps
// ErrCut if the answer ended without its end mark and the node reported no
// error.
func (s *Stream) Next() (string, error) {
	for s.err == nil {
		if !s.lines.Scan() {
			s.err = s.cutError(s.lines.Err())
			break
		}
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		text, err := s.parseEvent(bytes.TrimSpace(data))
		s.err = err
		if text != "" {
			s.text.WriteString(text)
			return text, nil
		}
	}
	return "", s.err
}

// ReadAll reads the stream to its end and returns the complete answer.
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
func (s *Stream) Node() netip.AddrPort { return s.response.node }

// Request returns the request's ID in the fleet's logs and decision traces.
func (s *Stream) Request() string { return s.response.resp.Header.Get(HeaderRequest) }

// Ticket returns the ticket with which the request was sent; empty if none.
func (s *Stream) Ticket() string { return s.response.ticket }

// Usage returns the answer's token usage; zero before the end.
func (s *Stream) Usage() Usage { return s.usage }

// Close ends the stream and frees the engine if it is still generating.
func (s *Stream) Close() error {
	if err := s.response.resp.Body.Close(); err != nil {
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
	return nil
}

// parseEvent parses the data of one event and returns its piece of the answer.
func (s *Stream) parseEvent(data []byte) (string, error) {
	if string(data) == DoneMark {
		// The connection can be reused once the body has been read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(s.response.resp.Body, maxEventBytes))
		s.onComplete(s.text.String())
		return "", io.EOF
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return "", s.cutError(err)
	}
	if e.Error != nil {
		e.Error.Ticket = s.response.ticket
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

func (s *Stream) cutError(err error) *Refusal {
	cause := fmt.Errorf("%w: %v", ErrCut, err)
	return &Refusal{Type: "cut", Message: cause.Error(), Ran: RanYes, Ticket: s.response.ticket, cause: cause}
}
