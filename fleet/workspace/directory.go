// Package workspace holds the workspaces of a configuration: their names, API keys, shares
// and limits. Keys are kept as digests only, so that no dump or log of a configuration can
// reveal one.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"

	"github.com/rotisserie/eris"
)

// ErrInvalid reports that the definition of a workspace is invalid. The error's text names the
// workspace and the field, never a key.
var ErrInvalid = eris.New("invalid workspace")

// Name identifies a workspace. It is empty for callers and jobs that belong to none.
type Name string

// Limit is what the runs of a workspace may use across all workers. A resource of 0 has no
// limit.
type Limit struct {
	// CPU is in thousandths of a core.
	CPU int64
	// MemMB is memory in mebibytes.
	MemMB int64
	// GPU is a number of accelerators.
	GPU int64
}

// Workspace is one workspace as configured.
type Workspace struct {
	Name Name
	// Priority is what operators publish. No decision uses it, as its meaning isn't specified.
	Priority int
	// Weight is the workspace's share when a pool is full, and the rate of jobs a second up to
	// which its jobs are within its share. 0 means that no share is stated.
	Weight float64
	// Limit bounds the resources that its runs use at the same time.
	Limit Limit
}

// Definition is a workspace with its keys, as operators publish it.
type Definition struct {
	Workspace
	// Keys are secrets. NewDirectory keeps their digests only.
	Keys []string
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Directory holds the workspaces of one configuration. It is immutable. A nil directory has
// no workspaces.
type Directory struct {
	// workspaces are in the order in which they are published.
	workspaces []Workspace
	byName     map[Name]int
	byDigest   map[digest]credential
}

// credential is a key's digest and the index of the workspace that it belongs to.
type credential struct {
	digest    digest
	workspace int
}

// NewDirectory returns the directory of the defined workspaces, or an error that wraps
// ErrInvalid.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byName: make(map[Name]int, len(definitions)), byDigest: make(map[digest]credential)}
	for i, def := range definitions {
		if err := def.validate(); err != nil {
			return nil, err
		}
		if _, ok := d.byName[def.Name]; ok {
			return nil, eris.Wrapf(ErrInvalid, "workspace %q is defined twice", def.Name)
		}
		d.byName[def.Name] = i
		d.workspaces = append(d.workspaces, def.Workspace)
		for _, k := range def.Keys {
			sum := digest(sha256.Sum256([]byte(k)))
			if c, ok := d.byDigest[sum]; ok && c.workspace != i {
				return nil, eris.Wrapf(ErrInvalid, "workspaces %q and %q have a key in common", d.workspaces[c.workspace].Name, def.Name)
			}
			d.byDigest[sum] = credential{digest: sum, workspace: i}
		}
	}
	return d, nil
}

func (d Definition) validate() error {
	if d.Name == "" {
		return eris.Wrap(ErrInvalid, "a workspace has no name")
	}
	if d.Weight < 0 {
		return eris.Wrapf(ErrInvalid, "workspace %q: weight %v is negative", d.Name, d.Weight)
	}
	if d.Limit.CPU < 0 || d.Limit.MemMB < 0 || d.Limit.GPU < 0 {
		return eris.Wrapf(ErrInvalid, "workspace %q: a limit is negative", d.Name)
	}
	for _, k := range d.Keys {
		if k == "" {
			return eris.Wrapf(ErrInvalid, "workspace %q has an empty key", d.Name)
		}
	}
	return nil
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.workspaces)
}

// All returns the workspaces in the order in which they are published. The slice must not be
// changed.
func (d *Directory) All() []Workspace {
	if d == nil {
		return nil
	}
	return d.workspaces
}

// Get returns the workspace with the name.
func (d *Directory) Get(name Name) (Workspace, bool) {
	if d == nil {
		return Workspace{}, false
	}
	i, ok := d.byName[name]
	if !ok {
		return Workspace{}, false
	}
	return d.workspaces[i], true
}

// Authenticate returns the workspace that a key belongs to, and false if no workspace has the key.
func (d *Directory) Authenticate(key []byte) (Name, bool) {
	if d == nil || len(key) == 0 {
		return "", false
	}
	sum := digest(sha256.Sum256(key))
	c, ok := d.byDigest[sum]
	if !ok || subtle.ConstantTimeCompare(sum[:], c.digest[:]) != 1 {
		return "", false
	}
	return d.workspaces[c.workspace].Name, true
}
