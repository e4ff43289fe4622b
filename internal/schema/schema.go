// Package schema contains the published JSON Schemas of the settings file and of
// the declared configuration, and validates documents against them. Validation
// reports all faults of a document, each with its JSON path and a remedy, and
// never repeats a key in a message.
package schema

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Kind is the kind of document that a schema describes.
type Kind string

// Kinds of documents.
const (
	// Settings is the settings file of a daemon.
	Settings Kind = "settings"
	// Configuration is a file of the declared configuration.
	Configuration Kind = "configuration"
)

//go:embed settings.schema.json
var settingsText []byte

//go:embed configuration.schema.json
var configurationText []byte

// Text returns the text of a schema, as published under docs/schema.
func Text(k Kind) []byte {
	if k == Settings {
		return settingsText
	}
	return configurationText
}

// compiled returns the compiled schemas. Each is compiled at its first use, so that
// a daemon that needs only one starts faster.
var compiled = map[Kind]func() *jsonschema.Schema{
	Settings:      sync.OnceValue(func() *jsonschema.Schema { return compile(Settings) }),
	Configuration: sync.OnceValue(func() *jsonschema.Schema { return compile(Configuration) }),
}

// compile compiles an embedded schema. It panics if the schema is invalid, which
// the package's tests exclude.
func compile(k Kind) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Text(k)))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	url := string(k) + ".schema.json"
	if err := c.AddResource(url, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(url)
}

// Fault is a single error in a document.
type Fault struct {
	// Path is a JSON path such as "$.addresses.callers".
	Path    string
	Message string
	Remedy  string
}

// Check validates a document and returns its faults, ordered by path; none if it
// is valid.
func Check(k Kind, data []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Fault{{Path: "$", Message: "the file is not JSON: " + err.Error(), Remedy: "write it as one JSON object"}}
	}
	err = compiled[k]().Validate(doc)
	invalid := (*jsonschema.ValidationError)(nil)
	if !errors.As(err, &invalid) {
		return nil
	}
	out := leaves(invalid)
	slices.SortStableFunc(out, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// leaves returns the faults at the leaves of the tree of causes.
func leaves(e *jsonschema.ValidationError) []Fault {
	if len(e.Causes) == 0 {
		return describe(e)
	}
	out := []Fault{}
	for _, cause := range e.Causes {
		out = append(out, leaves(cause)...)
	}
	return out
}

// describe returns the faults of one cause; each missing or unknown field is a
// fault of its own.
func describe(e *jsonschema.ValidationError) []Fault {
	path := jsonPath(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return faultPerField(path, k.Missing, "the value is missing", "give it")
	case *kind.AdditionalProperties:
		return faultPerField(path, k.Properties, "the field is unknown", "check its spelling, or remove it")
	case *kind.Type:
		return []Fault{{Path: path, Message: "the value is of type " + k.Got, Remedy: "write a value of type " + strings.Join(k.Want, " or ")}}
	case *kind.Enum:
		return []Fault{{Path: path, Message: fmt.Sprintf("%v is not known", quoted(k.Got)), Remedy: "write one of " + quotedList(k.Want)}}
	case *kind.MinLength:
		return []Fault{{Path: path, Message: "the value is empty", Remedy: "give it"}}
	case *kind.MinItems:
		return []Fault{{Path: path, Message: "the list is empty", Remedy: fmt.Sprintf("give at least %d", k.Want)}}
	case *kind.Minimum:
		return []Fault{{Path: path, Message: fmt.Sprintf("the number is %s", k.Got.RatString()), Remedy: fmt.Sprintf("give %s or more", k.Want.RatString())}}
	case *kind.UniqueItems:
		return []Fault{{Path: path, Message: "a value stands in the list twice", Remedy: "remove one of them"}}
	case *kind.Pattern:
		return []Fault{describePattern(path, k)}
	}
	text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []Fault{{Path: path, Message: text, Remedy: "see the published JSON Schema"}}
}

// hashPattern is the pattern of hashed keys in the schemas.
const hashPattern = "^sha256:[0-9a-f]{64}$"

// describePattern describes a value that does not match its pattern. It omits the
// value if a hash is expected, since the value may be the key itself.
func describePattern(path string, k *kind.Pattern) Fault {
	if k.Want == hashPattern {
		return Fault{Path: path, Message: "the key's hash is malformed", Remedy: `write "sha256:" and the 64 hex digits of the key's SHA-256, in lower case`}
	}
	return Fault{Path: path, Message: fmt.Sprintf("%q has not the right form", k.Got), Remedy: "write a value that matches " + k.Want}
}

// faultPerField returns the same fault for each of the named fields below path.
func faultPerField(path string, names []string, message, remedy string) []Fault {
	out := []Fault{}
	for _, n := range names {
		out = append(out, Fault{Path: path + "." + n, Message: message, Remedy: remedy})
	}
	return out
}

func quoted(v any) string {
	if s, ok := v.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprint(v)
}

func quotedList(values []any) string {
	out := []string{}
	for _, v := range values {
		out = append(out, quoted(v))
	}
	return strings.Join(out, ", ")
}

// jsonPath returns the JSON path of an instance's location, such as "$.a[0]".
func jsonPath(tokens []string) string {
	b := strings.Builder{}
	b.WriteString("$")
	for _, t := range tokens {
		if strings.Trim(t, "0123456789") == "" {
			b.WriteString("[" + t + "]")
			continue
		}
		b.WriteString("." + t)
	}
	return b.String()
}

// Covers reports whether path equals one of paths or lies below one of them. If the
// paths have faults, a fault at path is then only a consequence of those.
func Covers(paths []string, path string) bool {
	for _, p := range paths {
		rest, ok := strings.CutPrefix(path, p)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
