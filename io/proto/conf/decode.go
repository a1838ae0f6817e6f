package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxFile bounds the size of a settings file; the largest possible list of
// members takes less than a tenth of it.
const maxFile = 1 << 20

func load[T any](path string, parse func(string, []byte) (T, error)) (t T, err error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFile {
		err = fmt.Errorf("%s has %d bytes, more than %d", path, info.Size(), maxFile)
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
	// seen holds the sections met, with the keys in them.
	seen map[string]map[string]bool
}

func (d *decoder[T]) add(section, key, value, reason, allowed string) {
	d.problems = append(d.problems, Problem{
		File: d.file, Section: section, Key: key, Value: value, Reason: reason, Allowed: allowed,
	})
}

// sound reports whether no problem was found in the given settings, each
// "section/key" or a prefix of it. Checks across keys ask it first, so that
// one fault is reported once.
func (d *decoder[T]) sound(settings ...string) bool {
	return !slices.ContainsFunc(d.problems, func(p Problem) bool {
		return slices.ContainsFunc(settings, func(s string) bool {
			return strings.HasPrefix(p.Section+"/"+p.Key, s)
		})
	})
}

// decode reads data by the table of keys, then checks across keys.
func decode[T any](op, file string, data []byte, keys []Key[T], check func(*decoder[T])) (t T, err error) {
	// Shadows and non-unique sections keep duplicates, which the library
	// otherwise merges in silence. Only "=" delimits, since addresses contain
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
	d := &decoder[T]{file: file, keys: keys, seen: map[string]map[string]bool{}}
	for _, s := range f.Sections() {
		d.section(s)
	}
	d.absent()
	check(d)
	if len(d.problems) > 0 {
		return t, newError(op, KindInvalid, d.problems)
	}
	return d.value, nil
}

func (d *decoder[T]) section(s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			d.add("", k.Name(), k.Value(), "key outside of a section", sections(d.keys))
		}
		return
	}
	if !slices.ContainsFunc(d.keys, func(k Key[T]) bool { _, ok := matchFamily(k.Section, name); return ok }) {
		d.add(name, "", "", "unknown section", sections(d.keys))
		return
	}
	if d.seen[name] != nil {
		d.add(name, "", "", "duplicate section", "each section once")
	} else {
		d.seen[name] = map[string]bool{}
	}
	for _, k := range s.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 || d.seen[name][k.Name()] {
			d.add(name, k.Name(), k.Value(), "duplicate key", "each key once")
		}
		if !d.seen[name][k.Name()] {
			d.key(name, k.Name(), k.Value())
		}
		d.seen[name][k.Name()] = true
	}
}

func (d *decoder[T]) key(section, key, value string) {
	for _, k := range d.keys {
		name, inSection := matchFamily(k.Section, section)
		member, found := matchFamily(k.Name, key)
		if !inSection || !found {
			continue
		}
		if !k.set(&d.value, name+member, value) {
			d.add(section, key, value, "value not allowed", k.Allowed)
		}
		return
	}
	d.add(section, key, value, "unknown key", names(d.keys, section))
}

// absent sets the defaults of absent keys and reports the required ones. A
// family of sections has the sections that are in the file, the others are
// treated as present.
func (d *decoder[T]) absent() {
	for _, k := range d.keys {
		found := []string{k.Section}
		if strings.HasSuffix(k.Section, family) {
			found = found[:0]
			for s := range d.seen {
				if _, ok := matchFamily(k.Section, s); ok {
					found = append(found, s)
				}
			}
			slices.Sort(found)
		}
		for _, s := range found {
			if d.seen[s][k.Name] {
				continue
			}
			if k.required() {
				d.add(s, k.Name, "", "missing key", k.Allowed)
			} else if k.Default != "" {
				k.set(&d.value, "", k.Default)
			}
		}
	}
}

// sections lists the sections of a table, for error messages.
func sections[T any](keys []Key[T]) string {
	var list []string
	for _, k := range keys {
		list = append(list, "["+k.Section+"]")
	}
	return join(list)
}

// names lists the keys of a section, for error messages.
func names[T any](keys []Key[T], section string) string {
	var list []string
	for _, k := range keys {
		if _, ok := matchFamily(k.Section, section); !ok {
			continue
		}
		if strings.HasSuffix(k.Name, family) {
			list = append(list, k.Name+" with a NAME of "+nameRule.allowed)
			continue
		}
		list = append(list, k.Name)
	}
	return join(list)
}
