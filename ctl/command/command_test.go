package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/fleet/pool"
)

// responses maps "METHOD /path" to the response of a test host. Status 0 closes the
// connection without a response.
type responses map[string]struct {
	status int
	body   any
}

// newTestHost starts a host that serves the responses and returns its address.
func newTestHost(t *testing.T, a responses) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		r := a[string(ctx.Method())+" "+string(ctx.Path())]
		if r.status == 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
			return
		}
		b, _ := json.Marshal(r.body)
		ctx.SetStatusCode(r.status)
		ctx.SetBody(b)
	}}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// run runs ctl with the arguments and returns its output and exit code.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	code := 0
	exiter, errs := cli.OsExiter, cli.ErrWriter
	cli.OsExiter, cli.ErrWriter = func(c int) { code = c }, &bytes.Buffer{}
	defer func() { cli.OsExiter, cli.ErrWriter = exiter, errs }()
	var out bytes.Buffer
	app := New()
	app.Writer = &out
	if err := app.Run(context.Background(), append([]string{"ctl", "--transport", "plain-text"}, args...)); err != nil && code == 0 {
		code = ExitFailed
	}
	return out.String(), code
}

func writeChangeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "change.json")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func newTestConfiguration(t *testing.T) configuration.Configuration {
	t.Helper()
	s, err := label.Parse("Pool=A")
	require.NoError(t, err)
	h := func(p string) configuration.Host {
		return configuration.Host{Owner: "Corchos", DataCentre: "Montevideo", Rack: "r1", Labels: label.Set{"Pool": p}}
	}
	cfg, err := configuration.Configuration{}.Apply(configuration.Change{Set: configuration.Objects{
		Owners:      map[inventory.OwnerID]configuration.Owner{"Corchos": {SparePool: "Administration"}},
		DataCentres: map[inventory.DataCentreID]configuration.DataCentre{"Montevideo": {Region: "Montevideo"}},
		Hosts:       map[inventory.HostID]configuration.Host{"h1": h("A"), "h2": h("A")},
		Pools:       map[inventory.PoolID]configuration.Pool{"Administration": {Owner: "Corchos"}, "A": {Owner: "Corchos", Hosts: s}},
	}}, 12)
	require.NoError(t, err)
	return cfg
}

const moveHostJSON = `{"Hosts":{"h2":{"Owner":"Corchos","DataCentre":"Montevideo","Rack":"r1","Size":{"Cores":0,"Memory":0,"Accelerators":0},"Labels":{"Pool":"None"}}}}`

func TestPlanPrintsMovesAndBaseVersion(t *testing.T) {
	before := newTestConfiguration(t)
	change, err := configuration.ParseObjects([]byte(moveHostJSON))
	require.NoError(t, err)
	after, err := before.Apply(configuration.Change{Base: 12, Set: change}, 13)
	require.NoError(t, err)
	plan := operation.Plan{
		Base:       12,
		Difference: configuration.Compare(before.Objects, after.Objects, change.Keys()),
		Waves:      []pool.WaveStatus{{ID: "Monthly", State: pool.WaveNoFit, Left: 2, Reason: "ends after its window"}},
	}
	address := newTestHost(t, responses{"GET /status": {200, operation.Status{Version: 12}}, "POST /plan": {200, plan}})
	out, code := run(t, "--entry", address, "plan", writeChangeFile(t, moveHostJSON))
	require.Equal(t, 0, code)
	want, err := os.ReadFile("testdata/plan.golden")
	require.NoError(t, err)
	require.Equal(t, string(want), out)
}

func TestPlanOfRefusedChangeExitsWithInputCode(t *testing.T) {
	refused := struct{ Error string }{"Pool/B: selector matches no host"}
	address := newTestHost(t, responses{"POST /plan": {409, refused}})
	_, code := run(t, "--entry", address, "plan", "--base", "12", writeChangeFile(t, moveHostJSON))
	require.Equal(t, ExitInput, code)
}

func TestPublishExitCodes(t *testing.T) {
	refused := struct{ Error string }{"stale base version"}
	result := struct {
		Offset  int
		Outcome string
	}{12, "Accepted"}
	tests := map[string]struct {
		answers responses
		args    []string
		code    int
	}{
		"in force":               {responses{"POST /changes": {200, result}, "GET /status": {200, operation.Status{Name: "e1", Version: 13}}}, []string{"--base", "12"}, 0},
		"refused":                {responses{"POST /changes": {409, refused}}, []string{"--base", "3"}, ExitRefused},
		"no answer":              {responses{}, []string{"--base", "12"}, ExitUncertain},
		"not read back":          {responses{"POST /changes": {504, refused}}, []string{"--base", "12"}, ExitUncertain},
		"without a base":         {responses{}, nil, ExitInput},
		"bad key to delete":      {responses{}, []string{"--base", "12", "--delete", "Pool"}, ExitInput},
		"unknown kind to delete": {responses{}, []string{"--base", "12", "--delete", "Nothing/A"}, ExitInput},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"--entry", newTestHost(t, test.answers), "publish"}, test.args...)
			_, code := run(t, append(args, writeChangeFile(t, moveHostJSON))...)
			require.Equal(t, test.code, code)
		})
	}
}

func TestInvalidFilesAreNotSent(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"Hosts":{"h1":{"Colour":"red"}}}`,
		"truncated":     `{"Hosts":{`,
		"empty":         ``,
	} {
		t.Run(name, func(t *testing.T) {
			_, code := run(t, "--entry", "127.0.0.1:1", "publish", "--base", "1", writeChangeFile(t, text))
			require.Equal(t, ExitInput, code)
		})
	}
}

func TestStatusSkipsUnreachableHost(t *testing.T) {
	up := newTestHost(t, responses{"GET /status": {200, operation.Status{Name: "e1", Version: 3}}})
	out, code := run(t, "--entry", "127.0.0.1:1", "--entry", up, "status")
	require.Equal(t, 0, code)
	require.Contains(t, out, "no entry host answers")
	require.Contains(t, out, "e1")
}
