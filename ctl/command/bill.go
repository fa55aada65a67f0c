package command

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/godwitcross/godwitcross/ctl/client"
	"github.com/godwitcross/godwitcross/fleet/bill"
	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// Bill is the answer to GET /bill.
type Bill struct {
	DataCentre inventory.DataCentreID
	Open       bill.Statement
	Closed     []bill.Statement
	Refusals   []bill.Refusal
	Refused    int64
}

// BillRecords is the answer to GET /bill/records.
type BillRecords struct {
	First   journal.Offset
	End     journal.Offset
	Records []json.RawMessage
}

// billOptions are the flags of the bill command.
type billOptions struct {
	verify   bool
	save     string
	records  string
	expected string
}

func newBill(c *Connection) *cli.Command {
	o := &billOptions{}
	return &cli.Command{
		Name: "bill", Usage: "show and verify the usage of each owner",
		Description: "Each data centre has its own bill; name one of its entry hosts with --entry. The log retains records for a limited time, so save them " +
			"before they expire, and keep the chain's last link, which proves that no earlier record was changed.\n\n" +
			"Example: ctl bill\n         ctl bill --verify\n         ctl bill --save palermo.records\n" +
			"         ctl bill --verify --records palermo.records --expect 1207:4be1...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verify", Usage: "recompute the shares from the records alone and report any difference", Destination: &o.verify},
			&cli.StringFlag{Name: "save", Usage: "write the records to this file", Destination: &o.save},
			&cli.StringFlag{Name: "records", Usage: "verify the records in this file instead of those of the host", Destination: &o.records},
			&cli.StringFlag{Name: "expect", Usage: "OFFSET:DIGEST of a chain link that was kept earlier", Destination: &o.expected},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return o.run(cmd.Root().Writer, c)
		},
	}
}

// run shows, saves or verifies the bill of the data centre of each entry host.
func (o *billOptions) run(w io.Writer, c *Connection) error {
	if len(c.Entries) > 1 && (o.save != "" || o.records != "" || o.expected != "") {
		return withInputExitCode(eris.New("--save, --records and --expect are for one data centre; name one --entry"))
	}
	var all []Bill
	for _, host := range c.Clients() {
		var b Bill
		if err := host.Get("/bill", &b); err != nil {
			return withExitCode(err)
		}
		all = append(all, b)
		if !o.verify && o.save == "" {
			continue
		}
		if err := o.saveAndVerify(w, host, b); err != nil {
			return err
		}
	}
	if o.verify || o.save != "" {
		return nil
	}
	return printBills(w, c.Output, all)
}

// printBills writes the bill of each data centre and the totals of each owner.
func printBills(w io.Writer, output string, all []Bill) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(all)
	}
	lines := make(map[inventory.DataCentreID][]bill.Line)
	for _, b := range all {
		if _, ok := lines[b.DataCentre]; ok {
			continue
		}
		lines[b.DataCentre] = b.Open.Lines
		if err := printBill(w, output, b); err != nil {
			return err
		}
	}
	var sum []bill.Line
	for _, dataCentreLines := range lines {
		sum = append(sum, dataCentreLines...)
	}
	return printItems(w, output, bill.ByOwner(sum), billHeader, billLine)
}

const billHeader = "OWNER\tPOOL\tHOST HOURS\tCORE HOURS\tUSED\tIDLE\tLATE"

func printBill(w io.Writer, output string, b Bill) error {
	fmt.Fprintf(w, "%s from %s to %s, chain %d:%s\n", b.DataCentre, b.Open.From.Time().Format(time.RFC3339), b.Open.To.Time().Format(time.RFC3339), b.Open.Chain.Offset, b.Open.Chain.Digest)
	if err := printItems(w, output, b.Open.Lines, billHeader, billLine); err != nil {
		return err
	}
	if b.Refused > 0 {
		fmt.Fprintf(w, "%d reports were not counted; see --output json\n", b.Refused)
	}
	fmt.Fprintln(w)
	return nil
}

func billLine(l bill.Line) string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", l.Owner, l.Pool,
		formatHours(int64(l.HostTime), 1), formatCoreHours(l.Capacity), formatCoreHours(l.Used), formatCoreHours(l.Idle), formatCoreHours(l.Late))
}

func formatCoreHours(n bill.CoreTime) string {
	return formatHours(int64(n), int64(inventory.MillicoresPerCore))
}

// formatHours formats n as hours with six decimals, rounded towards zero, where n is a
// time in milliseconds multiplied by unit. The JSON output has the exact numbers.
func formatHours(n, unit int64) string {
	const decimals = 1_000_000
	perHour := time.Hour.Milliseconds() * unit
	whole, rest := n/perHour, n%perHour
	return fmt.Sprintf("%d.%06d", whole, max(rest, -rest)*10/(perHour/(decimals/10)))
}

// saveAndVerify reads the records up to the bill's last one, then saves and verifies
// them as the flags say.
func (o *billOptions) saveAndVerify(w io.Writer, host *client.Client, b Bill) error {
	records, err := o.readRecords(host, b.Open.Chain.Offset)
	if err != nil {
		return withExitCode(err)
	}
	if o.save != "" {
		if err := saveRecords(o.save, records); err != nil {
			return withExitCode(err)
		}
		fmt.Fprintf(w, "saved %d records\n", len(records))
	}
	if !o.verify {
		return nil
	}
	if err := verifyBill(records, b, o.expected); err != nil {
		return withExitCode(err)
	}
	fmt.Fprintf(w, "%s verified: %d records give the same bill to the last unit; keep the chain %d:%s\n", b.DataCentre, len(records), b.Open.Chain.Offset, b.Open.Chain.Digest)
	return nil
}

func verifyBill(records []json.RawMessage, b Bill, expected string) error {
	audit := bill.NewAudit()
	if err := audit.Add(0, records); err != nil {
		return err
	}
	if expected != "" {
		l, err := parseLink(expected)
		if err != nil {
			return err
		}
		if err := audit.CheckLink(l); err != nil {
			return err
		}
	}
	for _, s := range append(b.Closed, b.Open) {
		if err := audit.CheckStatement(s); err != nil {
			return err
		}
	}
	return nil
}

func parseLink(text string) (bill.Link, error) {
	offset, digest, ok := strings.Cut(text, ":")
	n, err := strconv.ParseInt(offset, 10, 64)
	if !ok || err != nil {
		return bill.Link{}, eris.Errorf("%q is not OFFSET:DIGEST", text)
	}
	l := bill.Link{Offset: journal.Offset(n)}
	return l, l.Digest.UnmarshalText([]byte(digest))
}

// readRecords returns the records up to and including the offset, from the file or from
// the host.
func (o *billOptions) readRecords(host *client.Client, last journal.Offset) ([]json.RawMessage, error) {
	if o.records != "" {
		return loadRecords(o.records, last)
	}
	var all []json.RawMessage
	for journal.Offset(len(all)) <= last {
		var r BillRecords
		if err := host.Get("/bill/records?From="+strconv.Itoa(len(all)), &r); err != nil {
			return nil, err
		}
		if len(r.Records) == 0 {
			return nil, eris.Errorf("the host has no record at offset %d", len(all))
		}
		all = append(all, r.Records...)
	}
	return all[:last+1], nil
}

// saveRecords writes the records to a file, one per line.
func saveRecords(path string, records []json.RawMessage) error {
	var text strings.Builder
	for _, r := range records {
		text.Write(r)
		text.WriteByte('\n')
	}
	return eris.Wrap(os.WriteFile(path, []byte(text.String()), 0o600), "saving the records")
}

func loadRecords(path string, last journal.Offset) ([]json.RawMessage, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the records")
	}
	defer f.Close()
	var all []json.RawMessage
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, journal.MaxRecordBytes)
	for lines.Scan() && journal.Offset(len(all)) <= last {
		all = append(all, json.RawMessage(strings.Clone(lines.Text())))
	}
	return all, eris.Wrap(lines.Err(), "reading the records")
}
