package report

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object with its fields in a fixed order.
type object []field

// field is one field of a JSON object.
type field struct {
	name  string
	value any
}

// MarshalJSON returns the object with its fields in their order.
func (o object) MarshalJSON() ([]byte, error) {
	var b bytes.Buffer
	b.WriteByte('{')
	for i, f := range o {
		if i > 0 {
			b.WriteByte(',')
		}
		name, err := json.Marshal(f.name)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		b.Write(name)
		b.WriteByte(':')
		b.Write(value)
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}

// mapObjects applies f to every element. The result is never nil, so that JSON has
// [] for an empty list and not null.
func mapObjects[T any](in []T, f func(T) object) []object {
	out := make([]object, 0, len(in))
	for _, v := range in {
		out = append(out, f(v))
	}
	return out
}

// encodeJSON returns v as indented JSON, with a newline at the end.
func encodeJSON(v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	return string(data) + "\n", err
}
