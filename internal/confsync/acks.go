package confsync

import (
	"context"
	"maps"
)

// Acked notes that the process called who (a guard or a peer entry) has
// revision in force.
func (s *Sync) Acked(who string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.acks[who]; known && old >= revision {
		return
	}
	s.acks[who] = revision
	s.wakeAcks()
}

// Forget takes a process that is gone out of the account.
func (s *Sync) Forget(who string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.acks, who)
	s.wakeAcks()
}

func (s *Sync) wakeAcks() {
	close(s.acked)
	s.acked = make(chan struct{})
}

// Acks gives the revision in force at each process, by name.
func (s *Sync) Acks() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.acks)
}

// MinAcked gives the lowest revision among this entry and the processes that
// have acknowledged one, and how many those are.
func (s *Sync) MinAcked() (revision int64, processes int) {
	revision, processes, _ = s.minAcked()
	return revision, processes
}

func (s *Sync) minAcked() (int64, int, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := s.Revision()
	for _, r := range s.acks {
		least = min(least, r)
	}
	return least, len(s.acks), s.acked
}

// WaitAcks waits until revision is in force here and at all processes that
// have acknowledged one, or ctx ends.
func (s *Sync) WaitAcks(ctx context.Context, revision int64) error {
	changed, stop := s.Subscribe()
	defer stop()
	for {
		least, _, acked := s.minAcked()
		if least >= revision {
			return nil
		}
		select {
		case <-acked:
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
