package cli

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"strings"
)

// logFile is an open log. Its reader decompresses the file if necessary.
type logFile struct {
	io.Reader
	file *os.File
}

// openLog opens a log file; one whose name ends in .gz is decompressed. An error is an errUsage.
func openLog(name string) (*logFile, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if !strings.HasSuffix(name, ".gz") {
		return &logFile{f, f}, nil
	}
	r, err := gzip.NewReader(f)
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s: %w", errUsage, name, err)
	}
	return &logFile{r, f}, nil
}

// Close closes the file.
func (l *logFile) Close() error { return l.file.Close() }
