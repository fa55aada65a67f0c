package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/entry/collector"
	"github.com/godwitcross/godwitcross/entry/eventlog"
	"github.com/godwitcross/godwitcross/platform"
	"github.com/godwitcross/godwitcross/standin/local"
)

// Names of the profiles in the directory of a measurement.
const (
	cpuProfile    = "cpu.pprof"
	allocsProfile = "allocs.pprof"
)

// Environment variables of a measured entry host: the paths of its settings and of the directory for its
// log and profiles.
const (
	settingsVariable  = "GODWITCROSS_LOAD_SETTINGS"
	directoryVariable = "GODWITCROSS_LOAD_DIRECTORY"
)

// ServeIfChild runs an entry host if Measure has started the program for that, and ends the program.
func ServeIfChild() {
	settings := os.Getenv(settingsVariable)
	if settings == "" {
		return
	}
	if err := runHost(context.Background(), settings, os.Getenv(directoryVariable), os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Commands that a measured entry host reads from its standard input.
const (
	commandBegin = "begin"
	commandEnd   = "end"
)

// Usage is what a process used between two points in time.
type Usage struct {
	Wall, Processor time.Duration
	// Mallocs and Bytes count what was allocated on the heap.
	Mallocs, Bytes uint64
	Collections    uint32
	// Switches counts the context switches, Heap is the size of the heap at the end in bytes.
	Switches int64
	Heap     uint64
	// Rounds counts the rounds of the scheduler.
	Rounds int64
}

// child is an entry host in a process of its own.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

// startChild starts an entry host in a process of its own.
func startChild(settings, dir string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, eris.Wrap(err, "finding the program")
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), settingsVariable+"="+settings, directoryVariable+"="+dir)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, eris.Wrap(err, "starting an entry host")
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrap(err, "starting an entry host")
	}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "starting an entry host")
	}
	return &child{cmd: cmd, in: in, out: bufio.NewScanner(out)}, nil
}

// begin begins the measurement.
func (c *child) begin() error {
	_, err := fmt.Fprintln(c.in, commandBegin)
	return eris.Wrap(err, "begin the measurement")
}

// end ends the measurement and returns its result.
func (c *child) end() (Usage, error) {
	var u Usage
	if _, err := fmt.Fprintln(c.in, commandEnd); err != nil {
		return u, eris.Wrap(err, "end the measurement")
	}
	if !c.out.Scan() {
		return u, eris.New("the entry host has ended")
	}
	return u, eris.Wrap(json.Unmarshal(c.out.Bytes(), &u), "decode the usage")
}

// stop kills the process, which would wait for callers otherwise.
func (c *child) stop() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// runHost runs an entry host, with the settings of the program godwitcross, that measures itself by the commands in r until r ends.
func runHost(ctx context.Context, settings, dir string, r io.Reader, w io.Writer) error {
	s, err := platform.LoadSettings(settings)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, s.Node+".log"))
	if err != nil {
		return eris.Wrap(err, "creating the log")
	}
	debug.SetGCPercent(collector.BasePercent)
	runtime.GOMAXPROCS(s.Processors())
	writer := eventlog.NewWriter(log)
	go writer.Run(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	port, err := metricsPort()
	if err != nil {
		return err
	}
	p := platform.NewProcess(platform.Options{SettingsPath: settings, MetricsPort: port, Log: eventlog.NewLogger(writer, logrus.InfoLevel, s.Node)}, s)
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	m := measurement{metrics: fmt.Sprintf("http://%s:%d/metrics", s.IP, port)}
	for commands := bufio.NewScanner(r); commands.Scan(); {
		if commands.Text() == commandBegin {
			err = m.begin(dir)
		} else {
			err = m.end(dir, w)
		}
		if err != nil {
			return err
		}
	}
	cancel()
	return <-ended
}

// measurement is a measurement of this process that has begun.
type measurement struct {
	// metrics is the address of the process's metrics.
	metrics string
	rounds  int64
	profile *os.File
	at      time.Time
	memory  runtime.MemStats
	rusage  syscall.Rusage
}

func (m *measurement) begin(dir string) error {
	f, err := os.Create(filepath.Join(dir, cpuProfile))
	if err != nil {
		return eris.Wrap(err, "creating the profile")
	}
	m.profile, m.at = f, time.Now()
	if m.rounds, err = m.readRounds(); err != nil {
		return err
	}
	runtime.ReadMemStats(&m.memory)
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &m.rusage); err != nil {
		return eris.Wrap(err, "reading the processor time")
	}
	return eris.Wrap(pprof.StartCPUProfile(f), "starting the profile")
}

// end writes the profiles, and the usage as a line of JSON to w.
func (m *measurement) end(dir string, w io.Writer) error {
	wall := time.Since(m.at)
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return eris.Wrap(err, "reading the processor time")
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	pprof.StopCPUProfile()
	_ = m.profile.Close()
	rounds, err := m.readRounds()
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, allocsProfile))
	if err != nil {
		return eris.Wrap(err, "creating the profile")
	}
	defer func() { _ = f.Close() }()
	if err := pprof.Lookup("allocs").WriteTo(f, 0); err != nil {
		return eris.Wrap(err, "writing the profile")
	}
	return json.NewEncoder(w).Encode(Usage{
		Wall: wall, Processor: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano() - m.rusage.Utime.Nano() - m.rusage.Stime.Nano()),
		Mallocs: memory.Mallocs - m.memory.Mallocs, Bytes: memory.TotalAlloc - m.memory.TotalAlloc, Collections: memory.NumGC - m.memory.NumGC,
		Switches: rusage.Nvcsw + rusage.Nivcsw - m.rusage.Nvcsw - m.rusage.Nivcsw, Heap: memory.HeapSys - memory.HeapReleased,
		Rounds: rounds - m.rounds,
	})
}

// metricsPort returns a free port.
func metricsPort() (int, error) {
	a, err := local.FreeAddress()
	if err != nil {
		return 0, err
	}
	_, port, err := net.SplitHostPort(a)
	if err != nil {
		return 0, eris.Wrap(err, "finding a port for metrics")
	}
	return strconv.Atoi(port)
}

// roundsMetric is the number of rounds of the scheduler.
const roundsMetric = "scheduler_round_time_count"

// readRounds returns the number of rounds so far, 0 for a process that has never led.
func (m *measurement) readRounds() (int64, error) {
	_, body, err := fasthttp.Get(nil, m.metrics)
	if err != nil {
		return 0, eris.Wrap(err, "reading the metrics")
	}
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(line, roundsMetric+" "); ok {
			return strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		}
	}
	return 0, nil
}
