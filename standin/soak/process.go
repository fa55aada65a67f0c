package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/BurntSushi/toml"
	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/platform"
	"github.com/godwitcross/godwitcross/standin/local"
)

// process is an entry host in an operating system process, behind a proxy of its own.
type process struct {
	binary, settingsPath, logPath string
	callerAddress                 string
	proxy                         *proxy

	// restartMu is held during a restart.
	restartMu sync.Mutex

	mu sync.Mutex
	// cmd is nil before the first start; guarded by mu.
	cmd *exec.Cmd
	// done is closed when the process has ended; guarded by mu.
	done chan struct{}
}

// newProcess writes the settings of an entry host that reaches the store through the proxy.
func newProcess(binary, dir string, s platform.Settings, p *proxy) (*process, error) {
	s.Platform.Address = p.address()
	path := filepath.Join(dir, s.Node+".toml")
	f, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	defer func() { _ = f.Close() }()
	if err := toml.NewEncoder(f).Encode(s); err != nil {
		return nil, eris.Wrap(err, "writing settings")
	}
	return &process{binary: binary, settingsPath: path, logPath: filepath.Join(dir, s.Node+".log"), callerAddress: s.Listen.Front, proxy: p}, nil
}

// start starts the process. Its output is appended to the log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "opening the log")
	}
	cmd := exec.Command(p.binary)
	cmd.Env = []string{platform.SettingsVariable + "=" + p.settingsPath, "GODWITCROSS_METRICS_PORT=0"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "starting an entry host")
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// restart ends the process and starts it again. Overlapping faults may restart it at the same time; each ends what the
// one before has started.
func (p *process) restart() error {
	p.restartMu.Lock()
	defer p.restartMu.Unlock()
	p.kill()
	return p.start()
}

// signal sends a signal to the process if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ask sends a caller's request with a key, which may be empty, to the process.
func (p *process) ask(key, method, path, body string) (int, []byte) {
	return local.SendWithKey(p.callerAddress, key, method, path, body)
}
