package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func committed(t *testing.T) []Point {
	t.Helper()
	f, err := os.Open("../../docs/capacity/slopes.csv")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	points, err := ReadCSV(f)
	require.NoError(t, err)
	return points
}

func TestPageMatchesTheMeasurements(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	made, err := Render(string(page), committed(t))
	require.NoError(t, err)
	require.Equal(t, made, string(page), "run: verbenastep capacity -tables")
}

func TestMissingSeriesAndMarkerAreNamed(t *testing.T) {
	_, err := Needs(map[string]Slope{})
	missing := (*SlopeError)(nil)
	require.ErrorAs(t, err, &missing)
	_, err = Render("no markers", committed(t))
	marker := (*MarkerError)(nil)
	require.ErrorAs(t, err, &marker)
}

func TestFitFindsALine(t *testing.T) {
	points := []Point{{Series: "s", Size: 1, Value: 12}, {Series: "s", Size: 10, Value: 30}, {Series: "s", Size: 100, Value: 210}}
	s := Fit(points)["s"]
	require.InDelta(t, 10, s.Base, 1e-9)
	require.InDelta(t, 2, s.PerUnit, 1e-9)
	require.InDelta(t, 0, s.Error, 1e-9)
}

func TestCSVRoundTripAndMalformedLine(t *testing.T) {
	b := strings.Builder{}
	in := []Point{{Series: "s", Size: 5, Over: "things", Value: 7.5, Unit: "ns"}}
	require.NoError(t, WriteCSV(&b, in))
	out, err := ReadCSV(strings.NewReader(b.String()))
	require.NoError(t, err)
	require.Equal(t, in, out)
	_, err = ReadCSV(strings.NewReader("series,size,over,value,unit\ns,five,x,1,ns\n"))
	typed := (*FormatError)(nil)
	require.ErrorAs(t, err, &typed)
}
