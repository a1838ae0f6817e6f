package cmds

import (
	"errors"
	"fmt"
	"io"
	"os"

	"camphorridge/io/proto/conf"
	"camphorridge/io/trans/roles"
)

func runEntry(o *options, _ io.Writer) error {
	cfg, err := loadFile(o.settings, conf.LoadEntry)
	if err != nil {
		return err
	}
	return roleError("entry", roles.RunEntry(cfg, os.Stderr))
}

func runControl(o *options, _ io.Writer) error {
	cfg, err := loadFile(o.settings, conf.LoadControl)
	if err != nil {
		return err
	}
	return roleError("control", roles.RunControl(cfg, os.Stderr))
}

func roleError(name string, err error) error {
	if err == nil {
		return nil
	}
	return failedError(name, err)
}

// loadFile loads a file with f. Its errors are of KindUsage.
func loadFile[T any](file string, f func(string) (T, error)) (T, error) {
	var none T
	if file == "" {
		return none, usageError("settings", errors.New("no file is given; want the path of a file"))
	}
	v, err := f(file)
	if err != nil {
		return none, usageError("settings", err)
	}
	return v, nil
}

func runCheck(o *options, out io.Writer) error {
	var err error
	switch o.kind {
	case "entry":
		_, err = conf.LoadEntry(o.file)
	case "control":
		_, err = conf.LoadControl(o.file)
	case "contract":
		_, err = conf.LoadContract(o.file)
	case "job":
		_, err = conf.LoadJob(o.file)
	default:
		err = fmt.Errorf("kind %q is unknown; want entry, control, contract or job", o.kind)
	}
	if err != nil {
		return usageError("check", err)
	}
	fmt.Fprintf(out, "%s: valid %s file\n", o.file, o.kind)
	return nil
}
