package chunk

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/rules"
	"berylpass/config/service"
	"berylpass/config/snapshot"
)

// TestMain fixes rapid's seed, so that every run checks the same cases, and the number of
// checks. For a longer run: go test ./config/chunk -rapid.seed=0 -rapid.checks=20000.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// randomSnapshot returns a snapshot with random items of all kinds.
func randomSnapshot(t *rapid.T) snapshot.Snapshot {
	s := snapshot.New(rapid.Uint64().Draw(t, "revision"))
	name := rapid.StringMatching(`[a-z]{1,3}`)
	for range rapid.IntRange(0, 30).Draw(t, "changes") {
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			o := organisation.New(name.Draw(t, "organisation")).WithLimit(rapid.Float64Range(0.001, 1e6).Draw(t, "rate"), rapid.IntRange(1, 99).Draw(t, "burst"))
			for range rapid.IntRange(0, 3).Draw(t, "keys") {
				o = o.WithKey(key.New(name.Draw(t, "id"), key.DigestOf(rapid.String().Draw(t, "secret"))))
			}
			s = s.WithOrganisation(o)
		case 1:
			r := route.New(name.Draw(t, "route"), name.Draw(t, "service")).
				WithMatch(name.Draw(t, "host"), "/"+name.Draw(t, "prefix"), rapid.SliceOfN(rapid.SampledFrom([]string{"GET", "PUT"}), 0, 2).Draw(t, "methods")...).
				WithClass(class.Class(rapid.IntRange(0, 2).Draw(t, "class"))).
				WithOpen(rapid.Bool().Draw(t, "open")).
				WithRepeatable(rapid.Bool().Draw(t, "repeatable")).
				WithDeadline(time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "deadline"))).
				WithObjective(rapid.Float64Range(0, 1).Draw(t, "objective"))
			s = s.WithRoute(r)
		case 2:
			s = s.WithService(service.New(name.Draw(t, "service")).WithFloor(rapid.Float64Range(0, 1).Draw(t, "floor")).WithSlots(rapid.IntRange(1, 9).Draw(t, "slots")))
		case 3:
			s = s.WithDatacentre(datacentre.New(name.Draw(t, "datacentre"), name.Draw(t, "region")).WithInService(rapid.Bool().Draw(t, "in")))
		}
	}
	return s.Index()
}

// describe returns a text with all fields of a snapshot; fmt sorts the keys of maps.
func describe(s snapshot.Snapshot) string {
	return fmt.Sprintf("%d %v %v %v %v", s.Revision, s.Organisations, s.Routes, s.Services, s.Datacentres)
}

func TestJoinRestoresSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(t)
		chunks, err := Split(s)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(s.Revision, chunks)
		if err != nil {
			t.Fatal(err)
		}
		if got, want := describe(joined), describe(s); got != want {
			t.Fatalf("got %s\nwant %s", got, want)
		}
	})
}

// large returns a snapshot with the given numbers of organisations, each with two keys, and
// routes.
func large(organisations, routes int) snapshot.Snapshot {
	s := snapshot.New(7)
	for i := range organisations {
		name := fmt.Sprintf("organisation-of-parish-%05d", i)
		s.Organisations[name] = organisation.New(name).WithLimit(3.6, 20).
			WithKey(key.New("reader-2026", key.DigestOf(name+"a"))).WithKey(key.New("desk-2026", key.DigestOf(name+"b")))
	}
	s = s.WithService(service.New("catalogue-desk"))
	for i := range routes {
		name := fmt.Sprintf("route-%04d", i)
		s.Routes[name] = route.New(name, "catalogue-desk").WithMatch("api.example.org", "/catalogue/"+strconv.Itoa(i), "GET", "HEAD")
	}
	return s.Index()
}

// TestChangeAffectsOneChunk checks that a change of one organisation changes one chunk only.
func TestChangeAffectsOneChunk(t *testing.T) {
	s := large(2000, 100)
	before, err := Split(s)
	if err != nil {
		t.Fatal(err)
	}
	o := s.Organisations["organisation-of-parish-00042"]
	after, err := Split(s.WithOrganisation(o.WithLimit(9, 9)))
	if err != nil {
		t.Fatal(err)
	}
	known, changed := map[Digest]bool{}, 0
	for _, c := range before {
		known[c.Digest()] = true
	}
	for _, c := range after {
		if !known[c.Digest()] {
			changed++
		}
	}
	if changed != 1 || len(before) != len(after) {
		t.Errorf("%d chunks changed, want 1", changed)
	}
}

func TestJoinRejectsMalformedChunks(t *testing.T) {
	bucket := bucketOf(rules.Datacentre, "srem")
	valid := `{"datacentres":[{"name":"srem","region":"west","in-service":true}]}`
	route := func(text string) Chunk {
		return New(rules.Route, bucketOf(rules.Route, "r"), []byte(`{"routes":[{"name":"r","service":"s","prefix":"/",`+text+`}]}`))
	}
	for name, chunks := range map[string][]Chunk{
		"empty":           {New(rules.Datacentre, bucket, nil)},
		"unknown kind":    {New("weather", 0, []byte(valid))},
		"kind of another": {New(rules.Service, 0, []byte(valid))},
		"bucket":          {New(rules.Datacentre, 7, []byte(valid))},
		"other bucket":    {New(rules.Service, bucketOf(rules.Service, "a")^1, []byte(`{"services":[{"name":"a","ramp":"1s"}]}`))},
		"twice":           {New(rules.Datacentre, bucket, []byte(valid)), New(rules.Datacentre, bucket, []byte(valid))},
		"unknown field":   {New(rules.Datacentre, bucket, []byte(strings.Replace(valid, "region", "weather", 1)))},
		"rest":            {New(rules.Datacentre, bucket, []byte(valid+"{}"))},
		"class":           {route(`"class":"urgent","deadline":"1s"`)},
		"deadline":        {route(`"class":"background","deadline":"soon"`)},
	} {
		if _, err := Join(1, chunks); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v, want ErrMalformed", name, err)
		}
	}
	if _, err := Join(1, []Chunk{New(rules.Datacentre, bucket, make([]byte, MaxSize+1))}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("large: got %v, want ErrTooLarge", err)
	}
}

// TestSizesAtFourteenThousandOrganisations checks that with 14,000 organisations no chunk is
// larger than a quarter of MaxSize, which leaves room for four times as many.
func TestSizesAtFourteenThousandOrganisations(t *testing.T) {
	chunks, err := Split(large(14000, 2500))
	if err != nil {
		t.Fatal(err)
	}
	total, largest := 0, 0
	for _, c := range chunks {
		total += len(c.Value)
		largest = max(largest, len(c.Value))
	}
	t.Logf("%d chunks, %d bytes in all, largest %d", len(chunks), total, largest)
	if largest > MaxSize/4 {
		t.Errorf("largest chunk has %d bytes; want at most a quarter of MaxSize, %d bytes", largest, MaxSize)
	}
}

// FuzzJoin checks that a chunk that Join accepts survives another Split and Join.
func FuzzJoin(f *testing.F) {
	chunks, err := Split(large(3, 3))
	if err != nil {
		f.Fatal(err)
	}
	for _, c := range chunks {
		f.Add(c.Kind, c.Bucket, c.Value)
	}
	f.Fuzz(func(t *testing.T, kind string, bucket int, value []byte) {
		s, err := Join(1, []Chunk{New(kind, bucket, value)})
		if err != nil {
			return
		}
		rules.Check(s)
		again, err := Split(s)
		if err != nil {
			t.Fatal(err)
		}
		if rejoined, err := Join(1, again); err != nil || describe(rejoined) != describe(s) {
			t.Fatalf("%v: got %s, want %s", err, describe(rejoined), describe(s))
		}
	})
}

func benchmarkJoin(b *testing.B, organisations, routes int) {
	chunks, err := Split(large(organisations, routes))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Join(1, chunks); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkJoin(b *testing.B) {
	for _, size := range []struct{ organisations, routes int }{{1400, 250}, {7000, 1250}, {14000, 2500}} {
		b.Run(strconv.Itoa(size.organisations), func(b *testing.B) { benchmarkJoin(b, size.organisations, size.routes) })
	}
}
