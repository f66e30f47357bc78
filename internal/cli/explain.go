package cli

import (
	"fmt"
	"os"

	"wigeontray/internal/explain"
)

type explainCmd struct {
	ID    string   `arg:"" help:"Identity of the job, or of one request for it."`
	Files []string `arg:"" type:"existingfile" help:"Logs of entries and guards, in the JSON format."`
}

// Run prints what the logs tell of a job, in order, and what is missing.
func (c *explainCmd) Run(e *env) error {
	lines, err := c.readAll(e, c.ID)
	if err != nil {
		return err
	}
	if job := explain.JobOf(lines, c.ID); job != c.ID {
		if lines, err = c.readAll(e, job); err != nil {
			return err
		}
	}
	return explain.Write(e.stdout, lines)
}

func (c *explainCmd) readAll(e *env, id string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range c.Files {
		var err error
		if lines, err = readLog(e, lines, name, id); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

func readLog(e *env, lines []explain.Line, name, id string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	defer f.Close()
	lines, bad, err := explain.Read(lines, f, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if bad > 0 {
		fmt.Fprintf(e.stderr, "%s: %d lines about the job could not be read\n", name, bad)
	}
	return lines, nil
}
