// Command ctl is the command-line tool for operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/godwitcross/godwitcross/ctl/command"
)

func main() {
	if err := command.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ctl:", err)
		os.Exit(command.ExitFailed)
	}
}
