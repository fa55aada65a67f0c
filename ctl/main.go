// Command ctl is the operators' command line.
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
