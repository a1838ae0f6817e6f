package report

import (
	"encoding/json"
	"fmt"
	"reflect"

	"camphorridge/core/state/model"
)

// slot joins a key of an event's JSON object to the event's field.
type slot struct {
	name string
	// to points to the field.
	to any
	// required fields are always written and must be present.
	required bool
}

// slots lists the fields of an event; it drives both directions.
func slots(e *model.Event) []slot {
	return []slot{
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

func eventObject(e model.Event) object {
	var o object
	for _, s := range slots(&e) {
		v := reflect.ValueOf(s.to).Elem()
		if s.required || !v.IsZero() {
			o = append(o, field{s.name, v.Interface()})
		}
	}
	return o
}

// EventsToJSON returns the events as a JSON list, without the empty fields.
func EventsToJSON(events []model.Event) ([]byte, error) {
	data, err := json.Marshal(list(events, eventObject))
	if err != nil {
		return nil, &Error{Op: "encode events", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// EventsFromJSON reads a list written by EventsToJSON. Unknown keys are
// ignored, so that processes of two releases understand each other.
func EventsFromJSON(data []byte) ([]model.Event, error) {
	var items []map[string]json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return nil, &Error{Op: "decode events", Kind: KindDecode, Err: err}
	}
	out := make([]model.Event, len(items))
	for i, item := range items {
		for _, s := range slots(&out[i]) {
			raw, ok := item[s.name]
			if !ok && s.required {
				return nil, &Error{Op: "decode events", Kind: KindDecode, Err: fmt.Errorf("event %d has no %s", i, s.name)}
			}
			if !ok {
				continue
			}
			if err := json.Unmarshal(raw, s.to); err != nil {
				return nil, &Error{Op: "decode events", Kind: KindDecode, Err: fmt.Errorf("event %d, %s: %w", i, s.name, err)}
			}
		}
	}
	return out, nil
}
