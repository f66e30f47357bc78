package cli

import (
	"fmt"

	"wigeontray/internal/explain"
)

type explainCmd struct {
	ID    string   `arg:"" help:"ID of the job, or of one of its requests."`
	Files []string `arg:"" type:"existingfile" help:"Logs of entries and guards, in the JSON format; those named *.gz are compressed."`
}

// Run prints the log events of a job in order and lists the events that are missing.
func (c *explainCmd) Run(e *commandEnv) error {
	lines, err := c.readLogs(e, c.ID)
	if err != nil {
		return err
	}
	if jobID := explain.FindJob(lines, c.ID); jobID != c.ID {
		if lines, err = c.readLogs(e, jobID); err != nil {
			return err
		}
	}
	return explain.Write(e.stdout, lines)
}

// readLogs collects the lines about id from all files.
func (c *explainCmd) readLogs(e *commandEnv, id string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range c.Files {
		var err error
		if lines, err = appendLog(e, lines, name, id); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// appendLog appends the lines of one file that concern id or a drain of a failure domain, and reports
// on stderr how many of them could not be parsed.
func appendLog(e *commandEnv, lines []explain.Line, name, id string) ([]explain.Line, error) {
	f, err := openLog(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines, malformed, err := explain.Read(lines, f, id)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if malformed > 0 {
		fmt.Fprintf(e.stderr, "%s: %d lines about the job could not be parsed\n", name, malformed)
	}
	return lines, nil
}
