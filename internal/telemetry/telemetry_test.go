package telemetry

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/errkind"
)

func exposition(c *qt.C, r *Registry) string {
	var b bytes.Buffer
	c.Assert(r.WriteText(&b), qt.IsNil)
	return b.String()
}

// A scraper finds each family under one HELP and one TYPE line, with a metric for every
// error kind and retry reason from the first scrape on.
func TestExposition(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.CountRefusal(errkind.Busy)
	r.CountFailure(errkind.WorkerLost)
	r.CountRetry(RetryDraining)
	r.Inc(JobsAccepted)
	r.Set(Peers, 88)
	r.Observe(JobLatency, 3*time.Millisecond)
	r.Observe(JobLatency, time.Minute)
	r.ReadCounter(BytesIn, func() int64 { return 77 })
	r.ReadGauge(Guards, func() int64 { return 11 })
	metrics.GetOrRegisterCounter("guard.refused.busy", r.GoMetrics()).Inc(4)
	metrics.GetOrRegisterHistogram("store.latency_us.put", r.GoMetrics(), metrics.NewUniformSample(8)).Update(700)
	metrics.GetOrRegisterGauge("config.revision", r.GoMetrics()).Update(3)
	out := exposition(c, r)
	c.Check(strings.Count(out, "\nwigeontray_config_revision "), qt.Equals, 1)
	for _, want := range []string{
		"# TYPE wigeontray_refusals_total counter\n",
		`wigeontray_refusals_total{kind="busy"} 1` + "\n",
		`wigeontray_refusals_total{kind="internal"} 0` + "\n",
		`wigeontray_task_failures_total{kind="worker_lost"} 1` + "\n",
		`wigeontray_retries_total{reason="draining"} 1` + "\n",
		"\nwigeontray_jobs_accepted_total 1\n",
		"\nwigeontray_guard_refused_busy 4\n",
		"\nwigeontray_store_latency_us_put{quantile=\"0.5\"} 700\n",
		"\nwigeontray_peers 88\n",
		"\nwigeontray_bytes_in_total 77\n",
		"\nwigeontray_guards 11\n",
		`wigeontray_job_seconds_bucket{le="0.002"} 0` + "\n",
		`wigeontray_job_seconds_bucket{le="0.005"} 1` + "\n",
		`wigeontray_job_seconds_bucket{le="+Inf"} 2` + "\n",
		"wigeontray_job_seconds_sum 60.003\n",
		"wigeontray_job_seconds_count 2\n",
		`wigeontray_build_info{version="` + Version + `"} 1` + "\n",
	} {
		c.Check(strings.Contains(out, want), qt.IsTrue, qt.Commentf("missing %q", want))
	}
	for _, f := range Families() {
		c.Check(strings.Count(out, "# TYPE "+f.Name+" "), qt.Equals, 1, qt.Commentf("%s", f.Name))
		c.Check(strings.Contains(out, "\n"+f.Name), qt.IsTrue, qt.Commentf("%s has no metric", f.Name))
		c.Check(f.Help, qt.Not(qt.Equals), "")
	}
}

func TestCountingDoesNotAllocate(t *testing.T) {
	c := qt.New(t)
	r := New()
	allocs := testing.AllocsPerRun(100, func() {
		r.CountRefusal(errkind.Busy)
		r.CountRetry(RetryBusy)
		r.Inc(TasksStarted)
		r.Observe(TaskRunLatency, time.Second)
	})
	c.Assert(allocs, qt.Equals, 0.0)
}

func TestUnknownKindCountsAsInternal(t *testing.T) {
	c := qt.New(t)
	r := New()
	r.CountRefusal(errkind.Kind(250))
	c.Assert(r.Refusals(errkind.Internal), qt.Equals, int64(1))
}

func TestProcessMetrics(t *testing.T) {
	c := qt.New(t)
	c.Assert(ResidentBytes() > 1<<20, qt.IsTrue)
	c.Assert(CPUTime() > 0, qt.IsTrue)
}

func TestLogger(t *testing.T) {
	c := qt.New(t)
	var b bytes.Buffer
	l, err := NewLogger(LogJSON, "info", &b)
	c.Assert(err, qt.IsNil)
	l.Debug("unseen")
	l.Info("guard linked", "guard", "g-1")
	var line map[string]any
	c.Assert(json.Unmarshal(b.Bytes(), &line), qt.IsNil)
	c.Assert(line["msg"], qt.Equals, "guard linked")
	_, err = NewLogger("xml", "info", &b)
	c.Assert(err, qt.ErrorMatches, `log format "xml": want text or json`)
	_, err = NewLogger(LogText, "loud", &b)
	c.Assert(err, qt.ErrorMatches, `log level "loud": .*`)
}
