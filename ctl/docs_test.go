package ctl

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// TestDocumentedCommandsParse guards against pages that show commands which zinniactl does not have.
func TestDocumentedCommandsParse(t *testing.T) {
	for _, page := range []string{"../README.md", "../docs/OPERATIONS.md", "../docs/settings.md"} {
		data, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		commands := documentedCommands(string(data))
		if len(commands) == 0 {
			t.Errorf("%s shows no command", page)
		}
		for _, command := range commands {
			var out bytes.Buffer
			context, err := (&app{out: &out}).parser(&out, &out).ParseContext(strings.Fields(command))
			if err != nil || context.SelectedCommand == nil {
				t.Errorf("%s: zinniactl %s: %v", page, command, err)
			}
		}
	}
}

// documentedCommands returns the arguments of each zinniactl call in a code block or in backticks. Names in
// capitals stand for values.
func documentedCommands(page string) []string {
	var commands []string
	values := strings.NewReplacer("node|control|target|services", "node", "OLD-ID", "1", "[SERVICE]", "SERVICE")
	for _, part := range strings.FieldsFunc(page, func(r rune) bool { return r == '\n' || r == '`' }) {
		_, arguments, found := strings.Cut(part, "zinniactl ")
		call := strings.HasPrefix(part, "zinniactl ") || strings.HasPrefix(part, "go run ./cmd/zinniactl ")
		if found && call {
			arguments, _, _ = strings.Cut(arguments, "#")
			commands = append(commands, values.Replace(arguments))
		}
	}
	return commands
}
