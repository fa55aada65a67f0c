package check

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/entry/usage"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/configuration"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
	"github.com/godwitcross/godwitcross/fleet/label"
	"github.com/godwitcross/godwitcross/fleet/operation"
	"github.com/godwitcross/godwitcross/standin/deployment"
	"github.com/godwitcross/godwitcross/standin/fault"
)

// verifyBills runs a job in a data centre of each owner while usage reports are late,
// repeated or missing, and recomputes both bills from their records.
func verifyBills(d *deployment.Deployment) error {
	d.Platform.Faults.Set(fault.Fault{Kind: fault.UsageRepeated, Count: 40})
	d.Platform.Faults.Set(fault.Fault{Kind: fault.UsageMissing, Count: 20})
	for _, c := range []struct {
		owner    inventory.OwnerID
		operator inventory.OperatorID
		team     inventory.TeamID
		pool     string
		dc       inventory.DataCentreID
	}{
		{"Corchos", "corchos-operator", "Pressing", "BatchPlans", "Montevideo-1"},
		{"Campanella", "campanella-operator", "Rendering", "Recordings", "Palermo"},
	} {
		host := client.New(operatorAddressIn(d, c.dc), c.operator)
		j := configuration.Job{
			ID: inventory.JobID("bill-" + string(c.owner)), Owner: c.owner, Team: c.team, Labels: label.Set{"Pool": c.pool},
			Template: "bill", Command: "run 1h", Declared: inventory.Size{Cores: 32_000, Memory: inventory.Gibibyte},
		}
		var v journal.Result
		if err := host.Post("/jobs", operation.Submission{ID: journal.RecordID(j.ID), Jobs: []configuration.Job{j}}, &v); err != nil {
			return err
		}
		if err := await(func() error { return verifyBill(host, c.owner) }); err != nil {
			return eris.Wrapf(err, "data centre %s", c.dc)
		}
		if err := host.Post("/jobs/cancel", operation.Cancellation{Jobs: []inventory.JobID{j.ID}}, &operation.CancelResponse{}); err != nil {
			return err
		}
	}
	return nil
}

// operatorAddressIn returns the operator address of the first entry host in the data
// centre, or "" if there is none.
func operatorAddressIn(d *deployment.Deployment, dc inventory.DataCentreID) string {
	for _, e := range d.Entries {
		if e.Settings.DataCentre == dc {
			return e.Settings.OperatorAddress
		}
	}
	return ""
}

// verifyBill recomputes the bill from its records alone. It fails unless the owner has
// usage and more than a second of host time and no report was refused.
func verifyBill(host *client.Client, owner inventory.OwnerID) error {
	var a usage.BillResponse
	if err := host.Get("/bill", &a); err != nil {
		return err
	}
	audit := bill.NewAudit()
	for last := a.Open.Chain.Offset; audit.Next() <= last; {
		var r usage.RecordsResponse
		if err := host.Get(fmt.Sprintf("/bill/records?From=%d", audit.Next()), &r); err != nil {
			return err
		}
		n := min(len(r.Records), int(last-audit.Next())+1)
		if err := audit.Add(audit.Next(), append([]json.RawMessage(nil), r.Records[:n]...)); err != nil {
			return err
		}
	}
	if err := audit.CheckStatement(a.Open); err != nil {
		return err
	}
	for _, l := range bill.ByOwner(a.Open.Lines) {
		if l.Owner == owner && l.Used > 0 && int64(l.HostTime) > time.Second.Milliseconds() && a.Refused == 0 {
			return nil
		}
	}
	return eris.Wrapf(ErrCheckFailed, "no usage of %s in %+v, %d reports refused", owner, a.Open.Lines, a.Refused)
}
