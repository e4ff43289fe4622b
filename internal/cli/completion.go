package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
)

// bashScript is the format of the completion script: it completes commands and
// flags, and file names in all other positions.
const bashScript = `# Completion for bash; load it with: source <(verbenastep completion bash)
_verbenastep() {
  local word=${COMP_WORDS[COMP_CWORD]} flags=""
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$word"))
    return
  fi
  case ${COMP_WORDS[1]} in
%s  esac
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "$flags" -- "$word"))
    return
  fi
  COMPREPLY=($(compgen -f -- "$word"))
}
complete -o filenames -F _verbenastep verbenastep
`

func completionCommand() *Command {
	return &Command{
		Name: "completion", Summary: "print a script that completes commands and flags", Args: "bash", Example: "source <(verbenastep completion bash)",
		Flags: func(*flag.FlagSet) {},
		Run: func(_ context.Context, std IO, args []string) error {
			if len(args) != 1 || args[0] != "bash" {
				return &usageError{problem: "name the shell: bash"}
			}
			return printCompletion(std.Out)
		},
	}
}

func printCompletion(w io.Writer) error {
	names := []string{"help"}
	cases := strings.Builder{}
	for _, c := range commands() {
		names = append(names, c.Name)
		flagNames := []string{}
		newFlagSet(c, &IO{}).VisitAll(func(f *flag.Flag) { flagNames = append(flagNames, "-"+f.Name) })
		fmt.Fprintf(&cases, "    %s) flags=\"%s\" ;;\n", c.Name, strings.Join(flagNames, " "))
	}
	_, err := fmt.Fprintf(w, bashScript, strings.Join(names, " "), cases.String())
	return err
}
