package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/godwitcross/godwitcross/bench/measure"
	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// hostList returns a list of n workers.
func hostList(n int) inventory.HostList {
	l := inventory.HostList{At: time.Unix(1_800_000_000, 123_456_789), Version: 100_000}
	for i := range n {
		h := hostConfiguration(i, targetSize)
		l.Hosts = append(l.Hosts, inventory.ListedHost{
			ID: hostID(i), Role: inventory.RoleWorker, State: inventory.HostLive,
			DataCentre: h.DataCentre, Rack: h.Rack, Address: fmt.Sprintf("10.%d.%d.%d:9000", i/65536, i/256%256, i%256),
		})
	}
	return l
}

// measureHostList measures the bytes per host of the whole list, and the size of an
// update without changes.
func measureHostList(measure.Options) ([]measure.Figure, error) {
	var points []point
	for _, s := range fleetSizes {
		l := hostList(s.hosts)
		b, err := json.Marshal(inventory.HostListUpdate{At: l.At, Version: l.Version, Whole: true, Hosts: l.Hosts})
		if err != nil {
			return nil, err
		}
		points = append(points, point{float64(s.hosts), float64(len(b))})
	}
	l := hostList(1)
	idle, err := json.Marshal(inventory.HostListUpdate{At: l.At, Version: l.Version})
	return []measure.Figure{
		{Name: "hostlist.bytes_per_host", Value: slope(points), Unit: measure.Bytes, Deterministic: true},
		{Name: "hostlist.bytes_without_change", Value: float64(len(idle)), Unit: measure.Bytes, Deterministic: true},
	}, err
}
