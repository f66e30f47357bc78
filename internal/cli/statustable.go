package cli

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"wigeontray/internal/batchnode"
)

// printShares prints the shares in the status of an entry or guard as tables.
func printShares(ctx context.Context, e *commandEnv, h *http.Client, url string) error {
	var body bytes.Buffer
	if err := printBody(ctx, &commandEnv{ctx: e.ctx, stdout: &body, stderr: e.stderr}, h, url); err != nil {
		return err
	}
	return writeShares(e.stdout, body.Bytes())
}

// writeShares writes the shares in a status as tables.
func writeShares(w io.Writer, status []byte) error {
	var body struct {
		Shares json.RawMessage `json:"shares"`
	}
	if err := json.Unmarshal(status, &body); err != nil {
		return fmt.Errorf("decode status: %w", err)
	}
	if body.Shares == nil {
		return fmt.Errorf("%w: the process has no shares; entries and guards of the users' platform have", errFailed)
	}
	var ofEntry batchnode.EntrySharesStatus
	var ofGuard batchnode.GuardSharesStatus
	if err := cmp.Or(json.Unmarshal(body.Shares, &ofGuard), json.Unmarshal(body.Shares, &ofEntry)); err != nil {
		return fmt.Errorf("decode shares: %w", err)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if ofGuard.RoomBy != "" {
		writeGuardShares(table, &ofGuard)
	} else {
		writeEntryShares(table, &ofEntry)
	}
	return table.Flush()
}

func writeEntryShares(w io.Writer, s *batchnode.EntrySharesStatus) {
	fmt.Fprintf(w, "shares by demand: %v\n", s.ByDemand)
	fmt.Fprintln(w, "SERVICE\tASKED\tCALLERS\tREQUESTS\tALL ENTRIES\tAGE\tENTRIES\tPART\tBY\tREFUSED IN 60 S")
	for i := range s.Services {
		v := &s.Services[i]
		total, age := "-", "-"
		if v.Total != nil {
			total, age = coresText(v.Total.Cores), secondsText(v.TotalAgeSeconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%d\t%.3f\t%s\t%s\n", v.Service, coresText(v.Asked.Cores), v.Asked.Callers, v.Asked.Requests,
			total, age, v.Entries, v.Part, v.PartBy, refusalsText(v.Refused))
	}
	fmt.Fprintln(w, "\nSERVICE\tHEAVIEST CALLERS\tASKED")
	for i := range s.Services {
		for _, c := range s.Services[i].HeaviestCallers {
			fmt.Fprintf(w, "%s\t%s\t%s\n", s.Services[i].Service, cmp.Or(c.Caller, "(others)"), coresText(c.Cores))
		}
	}
}

func writeGuardShares(w io.Writer, s *batchnode.GuardSharesStatus) {
	fmt.Fprintf(w, "order of offers: %s; all entries: %s, %d callers, %d requests\n", s.RoomBy, coresText(s.Total.Cores), s.Total.Callers, s.Total.Requests)
	fmt.Fprintln(w, "ENTRY\tASKED\tCALLERS\tREQUESTS\tAGE\tWAITS FOR\tSINCE")
	for i := range s.Entries {
		v := &s.Entries[i]
		waits, since := "-", "-"
		if v.WaitingCores > 0 {
			waits, since = coresText(v.WaitingCores), secondsText(v.WaitingSeconds)
		}
		if v.Asked == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t%s\t%s\n", v.Entry, waits, since)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", v.Entry, coresText(v.Asked.Cores), v.Asked.Callers, v.Asked.Requests, secondsText(v.AskedAgeSeconds), waits, since)
	}
}

func coresText(cores float64) string { return fmt.Sprintf("%.2f cores", cores) }

func secondsText(seconds float64) string { return fmt.Sprintf("%.3f s", seconds) }

// refusalsText lists refused requests by kind.
func refusalsText(byKind map[string]int) string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		out = append(out, fmt.Sprintf("%s=%d", kind, byKind[kind]))
	}
	return cmp.Or(strings.Join(out, " "), "-")
}
