package command

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// ErrArguments is returned for missing or invalid arguments.
var ErrArguments = eris.New("wrong arguments")

// readFile reads the file that is the command's only argument; "-" is standard input.
// It reads at most one byte more than the maximum size of a change, so that parsing
// detects a file that is too large.
func readFile(cmd *cli.Command) ([]byte, error) {
	if cmd.Args().Len() != 1 {
		return nil, eris.Wrapf(ErrArguments, "want one file, have %d", cmd.Args().Len())
	}
	name := cmd.Args().First()
	f := os.Stdin
	if name != "-" {
		var err error
		if f, err = os.Open(name); err != nil {
			return nil, eris.Wrap(err, "opening the configuration")
		}
		defer f.Close()
	}
	b, err := io.ReadAll(io.LimitReader(f, configuration.MaxChangeBytes+1))
	return b, eris.Wrapf(err, "reading %s", name)
}

// readObjects reads and parses the configuration file that is the command's argument.
func readObjects(cmd *cli.Command) (configuration.Objects, error) {
	b, err := readFile(cmd)
	if err != nil {
		return configuration.Objects{}, err
	}
	o, err := configuration.ParseObjects(b)
	return o, eris.Wrapf(err, "%s", cmd.Args().First())
}
