package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readCommittedPoints reads the measurements that the repository holds.
func readCommittedPoints(t *testing.T) []Point {
	t.Helper()
	f, err := os.Open("../../docs/capacity/slopes.csv")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	points, err := ReadCSV(f)
	require.NoError(t, err)
	return points
}

// TestPageMatchesCommittedMeasurements fails when the tables of docs/CAPACITY.md
// were edited by hand, or when the CSV file or the target changed without them.
func TestPageMatchesCommittedMeasurements(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	rendered, err := Render(string(page), readCommittedPoints(t))
	require.NoError(t, err)
	require.Equal(t, rendered, string(page), "run: verbenastep capacity -tables")
}

func TestMissingSeriesAndMarkerAreReported(t *testing.T) {
	_, err := Requirements(map[string]Slope{})
	missing := (*SlopeError)(nil)
	require.ErrorAs(t, err, &missing)
	_, err = Render("no markers", readCommittedPoints(t))
	marker := (*MarkerError)(nil)
	require.ErrorAs(t, err, &marker)
}

func TestFitRecoversLine(t *testing.T) {
	points := []Point{{Series: "s", Size: 1, Value: 12}, {Series: "s", Size: 10, Value: 30}, {Series: "s", Size: 100, Value: 210}}
	s := Fit(points)["s"]
	require.InDelta(t, 10, s.Base, 1e-9)
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.InDelta(t, 0, s.Residual, 1e-9)
}

func TestCSVRoundTripAndMalformedLine(t *testing.T) {
	b := strings.Builder{}
	in := []Point{{Series: "s", Size: 5, SizeUnit: "requests", Value: 7.5, Unit: "ns"}}
	require.NoError(t, WriteCSV(&b, in))
	out, err := ReadCSV(strings.NewReader(b.String()))
	require.NoError(t, err)
	require.Equal(t, in, out)
	_, err = ReadCSV(strings.NewReader("series,size,over,value,unit\ns,five,x,1,ns\n"))
	typed := (*FormatError)(nil)
	require.ErrorAs(t, err, &typed)
}
