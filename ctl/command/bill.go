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

// billOptions are the flags of the command.
type billOptions struct {
	verify   bool
	save     string
	records  string
	expected string
}

func newBill(c *Connection) *cli.Command {
	o := &billOptions{}
	return &cli.Command{
		Name: "bill", Usage: "show what each owner used, and verify it",
		Description: "Each data centre has its own bill; ask an entry host of it. The log keeps records for a limited time, so save them " +
			"before it forgets them, and keep the chain's last link: it proves that nothing before it was changed.\n\n" +
			"Example: ctl bill\n         ctl bill --verify\n         ctl bill --save palermo.records\n" +
			"         ctl bill --verify --records palermo.records --expect 1207:4be1...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verify", Usage: "compute the shares again from the records alone and look for any change", Destination: &o.verify},
			&cli.StringFlag{Name: "save", Usage: "write the records into this file", Destination: &o.save},
			&cli.StringFlag{Name: "records", Usage: "verify the records of this file in place of the host's", Destination: &o.records},
			&cli.StringFlag{Name: "expect", Usage: "OFFSET:DIGEST of the chain that was kept earlier", Destination: &o.expected},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return o.run(cmd.Root().Writer, c)
		},
	}
}

// run shows, saves or verifies the bill of each data centre whose host is named.
func (o *billOptions) run(w io.Writer, c *Connection) error {
	if len(c.Entries) > 1 && (o.save != "" || o.records != "" || o.expected != "") {
		return badInput(eris.New("--save, --records and --expect are for one data centre; name one --entry"))
	}
	var all []Bill
	for _, host := range c.Clients() {
		var b Bill
		if err := host.Get("/bill", &b); err != nil {
			return exit(err)
		}
		all = append(all, b)
		if !o.verify && o.save == "" {
			continue
		}
		if err := o.check(w, host, b); err != nil {
			return err
		}
	}
	if o.verify || o.save != "" {
		return nil
	}
	return printBills(w, c.Output, all)
}

// printBills writes the bill of each data centre and the owners' shares of all.
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
	for _, of := range lines {
		sum = append(sum, of...)
	}
	return printAll(w, output, bill.ByOwner(sum), billHeader, billLine)
}

const billHeader = "OWNER\tPOOL\tHOST HOURS\tCORE HOURS\tUSED\tIDLE\tLATE"

func printBill(w io.Writer, output string, b Bill) error {
	fmt.Fprintf(w, "%s from %s to %s, chain %d:%s\n", b.DataCentre, b.Open.From.Time().Format(time.RFC3339), b.Open.To.Time().Format(time.RFC3339), b.Open.Chain.Offset, b.Open.Chain.Digest)
	if err := printAll(w, output, b.Open.Lines, billHeader, billLine); err != nil {
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
		hours(int64(l.HostTime), 1), coreHours(l.Capacity), coreHours(l.Used), coreHours(l.Idle), coreHours(l.Late))
}

func coreHours(n bill.CoreTime) string {
	return hours(int64(n), int64(inventory.MillicoresPerCore))
}

// hours writes milliseconds times a unit as hours with six decimals, rounded
// towards zero. The exact numbers are in the JSON output.
func hours(n, unit int64) string {
	const decimals = 1_000_000
	perHour := time.Hour.Milliseconds() * unit
	whole, rest := n/perHour, n%perHour
	return fmt.Sprintf("%d.%06d", whole, max(rest, -rest)*10/(perHour/(decimals/10)))
}

// check reads the records up to the bill's last one and verifies or saves them.
func (o *billOptions) check(w io.Writer, host *client.Client, b Bill) error {
	records, err := o.read(host, b.Open.Chain.Offset)
	if err != nil {
		return exit(err)
	}
	if o.save != "" {
		if err := saveRecords(o.save, records); err != nil {
			return exit(err)
		}
		fmt.Fprintf(w, "saved %d records\n", len(records))
	}
	if !o.verify {
		return nil
	}
	if err := verifyBill(records, b, o.expected); err != nil {
		return exit(err)
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

// read returns the records up to the offset, from the file or from the host.
func (o *billOptions) read(host *client.Client, last journal.Offset) ([]json.RawMessage, error) {
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

// saveRecords writes one record a line.
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
