package proctest

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PeakMemory returns the largest resident memory that the process has had, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	name := fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)
	status, err := os.ReadFile(name)
	if err != nil {
		return 0, fmt.Errorf("peak memory: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return 0, fmt.Errorf("peak memory: %w", err)
			}
			return kilobytes << 10, nil
		}
	}
	return 0, fmt.Errorf("peak memory: %s has no VmHWM", name)
}

// Sockets returns the number of open sockets of the process.
func (p *Process) Sockets() int {
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid)) // fails only for a malformed pattern
	n := 0
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// listenState is the state of a listening socket in /proc/net/tcp. Its queues count connections.
const listenState = "0A"

// BufferedBytes returns the number of bytes that the kernel holds for the connections to a listening
// address (IPv4:port): received and not yet read, or written and not yet received by the client.
func BufferedBytes(address string) (int64, error) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("buffered bytes: %w", err)
	}
	defer table.Close()
	local, err := kernelAddress(address)
	if err != nil {
		return 0, err
	}
	var sum int64
	rows := bufio.NewScanner(table)
	for rows.Scan() {
		columns := strings.Fields(rows.Text()) // slot, local address, remote address, state, unsent:unread, ...
		if len(columns) < 5 || columns[1] != local || columns[3] == listenState {
			continue
		}
		unsent, unread, _ := strings.Cut(columns[4], ":")
		for _, queue := range []string{unsent, unread} {
			n, err := strconv.ParseInt(queue, 16, 64)
			if err != nil {
				return 0, fmt.Errorf("buffered bytes: %w", err)
			}
			sum += n
		}
	}
	return sum, rows.Err()
}

// kernelAddress returns the form of an IPv4 address and port in /proc/net/tcp.
func kernelAddress(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("kernel address: %w", err)
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return "", fmt.Errorf("kernel address: %w", err)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return "", fmt.Errorf("kernel address: %w", err)
	}
	octets := ip.As4()
	var native [4]byte
	binary.NativeEndian.PutUint32(native[:], binary.BigEndian.Uint32(octets[:]))
	return strings.ToUpper(hex.EncodeToString(native[:])) + fmt.Sprintf(":%04X", number), nil
}
