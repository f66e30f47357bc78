package cli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"wigeontray/internal/record"
	"wigeontray/internal/settings"
)

// checkFile checks one file by its ending.
func checkFile(path string) error {
	switch filepath.Ext(path) {
	case ".ini":
		return checkSettings(path)
	case ".json":
		return checkRecord(path)
	}
	return fmt.Errorf("%s: neither .ini nor .json", path)
}

// checkSettings takes a file with an [upstream] section for a guard's, and any
// other for an entry's.
func checkSettings(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if bytes.Contains(b, []byte("[upstream]")) {
		_, err = settings.LoadGuard(path)
	} else {
		_, err = settings.LoadEntry(path)
	}
	return err
}

func checkRecord(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := record.Parse(b); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
