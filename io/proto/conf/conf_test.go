package conf_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/io/proto/conf"
)

// loadByName loads a file. The prefix of its name determines the kind of file.
func loadByName(path string) (any, error) {
	switch name := filepath.Base(path); {
	case strings.HasPrefix(name, "control"):
		return conf.LoadControl(path)
	case strings.HasPrefix(name, "contract"):
		return conf.LoadContract(path)
	default:
		return conf.LoadEntry(path)
	}
}

// TestFiles checks that every value is stored in its own field, and that all problems
// of a file are reported together, each with its section and key.
func TestFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 8)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			v, err := loadByName(path)
			text := strings.ReplaceAll(fmt.Sprintf("%+v\n", v), " ", "\n")
			if err != nil {
				text = err.Error() + "\n"
			}
			golden.Assert(t, text, filepath.Base(path)+".golden")
		})
	}
}

// TestErrorKinds checks that each reason for an error has its own kind, and that
// problems name the file.
func TestErrorKinds(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large.ini")
	assert.NilError(t, os.WriteFile(large, make([]byte, 1<<20+1), 0o600))
	for path, kind := range map[string]conf.Kind{
		"testdata/absent.ini":    conf.KindRead,
		large:                    conf.KindRead,
		"testdata/syntax.ini":    conf.KindSyntax,
		"testdata/entry-bad.ini": conf.KindInvalid,
	} {
		_, err := conf.LoadEntry(path)
		var e *conf.Error
		assert.Assert(t, errors.As(err, &e), path)
		assert.Equal(t, e.Kind, kind, path)
		for _, p := range e.Problems {
			assert.Equal(t, p.File, path)
		}
	}
}

// TestReference checks that the reference page matches the tables of keys.
func TestReference(t *testing.T) {
	golden.Assert(t, conf.Reference(), "../../../../docs/settings.md")
}

// FuzzParse checks that no input makes a parser panic or is accepted although a
// required name or address is empty.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/*.ini")
	assert.NilError(f, err)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Add([]byte("[process]\nname = \"\"\"a\nb\"\"\"\n[a.b]\nx = %(y)s\\\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := conf.ParseEntry("f", data)
		assert.Check(t, err != nil || e.Name != "" && e.Zone != "" && e.Listen.Peers != "" && len(e.Controls) > 0)
		c, err := conf.ParseControl("f", data)
		assert.Check(t, err != nil || c.Name != "" && c.DataFolder != "" && len(c.Controls) > 0)
		k, err := conf.ParseContract("f", data)
		assert.Check(t, err != nil || len(k.Pools) > 0 && k.MaxUnavailable >= 0)
	})
}
