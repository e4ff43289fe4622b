package schema_test

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/verbenastep/verbenastep/core/config"
	"github.com/verbenastep/verbenastep/internal/schema"
	"github.com/verbenastep/verbenastep/internal/settings"
)

func TestPublishedSchemasEqualEmbeddedOnes(t *testing.T) {
	for _, k := range []schema.Kind{schema.Settings, schema.Configuration} {
		published, err := os.ReadFile("../../docs/schema/" + string(k) + ".schema.json")
		require.NoError(t, err)
		require.Equal(t, string(published), string(schema.Text(k)))
	}
}

// node is the part of a schema that the test reads.
type node struct {
	Type       string          `json:"type"`
	Enum       []any           `json:"enum"`
	Properties map[string]node `json:"properties"`
	Items      *node           `json:"items"`
	// Additional is false if no other properties are allowed, or the schema of a
	// map's values.
	Additional json.RawMessage `json:"additionalProperties"`
}

// TestSchemasMatchStructs guards against fields that are added to a struct but not
// to its schema, or that differ in type.
func TestSchemasMatchStructs(t *testing.T) {
	types := map[schema.Kind]reflect.Type{
		schema.Settings:      reflect.TypeFor[settings.Settings](),
		schema.Configuration: reflect.TypeFor[config.Config](),
	}
	for k, typ := range types {
		n := node{}
		require.NoError(t, json.Unmarshal(schema.Text(k), &n))
		requireMatch(t, string(k), typ, n)
	}
}

// requireMatch compares a type and a schema recursively: same names, same types,
// and no other properties allowed.
func requireMatch(t *testing.T, path string, typ reflect.Type, n node) {
	t.Helper()
	switch typ.Kind() {
	case reflect.Pointer:
		requireMatch(t, path, typ.Elem(), n)
	case reflect.Struct:
		require.Equal(t, "object", n.Type, path)
		require.JSONEq(t, "false", string(n.Additional), path)
		fields := 0
		for _, f := range reflect.VisibleFields(typ) {
			if !f.IsExported() {
				continue
			}
			fields++
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			child, ok := n.Properties[name]
			require.True(t, ok, "%s.%s", path, name)
			requireMatch(t, path+"."+name, f.Type, child)
		}
		require.Len(t, n.Properties, fields, path)
	case reflect.Slice:
		require.Equal(t, "array", n.Type, path)
		require.NotNil(t, n.Items, path)
		requireMatch(t, path+"[]", typ.Elem(), *n.Items)
	case reflect.String:
		require.True(t, n.Type == "string" || len(n.Enum) > 0, path)
	case reflect.Bool:
		require.Equal(t, "boolean", n.Type, path)
	case reflect.Int, reflect.Int64:
		require.Equal(t, "integer", n.Type, path)
	case reflect.Float64:
		require.Equal(t, "number", n.Type, path)
	case reflect.Map:
		require.Equal(t, "object", n.Type, path)
		value := node{}
		require.NoError(t, json.Unmarshal(n.Additional, &value), path)
		requireMatch(t, path+"{}", typ.Elem(), value)
	default:
		t.Fatalf("%s: no rule for %s", path, typ)
	}
}

// TestFaultsContainNoKey: a key written where its hash is expected must not appear
// in a message.
func TestFaultsContainNoKey(t *testing.T) {
	files := config.Files{"a.json": []byte(`{"operators": [{"name": "x", "keys": ["planted-secret"]}]}`)}
	err := schema.CheckFiles(files)
	require.ErrorContains(t, err, "$.operators[0].keys[0]")
	require.NotContains(t, err.Error(), "planted")
	_, err = settings.Parse("s.json", []byte(`{"operator_keys": ["planted-secret"], "upstream_keys": ["planted-secret"]}`))
	require.ErrorContains(t, err, "$.upstream_keys[0]")
	require.NotContains(t, err.Error(), "planted")
}

func TestFaultsAcrossFilesNameFileAndPath(t *testing.T) {
	files := config.Files{
		"a.json": []byte(`{"tiers": [{"name": "one", "goodput_ms": 1}]}`),
		"b.json": []byte(`{"tiers": [{"name": "two", "goodput_ms": 1}, {"name": "one", "goodput_ms": 1}]}`),
	}
	faults := config.Faults{}
	require.ErrorAs(t, schema.CheckFiles(files), &faults)
	require.Len(t, faults, 1)
	require.Equal(t, "b.json", faults[0].File)
	require.Equal(t, "$.tiers[1].name", faults[0].Path)
}

func TestExamplesAreValid(t *testing.T) {
	for _, folder := range []string{"karoo", "conciliafact"} {
		files := config.Files{}
		entries, err := os.ReadDir("../../examples/" + folder)
		require.NoError(t, err)
		for _, e := range entries {
			files[e.Name()], err = os.ReadFile("../../examples/" + folder + "/" + e.Name())
			require.NoError(t, err)
		}
		require.NoError(t, schema.CheckFiles(files))
	}
}
