package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const maxLineBytes = 1 << 20

var (
	errHeader   = errors.New("header is missing")
	errTime     = errors.New("time goes back")
	errTrailing = errors.New("text after the value")
)

// Read decodes a trace strictly. It returns ErrFormat with the line number if a
// field or kind is unknown, a required field is missing, a value is invalid or the
// times are not in order.
func Read(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	t := &Trace{}
	number := 0
	for lines.Scan() {
		number++
		if err := t.addLine(number, lines.Bytes()); err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrFormat, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: line %d: %v", ErrFormat, number+1, err)
	}
	if number == 0 {
		return nil, fmt.Errorf("%w: line 1: %v", ErrFormat, errHeader)
	}
	return t, nil
}

// Write writes a trace in the format that Read decodes. It does not check it.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	if err := enc.Encode(t.Header); err != nil {
		return fmt.Errorf("%w: %v", ErrFormat, err)
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return fmt.Errorf("%w: %v", ErrFormat, err)
		}
	}
	return buffered.Flush()
}

func (t *Trace) addLine(number int, data []byte) error {
	if number == 1 {
		if err := decode(data, &t.Header); err != nil {
			return err
		}
		return t.Header.check()
	}
	var e Event
	if err := decode(data, &e); err != nil {
		return err
	}
	if n := len(t.Events); e.At < 0 || n > 0 && e.At < t.Events[n-1].At {
		return errTime
	}
	if err := t.Header.checkEvent(e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return nil
}

func decode(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errTrailing
	}
	return nil
}

func (h Header) check() error {
	switch {
	case h.Bound < 1:
		return fmt.Errorf("bound %v is below 1", h.Bound)
	case len(h.Nodes) == 0:
		return errors.New("no nodes")
	case len(h.Zones) == 0:
		return errors.New("no zones")
	}
	for _, m := range h.Models {
		if m.Step <= 0 {
			return fmt.Errorf("model %q: step must be positive", m.Name)
		}
	}
	for _, e := range h.Endpoints {
		if _, ok := h.Model(e.Model); !ok {
			return fmt.Errorf("endpoint %q: unknown model %q", e.Endpoint, e.Model)
		}
	}
	return nil
}

func (h Header) checkEvent(e Event) error {
	switch e.Kind {
	case Ask:
		return h.checkAsk(e)
	case Join:
		if e.Zone == "" || (e.Endpoint == "") == (e.Instance == "") {
			return errors.New("join: zone and one of endpoint and instance are needed")
		}
		if _, ok := h.Model(e.Model); e.Endpoint != "" && !ok {
			return fmt.Errorf("join: unknown model %q", e.Model)
		}
	case Leave:
		if (e.Endpoint == "") == (e.Instance == "") {
			return errors.New("leave: one of endpoint and instance is needed")
		}
	case Kill:
		if e.Instance == "" {
			return errors.New("kill: instance is needed")
		}
	case Crash:
		if e.Chat == "" {
			return errors.New("crash: chat is needed")
		}
	case Accept:
		if e.Revision == 0 {
			return errors.New("accept: revision is needed")
		}
	default:
		return fmt.Errorf("unknown kind %q", e.Kind)
	}
	return nil
}

func (h Header) checkAsk(e Event) error {
	_, known := h.Model(e.Model)
	switch {
	case !known:
		return fmt.Errorf("ask: unknown model %q", e.Model)
	case e.Account == "" || e.Chat == "":
		return errors.New("ask: account and chat are needed")
	case e.Prefix < 0 || e.Input < 0 || e.Output < 1:
		return errors.New("ask: bad sizes")
	case e.Deadline <= 0:
		return errors.New("ask: deadline must be positive")
	}
	return nil
}
