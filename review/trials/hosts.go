package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"mvd-a", "mvd-b", "mvd-c"}

// host is an entry host: the product's own program as a process.
type host struct {
	name, front, ready, settings, logPath string
	mu                                    sync.Mutex
	cmd                                   *exec.Cmd
	isEnded                               bool
	done                                  chan struct{}
}

// loopbackIP is a loopback address of this trial's own, so that no other process takes a port between its
// being found free and its use.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16&0x7f, os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

// freeAddresses returns n addresses that are free and differ.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// settingsText is the settings file of a small deployment, with addresses of the trial.
const settingsText = `Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "mvd"
PortRange = [7060,7075]
Seeds = [%s]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "call"
Advice = "127.0.0.1:1"
[Zones]
mvd-a = "mvd"
mvd-b = "mvd"
mvd-c = "mvd"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RecoveryS = 12
HoldMaxMs = 6000
StopMs = 200
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 1.5
CheckpointS = 1
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
FencingEnabled = true
LeaseMs = 3000
ThawSlackMs = 300
PaceMs = 100
HarmMs = 4000
[platform]
Address = %q
form = "log"
WritesPerS = 600
ReadsPerS = 2000
parts = 32
AppendMs = 2.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
[Cloud]
Address = %q
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
`

// newHosts writes the settings of n entry hosts and starts them.
func newHosts(p *plat, n int, dir string) ([]*host, error) {
	addresses, err := freeAddresses(3 * n)
	if err != nil {
		return nil, err
	}
	control := addresses[:n]
	var quoted []string
	for _, a := range control {
		quoted = append(quoted, fmt.Sprintf("%q", a))
	}
	var hosts []*host
	for i := range n {
		front, ready := addresses[n+i], addresses[2*n+i]
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%3], i/3+1), front: front, ready: ready}
		h.settings, h.logPath = filepath.Join(dir, h.name+".toml"), filepath.Join(dir, h.name+".log")
		text := fmt.Sprintf(settingsText, h.name, loopbackIP, zones[i%3], strings.Join(quoted[:min(3, n)], ","), front, ready, control[i], p.storeAddress, p.cloudAddress)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// start starts the program as the deploy file says, with the settings file of the host.
func (h *host) start() error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isEnded {
		return nil
	}
	h.cmd = exec.Command("target/godwitcross")
	h.cmd.Env = []string{"GODWITCROSS_NODE_FILE=" + h.settings, "GODWITCROSS_METRICS_PORT=0"}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		out.Close()
		close(done)
	}(h.cmd, h.done)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

func (h *host) wait() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

// endForGood kills the process, which isn't started again.
func (h *host) endForGood() {
	h.mu.Lock()
	h.isEnded = true
	h.mu.Unlock()
	h.kill()
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.wait()
}

// isReady reports whether the host is in rotation.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

var callers = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// ask sends a client's request. The status is 0 if there was no answer.
func (h *host) ask(method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	r.Host = "jobs.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Godwitcross-Timeout-Ms", "3000")
	resp, err := callers.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// state returns the state of a job, or the status if that isn't 200.
func (h *host) state(path string) string {
	status, body := h.ask(http.MethodGet, path, "")
	var a struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &a) != nil {
		return fmt.Sprint(status)
	}
	return a.State
}

// leader returns the index of the host whose claim is the newest.
func leader(p *plat, hosts []*host) int {
	var c struct{ Host struct{ Name string } }
	_ = json.Unmarshal(p.store.get("keyed.owner", "Claim"), &c)
	for i, h := range hosts {
		if h.name == c.Host.Name {
			return i
		}
	}
	return -1
}

// ended returns a channel that is closed when the process has ended.
func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.done
}
