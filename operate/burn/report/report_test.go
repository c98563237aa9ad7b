package report

import (
	"bytes"
	"flag"
	"io"
	"math"
	"os"
	"testing"
	"time"

	"berylpass/monitor/burn"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares what write writes with the golden file.
func checkGolden(t *testing.T, file string, write func(io.Writer) error) {
	t.Helper()
	var b bytes.Buffer
	if err := write(&b); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if b.String() != string(want) {
		t.Errorf("%s differs from the report (rewrite it with -update); got:\n%s", file, b.String())
	}
}

// morningReport returns the report of the recorded morning that the golden files of package burn share.
func morningReport(t *testing.T) Report {
	t.Helper()
	f, err := os.Open("../../../monitor/burn/testdata/morning.json")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, err := burn.Parse(f)
	if err != nil {
		t.Fatal(err)
	}
	return New(s)
}

func TestTextMatchesGoldenFiles(t *testing.T) {
	r := morningReport(t)
	checkGolden(t, "testdata/morning.txt", func(w io.Writer) error { return r.WriteText(w, 20) })
	checkGolden(t, "testdata/short.txt", func(w io.Writer) error { return r.WriteText(w, 1) })
	checkGolden(t, "testdata/empty.txt", func(w io.Writer) error { return New(burn.Snapshot{}).WriteText(w, 20) })
}

func TestJSONMatchesGoldenFile(t *testing.T) {
	checkGolden(t, "testdata/morning.report.json", morningReport(t).WriteJSON)
}

// TestAlarmNeedsBothWindows guards against an alarm from a single window: the long one alone would keep the alarm up
// after an incident, the short one alone would raise it for a brief spike.
func TestAlarmNeedsBothWindows(t *testing.T) {
	// With an objective of 99 %, 14.4 % bad requests (144 of 1000) are a burn rate of 14.4.
	at := func(bad float64) burn.Tally { return burn.Tally{Good: 1000 - bad, Bad: bad} }
	for _, c := range []struct {
		five, thirty, hour, six float64
		want                    string
	}{
		{0, 0, 0, 0, AlarmNone},
		{150, 0, 150, 0, AlarmFast},
		{150, 150, 150, 150, AlarmFast},
		{0, 0, 150, 0, AlarmNone},
		{150, 0, 0, 0, AlarmNone},
		{140, 0, 150, 0, AlarmNone},
		{0, 61, 0, 61, AlarmSlow},
		{0, 0, 0, 61, AlarmNone},
		{0, 61, 0, 59, AlarmNone},
	} {
		s := burn.Series{FiveMinutes: at(c.five), ThirtyMinutes: at(c.thirty), Hour: at(c.hour), SixHours: at(c.six)}
		if got := newRow(s, 0.99).Alarm; got != c.want {
			t.Errorf("%+v: got alarm %s", c, got)
		}
	}
}

func TestRefusalsOverRateDoNotUseBudget(t *testing.T) {
	row := newRow(burn.Series{InTime: 98, NotRun: 1, Unknown: 1, OverRate: 1000}, 0.99)
	if row.Requests != 100 || row.InTimeShare != 0.98 || math.Abs(row.BudgetUsed-2) > 1e-9 || row.RefusedOverRate != 1000 {
		t.Errorf("got row %+v, want 100 requests, 98 %% good, twice the budget used and 1000 refusals over the rate", row)
	}
}

func TestQuantileIsUpperBound(t *testing.T) {
	r := burn.New(time.Time{})
	now := time.Unix(1e9, 0)
	for i := range 100 {
		r.Record(now, burn.Sample{Route: "a", Outcome: burn.InTime, Latency: time.Duration(i+1) * time.Millisecond})
	}
	route := New(r.Snapshot(now)).Routes[0]
	// Each bucket's limit is 19 % above the one before, so a quantile may be that much too large.
	if p := route.P50; p < 50*time.Millisecond || p > 60*time.Millisecond {
		t.Errorf("p50 = %s, want 50ms to 60ms", p)
	}
	if p := route.P99; p < 99*time.Millisecond || p > 119*time.Millisecond {
		t.Errorf("p99 = %s, want 99ms to 119ms", p)
	}
}
