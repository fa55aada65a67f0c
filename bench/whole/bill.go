package whole

import (
	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/entry/usage"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/standin/deployment"
)

// readBill returns the open bill of the operator's data centre and the total to be
// shared: the number of its hosts times the billed period.
func (r *Run) readBill() (*Bill, error) {
	var a usage.BillResponse
	if err := r.operator.Get("/bill", &a); err != nil {
		return nil, eris.Wrap(err, "reading the bill")
	}
	here := r.entries()[operatorHost].Settings.DataCentre
	hosts := int64(0)
	for _, h := range deployment.Sample().Hosts {
		if h.DataCentre == here {
			hosts++
		}
	}
	b := &Bill{Shares: make(map[inventory.OwnerID]int64), Total: hosts * int64(a.Open.To-a.Open.From)}
	for _, l := range bill.ByOwner(a.Open.Lines) {
		b.Shares[l.Owner] += int64(l.HostTime)
	}
	return b, nil
}
