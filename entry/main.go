// Command entry runs an entry host.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/entry/host"
	"github.com/godwitcross/godwitcross/entry/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var s settings.Settings
	app := &cli.Command{
		Name:  "entry",
		Usage: "run an entry host, which serves callers, places jobs and maintains pools",
		Description: "Every entry host runs the same program. It forwards callers' requests to backend servers and appends " +
			"operators' publications to the platform's log, from which all entry hosts build the same state.\n\n" +
			"Example for development, without certificates:\n" +
			"  entry --name e1 --data-centre Palermo --platform-address 127.0.0.1:8090 --names-in-headers allow-for-development \\\n" +
			"    --caller-transport plain-text --operator-transport plain-text --peer-transport plain-text\n\n" +
			"Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings.",
		Flags: s.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := s.Check(); err != nil {
				return cli.Exit(err.Error(), exitSettings)
			}
			return run(ctx, s)
		},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, s settings.Settings) error {
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log.SetLevel(level)
	var d net.Dialer
	h := host.New(host.Config{Settings: s, Log: log, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}})
	return h.Run(ctx)
}
