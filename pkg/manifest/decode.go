package manifest

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

const tagName = "json"

var bytesType = reflect.TypeFor[[]byte]()

type (
	// decoder decodes JSON into a value and records every unknown, duplicate,
	// missing and mistyped field with its path. The decoder of encoding/json
	// stops at the first error, keeps the last of duplicate fields and ignores
	// missing ones, so operators could accept what they did not intend.
	decoder struct {
		data     []byte
		dec      *json.Decoder
		problems Problems
		// lines, if not nil, receives the line of each path.
		lines map[string]int
	}

	// jsonPath is a path in the JSON text, linked to the enclosing one. It is
	// formatted only if needed, for a problem or for lines.
	jsonPath struct {
		parent *jsonPath
		name   string
		index  int
	}
)

// decode decodes all of data into target, a pointer, and reports whether data is
// exactly one valid JSON value. The paths of problems start with base.
func decode(data []byte, target any, base string, lines map[string]int) (Problems, bool) {
	d := &decoder{data: data, dec: json.NewDecoder(bytes.NewReader(data)), lines: lines}
	d.dec.UseNumber()
	var root *jsonPath
	if base != "" {
		root = &jsonPath{name: base}
	}
	if err := d.value(reflect.ValueOf(target).Elem(), root); err != nil {
		d.addProblem(root, err.Error())
		return d.problems, false
	}
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		d.addProblem(root, "something follows the end")
		return d.problems, false
	}
	return d.problems, true
}

func (p *jsonPath) field(name string) *jsonPath { return &jsonPath{parent: p, name: name} }

func (p *jsonPath) item(i int) *jsonPath { return &jsonPath{parent: p, index: i} }

// String returns the path, such as services[2].models[0].
func (p *jsonPath) String() string {
	switch {
	case p == nil:
		return ""
	case p.name == "":
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	case p.parent == nil:
		return p.name
	default:
		return p.parent.String() + "." + p.name
	}
}

// line returns the current line, counted from 1.
func (d *decoder) line() int {
	read := min(int(d.dec.InputOffset()), len(d.data))
	return 1 + bytes.Count(d.data[:read], []byte{'\n'})
}

func (d *decoder) addProblem(p *jsonPath, text string) {
	d.problems = append(d.problems, Problem{Path: p.String(), Line: d.line(), Text: text})
}

// value decodes the next value. It returns an error only if the text is not valid
// JSON, after which decoding cannot continue.
func (d *decoder) value(v reflect.Value, p *jsonPath) error {
	t, err := d.token()
	if err != nil {
		return err
	}
	if d.lines != nil {
		d.lines[p.String()] = d.line()
	}
	if v.Type() == bytesType {
		return d.scalar(t, p, "text in base64", func() bool { return setBytes(v, t) })
	}
	switch v.Kind() {
	case reflect.Struct:
		return d.object(v, t, p)
	case reflect.Slice:
		return d.list(v, t, p)
	case reflect.String:
		return d.scalar(t, p, "text", func() bool { return setText(v, t) })
	case reflect.Bool:
		return d.scalar(t, p, "true or false", func() bool { return setBool(v, t) })
	case reflect.Uint64:
		return d.scalar(t, p, "a whole number from 0", func() bool { return setUint(v, t) })
	case reflect.Int:
		return d.scalar(t, p, "a whole number", func() bool { return setInt(v, t) })
	default:
		return d.scalar(t, p, "a number", func() bool { return setFloat(v, t) })
	}
}

func (d *decoder) scalar(t json.Token, p *jsonPath, want string, set func() bool) error {
	if set() {
		return nil
	}
	d.addProblem(p, "must be "+want)
	return d.skip(t)
}

func (d *decoder) object(v reflect.Value, t json.Token, p *jsonPath) error {
	if t != json.Delim('{') {
		d.addProblem(p, "must be an object")
		return d.skip(t)
	}
	start := d.line()
	fields := fieldsOf(v.Type())
	seen := make([]bool, len(fields))
	for d.dec.More() {
		name, err := d.token()
		if err != nil {
			return err
		}
		if err := d.field(v, fields, seen, p, fmt.Sprint(name)); err != nil {
			return err
		}
	}
	for i, f := range fields {
		if !seen[i] {
			d.problems = append(d.problems, Problem{Path: p.field(f.name).String(), Line: start, Text: "is missing"})
		}
	}
	_, err := d.token()
	return err
}

func (d *decoder) field(v reflect.Value, fields []field, seen []bool, p *jsonPath, name string) error {
	for i, f := range fields {
		if f.name != name {
			continue
		}
		if seen[i] {
			d.addProblem(p.field(name), "is given twice")
		}
		seen[i] = true
		return d.value(v.Field(f.index), p.field(name))
	}
	d.addProblem(p.field(name), "is no field that is known here")
	t, err := d.token()
	if err != nil {
		return err
	}
	return d.skip(t)
}

func (d *decoder) list(v reflect.Value, t json.Token, p *jsonPath) error {
	if t != json.Delim('[') {
		d.addProblem(p, "must be a list")
		return d.skip(t)
	}
	list := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; d.dec.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(item, p.item(i)); err != nil {
			return err
		}
		list = reflect.Append(list, item)
	}
	v.Set(list)
	_, err := d.token()
	return err
}

// skip consumes the rest of the value that starts with t.
func (d *decoder) skip(t json.Token) error {
	depth := 0
	for {
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth <= 0 {
			return nil
		}
		var err error
		if t, err = d.token(); err != nil {
			return err
		}
	}
}

// token returns the next token, or io.ErrUnexpectedEOF at the end of the text.
func (d *decoder) token() (json.Token, error) {
	t, err := d.dec.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	return t, err
}

type field struct {
	name  string
	index int
}

func fieldsOf(t reflect.Type) []field {
	fields := make([]field, 0, t.NumField())
	for i := range t.NumField() {
		if name, _, _ := strings.Cut(t.Field(i).Tag.Get(tagName), ","); name != "" {
			fields = append(fields, field{name: name, index: i})
		}
	}
	return fields
}

func setText(v reflect.Value, t json.Token) bool {
	s, ok := t.(string)
	if ok {
		v.SetString(s)
	}
	return ok
}

func setBytes(v reflect.Value, t json.Token) bool {
	s, ok := t.(string)
	if !ok {
		return false
	}
	b, err := base64.StdEncoding.DecodeString(s)
	v.SetBytes(b)
	return err == nil
}

func setBool(v reflect.Value, t json.Token) bool {
	b, ok := t.(bool)
	if ok {
		v.SetBool(b)
	}
	return ok
}

func setUint(v reflect.Value, t json.Token) bool {
	n, _ := t.(json.Number)
	u, err := strconv.ParseUint(string(n), 10, 64)
	v.SetUint(u)
	return err == nil
}

func setInt(v reflect.Value, t json.Token) bool {
	n, _ := t.(json.Number)
	i, err := strconv.ParseInt(string(n), 10, strconv.IntSize)
	v.SetInt(i)
	return err == nil
}

func setFloat(v reflect.Value, t json.Token) bool {
	n, _ := t.(json.Number)
	f, err := strconv.ParseFloat(string(n), 64)
	v.SetFloat(f)
	return err == nil
}
