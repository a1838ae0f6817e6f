package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFileBytes is the largest size of a file. The longest allowed lists of members
// take less than a tenth of it.
const maxFileBytes = 1 << 20

// load reads the file at path and parses it with parse.
func load[T any](path string, parse func(string, []byte) (T, error)) (t T, err error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		err = fmt.Errorf("%s has %d bytes; allowed: at most %d", path, info.Size(), maxFileBytes)
	}
	if err != nil {
		return t, &Error{Op: "read settings", Kind: KindRead, Err: err}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return t, &Error{Op: "read settings", Kind: KindRead, Err: err}
	}
	return parse(path, data)
}

// decoder collects the values and the problems of one file.
type decoder[T any] struct {
	file     string
	keys     []Key[T]
	value    T
	problems []Problem
	// keysSeen holds the keys found so far in each section.
	keysSeen map[string]map[string]bool
}

// addProblem records a problem of the file.
func (d *decoder[T]) addProblem(section, key, value, reason, allowed string) {
	d.problems = append(d.problems, Problem{
		File: d.file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed,
	})
}

// noProblemIn reports whether none of the given settings has a problem so far. A
// setting is given as "section/key" or as a prefix of that. Checks across keys call
// it first, so that a wrong value is reported only once.
func (d *decoder[T]) noProblemIn(settings ...string) bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool {
		return slices.ContainsFunc(settings, func(s string) bool {
			return strings.HasPrefix(p.Section+"/"+p.Key, s)
		})
	})
}

// decode parses data according to the table of keys. It then calls check for the
// checks across keys, for example that one value is at most another. The error is
// an *Error with all problems of the file.
func decode[T any](op, file string, data []byte, keys []Key[T], check func(*decoder[T])) (t T, err error) {
	// Shadow values and non-unique sections preserve duplicates, which the library
	// otherwise merges silently. Only "=" is a delimiter, because addresses contain
	// colons.
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		AllowNonUniqueSections:     true,
		IgnoreContinuation:         true,
		KeyValueDelimiters:         "=",
	}, data)
	if err != nil {
		return t, newError(op, KindSyntax, []Problem{{File: file, Reason: strings.TrimSpace(err.Error())}})
	}
	d := &decoder[T]{file: file, keys: keys, keysSeen: map[string]map[string]bool{}}
	for _, s := range f.Sections() {
		d.readSection(s)
	}
	d.handleAbsentKeys()
	check(d)
	if len(d.problems) > 0 {
		return t, newError(op, KindInvalid, d.problems)
	}
	return d.value, nil
}

// readSection reads the keys of a section. It reports unknown and duplicate
// sections, duplicate keys, and keys before the first section.
func (d *decoder[T]) readSection(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			d.addProblem("", k.Name(), k.Value(), "key outside of a section", sectionNames(d.keys))
		}
		return
	}
	if !slices.ContainsFunc(d.keys, func(k Key[T]) bool { _, ok := matchPlaceholder(k.Section, name); return ok }) {
		d.addProblem(name, "", "", "unknown section", sectionNames(d.keys))
		return
	}
	if d.keysSeen[name] != nil {
		d.addProblem(name, "", "", "duplicate section", "each section once")
	} else {
		d.keysSeen[name] = map[string]bool{}
	}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 || d.keysSeen[name][k.Name()] {
			d.addProblem(name, k.Name(), k.Value(), "duplicate key", "each key once")
		}
		if !d.keysSeen[name][k.Name()] {
			d.readKey(name, k.Name(), k.Value())
		}
		d.keysSeen[name][k.Name()] = true
	}
}

// readKey stores the value of one key, or reports that the key is unknown or the
// value is not allowed.
func (d *decoder[T]) readKey(section, key, value string) {
	for _, k := range d.keys {
		// At most one of the two names is not empty; see Key.Section.
		sectionName, inSection := matchPlaceholder(k.Section, section)
		keyName, found := matchPlaceholder(k.Name, key)
		if !inSection || !found {
			continue
		}
		if !k.set(&d.value, sectionName+keyName, value) {
			d.addProblem(section, key, value, "value not allowed", k.Allowed)
		}
		return
	}
	d.addProblem(section, key, value, "unknown key", keyNames(d.keys, section))
}

// handleAbsentKeys sets the defaults of absent keys and reports required keys that
// are absent. A section without the placeholder is handled even if the file lacks
// it; sections with a chosen name are handled only if the file has them.
func (d *decoder[T]) handleAbsentKeys() {
	for _, k := range d.keys {
		sections := []string{k.Section}
		if strings.HasSuffix(k.Section, namePlaceholder) {
			sections = sections[:0]
			for s := range d.keysSeen {
				if _, ok := matchPlaceholder(k.Section, s); ok {
					sections = append(sections, s)
				}
			}
			slices.Sort(sections)
		}
		for _, s := range sections {
			if d.keysSeen[s][k.Name] {
				continue
			}
			if k.required() {
				d.addProblem(s, k.Name, "", "missing key", k.Allowed)
			} else if k.Default != "" {
				k.set(&d.value, "", k.Default)
			}
		}
	}
}

// sectionNames returns the sections of a table of keys, for error messages.
func sectionNames[T any](keys []Key[T]) string {
	var list []string
	for _, k := range keys {
		list = append(list, "["+k.Section+"]")
	}
	return joinDistinct(list)
}

// keyNames returns the keys of a section, for error messages.
func keyNames[T any](keys []Key[T], section string) string {
	var list []string
	for _, k := range keys {
		if _, ok := matchPlaceholder(k.Section, section); !ok {
			continue
		}
		if strings.HasSuffix(k.Name, namePlaceholder) {
			list = append(list, k.Name+" with a NAME of "+nameRule.allowed)
			continue
		}
		list = append(list, k.Name)
	}
	return joinDistinct(list)
}
