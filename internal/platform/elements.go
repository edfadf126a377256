package platform

import (
	"bytes"
	"fmt"
)

// elements splits a JSON array into its elements without checking them. In contrast to
// encoding/json, it goes on after an element that is malformed or nested very deeply.
func elements(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if !bytes.HasPrefix(data, []byte("[")) {
		return nil, fmt.Errorf("%w: not a list", ErrValue)
	}
	var list [][]byte
	start, depth, quoted := 1, 0, false
	for i := 1; i < len(data); i++ {
		c := data[i]
		switch {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[', c == '{':
			depth++
		case depth > 0 && (c == ']' || c == '}'):
			depth--
		case depth == 0 && c == ',':
			list = append(list, data[start:i])
			start = i + 1
		case c == ']':
			last := data[start:i]
			if i != len(data)-1 {
				return nil, fmt.Errorf("%w: more than one list", ErrValue)
			}
			if len(list) > 0 || len(bytes.TrimSpace(last)) > 0 {
				list = append(list, last)
			}
			return list, nil
		}
	}
	return nil, fmt.Errorf("%w: the list has no end", ErrValue)
}
