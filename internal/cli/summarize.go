package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"wigeontray/internal/explain"
)

type summarizeCmd struct {
	Files []string `arg:"" help:"Logs of entries, in the JSON format; those named *.gz are compressed, - is standard input."`
	JSON  bool     `help:"Print the summary as JSON, with all entries."`
	Rows  int      `default:"10" help:"Maximum number of entries in the text."`
}

// Run prints how the jobs in the logs ended.
func (c *summarizeCmd) Run(e *commandEnv) error {
	var s explain.Summarizer
	for _, name := range c.Files {
		if err := summarizeLog(&s, name); err != nil {
			return err
		}
	}
	if !c.JSON {
		return s.Summary().Write(e.stdout, c.Rows)
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(s.Summary()); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

func summarizeLog(s *explain.Summarizer, name string) error {
	if name == "-" {
		return s.Read(os.Stdin)
	}
	f, err := openLog(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := s.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
