package leader

import (
	"github.com/godwitcross/godwitcross/entry/metric"
	"github.com/godwitcross/godwitcross/fleet/scheduling"
)

// workspaceGauges shows the use and the limit of each workspace.
type workspaceGauges struct {
	// shown are the labels with gauges that aren't 0.
	shown map[metric.Label]bool
}

// workspaceFigures are the gauges of a label. That of several workspaces shows their sums.
type workspaceFigures map[string]int64

// show updates the gauges of all workspaces, and resets those of workspaces that are not among them any more.
func (g *workspaceGauges) show(r *metric.Registry, uses []scheduling.WorkspaceUse) {
	byLabel := make(map[metric.Label]workspaceFigures, len(uses))
	for label := range g.shown {
		byLabel[label] = make(workspaceFigures)
		byLabel[label].add(scheduling.WorkspaceUse{})
	}
	g.shown = make(map[metric.Label]bool, len(uses))
	for _, u := range uses {
		label := r.BoundLabel("Workspace", string(u.Workspace))
		if byLabel[label] == nil {
			byLabel[label] = make(workspaceFigures)
		}
		byLabel[label].add(u)
		g.shown[label] = true
	}
	for label, figures := range byLabel {
		for name, v := range figures {
			r.Gauge(name, v, label)
		}
	}
}

func (f workspaceFigures) add(u scheduling.WorkspaceUse) {
	f["workspace_use_cpu"] += u.Use.CPU
	f["workspace_use_mem_mb"] += u.Use.MemMB
	f["workspace_use_gpu"] += u.Use.GPU
	f["workspace_limit_cpu"] += u.Limit.CPU
	f["workspace_limit_mem_mb"] += u.Limit.MemMB
	f["workspace_limit_gpu"] += u.Limit.GPU
	f["workspace_tasks_held_back"] += int64(u.HeldBack)
	f["workspace_tasks_larger_than_limit"] += int64(u.Larger)
}
