package report

import (
	"bytes"
	"encoding/json"
)

// object is a JSON object that keeps the order of its fields.
type object []field

type field struct {
	name  string
	value any
}

// MarshalJSON writes the fields in their order.
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

// list maps every element; the result of none is an empty list and not null.
func list[T any](in []T, f func(T) object) []object {
	out := make([]object, 0, len(in))
	for _, v := range in {
		out = append(out, f(v))
	}
	return out
}

func encode(v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	return string(data) + "\n", err
}
