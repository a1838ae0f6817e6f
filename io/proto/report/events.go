package report

import (
	"encoding/json"
	"fmt"
	"reflect"

	"camphorridge/core/state/model"
)

// eventField maps a key of the JSON object to a field of the event.
type eventField struct {
	name string
	// pointer is a pointer to the field of the event.
	pointer any
	// required is set if the key is always written and must be present when decoding.
	required bool
}

// eventFields returns the fields of e, in the order of the keys in JSON. Encoding and
// decoding both use it.
func eventFields(e *model.Event) []eventField {
	return []eventField{
		{"stamp-ms", &e.Stamp.Wall, true},
		{"stamp-count", &e.Stamp.Count, true},
		{"process", &e.Process, true},
		{"seq", &e.Seq, true},
		{"kind", &e.Kind, true},
		{"customer", &e.Customer, false},
		{"pool", &e.Pool, false},
		{"instance", &e.Instance, false},
		{"request", &e.Request, false},
		{"version", &e.Version, false},
		{"limit", &e.Limit, false},
		{"detail", &e.Detail, false},
	}
}

// eventObject returns the JSON object of an event, without optional fields that
// are empty.
func eventObject(e model.Event) object {
	var o object
	for _, f := range eventFields(&e) {
		v := reflect.ValueOf(f.pointer).Elem()
		if f.required || !v.IsZero() {
			o = append(o, field{f.name, v.Interface()})
		}
	}
	return o
}

// EventsToJSON returns the events as a JSON array, without optional fields that are
// empty.
func EventsToJSON(events []model.Event) ([]byte, error) {
	data, err := json.Marshal(mapObjects(events, eventObject))
	if err != nil {
		return nil, &Error{Op: "encode events", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// EventsFromJSON parses an array written by EventsToJSON. It ignores unknown keys, so
// that processes of different releases can exchange events. It returns an *Error
// of KindDecode if the array is malformed or an event lacks a required key.
func EventsFromJSON(data []byte) ([]model.Event, error) {
	var items []map[string]json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, &Error{Op: "decode events", Kind: KindDecode, Err: err}
	}
	out := make([]model.Event, len(items))
	for i, item := range items {
		for _, f := range eventFields(&out[i]) {
			raw, ok := item[f.name]
			if !ok && f.required {
				return nil, &Error{Op: "decode events", Kind: KindDecode, Err: fmt.Errorf("event %d has no %s", i, f.name)}
			}
			if !ok {
				continue
			}
			if err := json.Unmarshal(raw, f.pointer); err != nil {
				return nil, &Error{Op: "decode events", Kind: KindDecode, Err: fmt.Errorf("event %d, %s: %w", i, f.name, err)}
			}
		}
	}
	return out, nil
}
