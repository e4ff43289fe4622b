// Package schema holds the published JSON Schemas of settings and declared
// configuration, and checks documents against them.
//
// A check reports every fault of a document with its JSON path and a remedy.
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

// Kind is which document a schema describes.
type Kind string

// Kinds.
const (
	// Settings is one daemon's settings file.
	Settings Kind = "settings"
	// Configuration is one file of the declared configuration.
	Configuration Kind = "configuration"
)

//go:embed settings.schema.json
var settingsText []byte

//go:embed configuration.schema.json
var configurationText []byte

// Text returns a schema as published under docs/schema.
func Text(k Kind) []byte {
	if k == Settings {
		return settingsText
	}
	return configurationText
}

// compiled holds the schemas, each compiled at its first use: a daemon starts
// faster without the one that it does not need.
var compiled = map[Kind]func() *jsonschema.Schema{
	Settings:      sync.OnceValue(func() *jsonschema.Schema { return compile(Settings) }),
	Configuration: sync.OnceValue(func() *jsonschema.Schema { return compile(Configuration) }),
}

// compile panics on an embedded schema that is not one, which the package's
// tests rule out.
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

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is a JSON path such as "$.addresses.callers".
	Path    string
	Message string
	Remedy  string
}

// Check returns every fault of a document in the order of their paths, or none.
func Check(k Kind, data []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Fault{{Path: "$", Message: "the file is not JSON: " + err.Error(), Remedy: "write it as one JSON object"}}
	}
	err = compiled[k]().Validate(doc)
	found := (*jsonschema.ValidationError)(nil)
	if !errors.As(err, &found) {
		return nil
	}
	out := leaves(found)
	slices.SortStableFunc(out, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// leaves flattens the tree of causes.
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

// describe puts one cause into words; missing and unknown fields are a fault
// each.
func describe(e *jsonschema.ValidationError) []Fault {
	path := jsonPath(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		return each(path, k.Missing, "the value is missing", "give it")
	case *kind.AdditionalProperties:
		return each(path, k.Properties, "the field is unknown", "check its spelling, or remove it")
	case *kind.Type:
		return []Fault{{Path: path, Message: "the value is of type " + k.Got, Remedy: "write a value of type " + strings.Join(k.Want, " or ")}}
	case *kind.Enum:
		return []Fault{{Path: path, Message: fmt.Sprintf("%v is not known", quoted(k.Got)), Remedy: "write one of " + list(k.Want)}}
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

// hashPattern is the form of hashed keys.
const hashPattern = "^sha256:[0-9a-f]{64}$"

// describePattern never repeats what stands in place of a hash: it may be the
// key itself.
func describePattern(path string, k *kind.Pattern) Fault {
	if k.Want == hashPattern {
		return Fault{Path: path, Message: "the key's hash is malformed", Remedy: `write "sha256:" and the 64 hex digits of the key's SHA-256, in lower case`}
	}
	return Fault{Path: path, Message: fmt.Sprintf("%q has not the right form", k.Got), Remedy: "write a value that matches " + k.Want}
}

func each(path string, names []string, message, remedy string) []Fault {
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

func list(values []any) string {
	out := []string{}
	for _, v := range values {
		out = append(out, quoted(v))
	}
	return strings.Join(out, ", ")
}

// jsonPath joins the tokens of an instance's location.
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

// Covers tells whether a fault at one of the paths, or above it, makes one at
// the given path a mere consequence.
func Covers(paths []string, path string) bool {
	for _, p := range paths {
		rest, ok := strings.CutPrefix(path, p)
		if ok && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}
