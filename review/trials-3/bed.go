// Command review3 plays the scripted cases of the third review: it starts entry hosts as separate processes on
// loopback addresses, with the stand-in platform of standin/estate, and checks what workers, callers and the store
// have seen.
package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/estate"
	"github.com/godwitcross/godwitcross/standin/local"
)

// program is the entry host's program, as the build of the deploy file places it.
const program = "target/godwitcross"

// settingsText has the settings of a small deployment, with the figures of its bounds.
const settingsText = `Node = %q
Role = "entry"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
Seeds = [%s]
Bootstrap = true
Discovery = "platform"
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
Orders = "call"
Advice = %q
[Zones]
z1 = "r1"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = %g
Cores = 1
MemoryMb = %g
MaxFds = 4100
LinkMbps = %g
[Bounds]
StableWindowMs = 3000
GraceS = 6
ConfigMs = 2000
HoldMaxMs = 6000
StopMs = 200
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
MoveS = 1.5
UpkeepS = 2
FencingEnabled = true
LeaseMs = 3000
[platform]
Address = %q
form = "log"
WritesPerS = 600
ReadsPerS = 2000
RecordBytes = 262144
CallBytes = 2097152
[Cloud]
Address = %q
RatePerS = 64.0
DutyPerS = 64.0
`

// bedConfig configures a testbed.
type bedConfig struct {
	// Record is the path of the record of what was sent, answered and run.
	Record string
	Estate estate.Config
	// Machines are those of the hosts.
	Machines []machine
}

// machine is a class of machines as the settings have it.
type machine struct {
	CPUShare, MemoryMB float64
	// LinkMbps is the bandwidth of the machine's link. If IsLinkSlow is set, the host reaches the store through a proxy
	// with that bandwidth; otherwise the link counts as no limit.
	LinkMbps   float64
	IsLinkSlow bool
}

// smallSite is the machine of the small deployments.
var smallSite = machine{CPUShare: 0.4, MemoryMB: 284, LinkMbps: 1000}

// bed is a deployment under test.
type bed struct {
	cfg    bedConfig
	dir    string
	estate *estate.Estate
	store  *fasthttp.Server
	hosts  []*host

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// host is an entry host's process.
type host struct {
	name, settings, log   string
	front, ready, control string
	proxy                 *proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Write adds a line to the record. It is the writer of the estate's events.
func (b *bed) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record.Write(p)
}

// note writes a line to the record and to standard output.
func (b *bed) note(format string, args ...any) {
	line := time.Now().Format("15:04:05.000") + " " + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	_, _ = b.Write([]byte(line))
}

// newBed starts the platform and the hosts, and waits until all are ready.
func newBed(cfg bedConfig) (*bed, error) {
	b := &bed{cfg: cfg}
	var err error
	if b.file, err = os.Create(cfg.Record); err != nil {
		return nil, err
	}
	b.record = bufio.NewWriterSize(b.file, 1<<20)
	if b.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return nil, err
	}
	cfg.Estate.Events = b
	if b.estate, err = estate.New(cfg.Estate); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.store = &fasthttp.Server{Handler: b.handleStore, MaxRequestBodySize: 8 << 20}
	go func() { _ = b.store.Serve(l) }()
	b.estate.PublishConfiguration()
	var seeds []string
	addresses := make([]string, 3*len(cfg.Machines))
	for i := range addresses {
		if addresses[i], err = local.FreeAddress(); err != nil {
			return nil, err
		}
		if i%3 == 2 && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", addresses[i]))
		}
	}
	for i, m := range cfg.Machines {
		a := addresses[3*i : 3*i+3]
		h := &host{name: fmt.Sprintf("front-%d", i+1), front: a[0], ready: a[1], control: a[2]}
		storeAddress := l.Addr().String()
		if m.IsLinkSlow {
			if h.proxy, err = newProxy(storeAddress, m.LinkMbps); err != nil {
				return nil, err
			}
			storeAddress = h.proxy.address()
		}
		h.settings, h.log = filepath.Join(b.dir, h.name+".toml"), filepath.Join(b.dir, h.name+".log")
		text := fmt.Sprintf(settingsText, h.name, strings.Join(seeds, ", "), b.estate.AdviceAddress(), h.front, h.ready, h.control,
			m.CPUShare, m.MemoryMB, m.LinkMbps, storeAddress, b.estate.CloudAddress())
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
		b.hosts = append(b.hosts, h)
	}
	return b, b.waitReady(20 * time.Second)
}

func (b *bed) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range b.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready after %s", h.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and keeps the record.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.signal(syscall.SIGCONT)
		h.kill()
		if h.proxy != nil {
			h.proxy.close()
		}
	}
	if b.estate != nil {
		b.estate.Stop()
	}
	if b.store != nil {
		_ = b.store.Shutdown()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
	_ = b.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// maxPageBytes bounds the keys and values of a page of the newest records. Like all limits of the store it counts the
// records, not their encoding in an answer.
const maxPageBytes = 1_000_000

// handleStore serves the store. A page of the newest records has 500 records or 1 MB at most.
func (b *bed) handleStore(rc *fasthttp.RequestCtx) {
	b.estate.Log.Handle(rc)
	if string(rc.Path()) != "/v1/log-newest" || rc.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	var page struct {
		Items []struct {
			Key    string
			Value  string
			Offset int64
		} `json:"items"`
		More bool
		End  int64
	}
	if json.Unmarshal(rc.Response.Body(), &page) != nil {
		return
	}
	size := 0
	for i, it := range page.Items {
		if size += len(it.Key) + base64.StdEncoding.DecodedLen(len(it.Value)); size > maxPageBytes && i > 0 {
			page.Items, page.More = page.Items[:i], true
			break
		}
	}
	if out, err := json.Marshal(page); err == nil {
		rc.SetBody(out)
	}
}

// leader returns the host that last wrote a claim to the store.
func (b *bed) leader() *host {
	v, _ := b.estate.Log.Get("keyed.owner", "Claim")
	var claim struct{ Host struct{ Name string } }
	_ = json.Unmarshal(v, &claim)
	for _, h := range b.hosts {
		if h.name == claim.Host.Name {
			return h
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"GODWITCROSS_NODE_FILE=" + h.settings, "GODWITCROSS_METRICS_PORT=0"}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.done = cmd, done
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (h *host) isReady() bool {
	status, _, err := fasthttp.Get(nil, "http://"+h.ready+"/v1/ready")
	return err == nil && status == fasthttp.StatusOK
}

// ask sends a caller's request and notes the answer.
func (b *bed) ask(h *host, method, path, body string) (int, string) {
	status, answer := local.SendRequest(h.front, method, path, body)
	b.note("%s %s to %s: %d %s", method, path, h.name, status, answer)
	return status, string(answer)
}

// proxy forwards connections to a target. Each direction has the bandwidth of a link, shared by all connections.
type proxy struct {
	listener net.Listener
	target   string
	up, down *link
}

// link is one direction of a machine's link to the network.
type link struct {
	mu          sync.Mutex
	bytesPerSec float64
	freeAt      time.Time
}

// maxLinkCredit is the unused time that counts for later bytes, so that timers that fire late cost no bandwidth.
const maxLinkCredit = 20 * time.Millisecond

// pass waits until n more bytes have gone through the link.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if idle := now.Add(-maxLinkCredit); l.freeAt.Before(idle) {
		l.freeAt = idle
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	until := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

func newProxy(target string, mbps float64) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rate := mbps * 1e6 / 8
	p := &proxy{listener: l, target: target, up: &link{bytesPerSec: rate}, down: &link{bytesPerSec: rate}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		go forward(t, c, p.up)
		go forward(c, t, p.down)
	}
}

// forward forwards bytes in packets through a link until a connection ends.
func forward(dst, src net.Conn, l *link) {
	defer func() { _ = dst.Close(); _ = src.Close() }()
	packet := make([]byte, 1460)
	for {
		n, err := src.Read(packet)
		if err != nil {
			return
		}
		l.pass(n)
		if _, err := io.Writer(dst).Write(packet[:n]); err != nil {
			return
		}
	}
}
