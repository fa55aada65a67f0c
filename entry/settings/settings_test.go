package settings

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// parse parses and checks the settings from arguments, as the program does.
func parse(t *testing.T, args ...string) (Settings, error) {
	t.Helper()
	var s Settings
	app := &cli.Command{Flags: s.Flags(), Action: func(context.Context, *cli.Command) error { return s.Check() }}
	err := app.Run(context.Background(), append([]string{"entry", "--name", "e1", "--data-centre", "Palermo"}, args...))
	return s, err
}

func TestCheckReportsFlagAndValue(t *testing.T) {
	tests := map[string]struct {
		args []string
		text string
	}{
		"no name":                      {[]string{"--name", ""}, "--name is missing"},
		"no data centre":               {[]string{"--data-centre", ""}, "--data-centre is missing"},
		"host name in an address":      {[]string{"--caller-address", "localhost:80"}, `--caller-address "localhost:80"`},
		"port out of range":            {[]string{"--platform-address", "127.0.0.1:99999"}, `--platform-address "127.0.0.1:99999"`},
		"peer without a port":          {[]string{"--peer", "127.0.0.1"}, `--peer "127.0.0.1"`},
		"negative notice time":         {[]string{"--notice-time", "-1s"}, "--notice-time -1s"},
		"stop shorter than notice":     {[]string{"--notice-time", "10s", "--stop-time", "5s"}, "--stop-time 5s"},
		"unknown level":                {[]string{"--log-level", "loud"}, `--log-level "loud"`},
		"duration that is no duration": {[]string{"--stop-time", "soon"}, "soon"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, test.args...)
			require.ErrorContains(t, err, test.text)
		})
	}
}

func TestEnvironmentSetsOmittedFlags(t *testing.T) {
	t.Setenv("GODWITCROSS_STOP_TIME", "45s")
	t.Setenv("GODWITCROSS_PEERS", "127.0.0.1:1,127.0.0.1:2")
	t.Setenv("GODWITCROSS_NOTICE_TIME", "7s")
	s, err := parse(t, append(plainTextArgs, "--notice-time", "3s")...)
	require.NoError(t, err)
	require.Equal(t, 45*time.Second, s.StopTime)
	require.Equal(t, 3*time.Second, s.NoticeTime, "a flag overrides the environment")
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, s.Peers)
}
