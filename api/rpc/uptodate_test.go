package rpc

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	blockLine = regexp.MustCompile(`^(message|service) (\w+) \{`)
	fieldLine = regexp.MustCompile(`^(repeated )?([\w.<>, ]+) (\w+) = (\d+);`)
	callLine  = regexp.MustCompile(`^rpc (\w+)\(`)
)

// declared lists the messages, fields, services and calls that the .proto file
// declares, one line each.
func declared(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("../proto/verbenastep.proto")
	require.NoError(t, err)
	out := []string{}
	block := ""
	for _, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if m := blockLine.FindStringSubmatch(line); m != nil {
			block = m[2]
			out = append(out, m[1]+" "+block)
		}
		if m := fieldLine.FindStringSubmatch(line); m != nil {
			out = append(out, block+"."+m[3]+" = "+m[4])
		}
		if m := callLine.FindStringSubmatch(line); m != nil {
			out = append(out, block+"."+m[1]+"()")
		}
	}
	return out
}

// generated lists the same items of the generated code.
func generated() []string {
	file := File_verbenastep_proto
	out := []string{}
	for i := range file.Messages().Len() {
		m := file.Messages().Get(i)
		out = append(out, "message "+string(m.Name()))
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			out = append(out, string(m.Name())+"."+string(f.Name())+" = "+strconv.Itoa(int(f.Number())))
		}
	}
	for i := range file.Services().Len() {
		s := file.Services().Get(i)
		out = append(out, "service "+string(s.Name()))
		for j := range s.Methods().Len() {
			out = append(out, string(s.Name())+"."+string(s.Methods().Get(j).Name())+"()")
		}
	}
	return out
}

// TestGeneratedCodeIsUpToDate guards against a .proto file that was changed
// without regenerating the code. It compares declarations, so that it needs no
// generator: a message, field, number or call that only one side has fails it.
func TestGeneratedCodeIsUpToDate(t *testing.T) {
	require.ElementsMatch(t, declared(t), generated(), "run api/generate.sh")
}
