package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = time.Second

// host is an entry host: a process of the project's program.
type host struct {
	w                          *world
	name, zone, ip             string
	front, ready, control, dir string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	isEnded  bool
	isReadyB bool
	misses   int
	// isCutFromStore is set while the store resets this host's calls.
	isCutFromStore bool
}

// storeGate is the store's address for one host.
func (h *host) storeGate(rw http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	isCut := h.isCutFromStore
	h.mu.Unlock()
	if isCut {
		panic(http.ErrAbortHandler)
	}
	h.w.store.ServeHTTP(rw, r)
}

func (h *host) cutFromStore(isCut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isCutFromStore = isCut
}

// addHosts starts entry hosts, one in each zone.
func (w *world) addHosts(zones ...string) {
	var seeds string
	for i, z := range zones {
		ip := fmt.Sprintf("%s%d", w.net, 10+i)
		w.hosts = append(w.hosts, &host{
			w: w, name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, ip: ip, dir: w.dir,
			front: ip + ":8624", ready: ip + ":8622", control: ip + ":8623",
		})
		if i < 3 {
			if seeds != "" {
				seeds += ","
			}
			seeds += `"` + ip + `:8623"`
		}
	}
	for _, h := range w.hosts {
		h.writeSettings(seeds)
		h.start()
		go h.checkReady()
	}
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.name+".toml") }

func (h *host) writeSettings(seeds string) {
	s := fmt.Sprintf(`Node = %q
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
Advice = %q
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
keep_s = 20
PartMb = 200
TtlMinMs = 1000
[Cloud]
Address = %q
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
`, h.name, h.ip, h.zone, seeds, h.w.adviceAddress, h.front, h.ready, h.control, h.w.serve(http.HandlerFunc(h.storeGate)), h.w.cloudAddress)
	if err := os.WriteFile(h.settingsPath(), []byte(s), 0o600); err != nil {
		cannotRun("%s", err)
	}
}

// start starts the process, with the command of the deploy file.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isEnded {
		return
	}
	f, err := os.OpenFile(logPath(h.dir, h.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%s", err)
	}
	cmd := exec.Command("target/godwitcross")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C", "GODWITCROSS_NODE_FILE=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = f, f
	// No process outlives the trial.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("%s", err)
	}
	_ = f.Close()
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		close(exited)
		h.mu.Lock()
		isEnded := h.isEnded
		h.mu.Unlock()
		if isEnded {
			return
		}
		h.w.rec.log("process of %s ended: %v", h.name, err)
		time.Sleep(restartDelay)
		h.start()
		h.w.rec.log("process of %s starts again", h.name)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// end ends the process for good.
func (h *host) end() {
	h.mu.Lock()
	h.isEnded = true
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// checkReady is the platform's readiness check: after two misses a host gets no new connections.
func (h *host) checkReady() {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := c.Get("http://" + h.ready + "/v1/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		h.mu.Lock()
		if ok {
			h.misses, h.isReadyB = 0, true
		} else if h.misses++; h.misses >= 2 {
			h.isReadyB = false
		}
		h.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (h *host) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isReadyB
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady() {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if h.isReady() {
				n++
			}
		}
		if n == len(w.hosts) {
			w.rec.log("all %d entry hosts are ready", n)
			return
		}
	}
	w.tearDown()
	cannotRun("the entry hosts aren't ready")
}

// leader returns the host that last wrote to the store under a condition.
func (w *world) leader() *host {
	var names []string
	for _, h := range w.hosts {
		names = append(names, h.name)
	}
	n := w.store.leaderName(names)
	for _, h := range w.hosts {
		if h.name == n {
			return h
		}
	}
	w.tearDown()
	cannotRun("no host leads")
	return nil
}
